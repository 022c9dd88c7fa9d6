@0xbf5147cbbecf40c1;

# One message between two VMs. The body is JSON: a struct for each item of a
# batch cost 32 microseconds to build in pycapnp, a hundred times the JSON.
struct Envelope {
  kind @0 :Text;
  sender @1 :Text;
  number @2 :UInt64;
  body @3 :Data;
}
