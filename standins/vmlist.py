"""Fake server of the platform's list of VMs.

``POST /control`` changes the list and injects faults. Its body is a JSON object with
any of:

- ``vms``: a list of ``{vm_id, state, domain}``; a null state removes the VM.
- ``lag_ms``: age of the returned list in milliseconds.
- ``outage``: whether each call is answered with 503.

``GET /control`` returns the number of calls and the injected faults.
"""

import argparse

import trio

from tarragonchute.errors import BadRequestError
from tarragonchute.httpio import HttpResponse, bind_listeners, get_address, serve_http
from tarragonchute.vmlist import MemoryVmList


class VmListServer:
    """Serves the HTTP route of the VM list from a `MemoryVmList`.

    Parameters
    ----------
    domains : dict of str to str
        Failure domain by vm_id, for the VMs that are initially live.
    """

    def __init__(self, domains):
        self.vm_list = MemoryVmList(domains)

    async def handle(self, request):
        """Answer one `HttpRequest`."""
        if request.path == "/control":
            return self._control(request)
        if request.path != "/v1/vms":
            raise BadRequestError(f"unknown path {request.path}")
        states = await self.vm_list.fetch()
        domains = self.vm_list.domains
        rows = [
            {"vm_id": vm_id, "domain": domains.get(vm_id), "state": state}
            for vm_id, state in states.items()
        ]
        return HttpResponse.from_json({"vms": rows})

    def _control(self, request):
        vm_list = self.vm_list
        if request.method == "POST":
            self._apply(request.parse_json())
        return HttpResponse.from_json(
            {
                "calls": vm_list.calls,
                "lag_ms": vm_list.lag_s * 1000,
                "outage": vm_list.is_unavailable,
            }
        )

    def _apply(self, body):
        vm_list = self.vm_list
        try:
            vm_list.lag_s = body.get("lag_ms", vm_list.lag_s * 1000) / 1000
            vm_list.is_unavailable = bool(body.get("outage", vm_list.is_unavailable))
            for row in body.get("vms", ()):
                vm_list.set_state(row["vm_id"], row["state"], row.get("domain"))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise BadRequestError(f"malformed control body: {error!r}") from error


async def serve(address, domains):
    """Serve the list on an address until cancelled."""
    listeners = await bind_listeners(address)
    print(f"ready {get_address(listeners)}", flush=True)
    await serve_http(VmListServer(domains).handle, listeners)


def parse_vm(text):
    """Return ``(vm_id, domain)`` of a ``VM=DOMAIN`` argument."""
    vm_id, separator, domain = text.partition("=")
    if not vm_id or not separator or not domain:
        raise argparse.ArgumentTypeError(f"{text!r} must be VM=DOMAIN")
    return vm_id, domain


def main(arguments=None):
    """Parse the command line and serve until interrupted."""
    parser = argparse.ArgumentParser(prog="standins.vmlist")
    parser.add_argument("--address", required=True, help="e.g. 127.0.0.1:7001")
    parser.add_argument(
        "--vm",
        type=parse_vm,
        action="append",
        nargs="+",
        default=[],
        metavar="VM=DOMAIN",
    )
    values = parser.parse_args(arguments)
    domains = dict(vm for group in values.vm for vm in group)
    trio.run(serve, values.address, domains)


if __name__ == "__main__":
    main()
