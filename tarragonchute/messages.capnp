@0xbf5147cbbecf40c1;

# Message between two VMs. The body is JSON: in pycapnp, building a struct for each
# item of a batch took 32 microseconds, a hundred times as long as JSON.
struct Envelope {
  kind @0 :Text;
  sender @1 :Text;
  number @2 :UInt64;
  body @3 :Data;
}
