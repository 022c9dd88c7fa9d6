"""Fake server of targets: one process serves one or more, each on its own port.

``POST /control`` sets switches. Its body is a JSON object with any of the names in
`SWITCHES`, and ``cold`` or ``restart`` (true).

- On a target's port it applies to that target, and its connection counts towards the
  target's connection limit.
- On the port of ``--control`` it applies to the targets in ``target`` (an id or a list
  of ids), or to all targets. A target that is ``unreachable`` can be controlled only
  through this port.

``GET /control`` returns the target's counters and switches; on the control port it
returns them by target id.
"""

import argparse
import configparser

import trio

from tarragonchute.errors import BadRequestError
from tarragonchute.httpio import HttpResponse, bind_listeners, get_address, serve_http
from tarragonchute.messages import BOOKING, SEARCH
from tarragonchute.targets import MemoryTarget, TargetRequest

MS_PER_S = 1000
SHARDS_PATH = "/v1/shards/"
STATUSES = {
    "ok": 200,
    "shedding": 503,
    "draining": 503,
    "deadline_passed": 504,
    "timed_out": 504,
    "version_missing": 409,
    "shard_unknown": 404,
    "cancelled": 499,
}
OPERATIONS = {"search": SEARCH, "bookings": BOOKING}


class Switch:
    """An attribute of a `MemoryTarget` that a control request sets.

    Parameters
    ----------
    attribute : str
    types : type or tuple of type
        Accepted types of the JSON value.
    unit : int
        Divisor that converts the JSON value to the attribute's unit; 1 for none.
    """

    __slots__ = ("attribute", "types", "unit")

    def __init__(self, attribute, types, unit=1):
        self.attribute = attribute
        self.types = types
        self.unit = unit

    def apply(self, target, value):
        """Set the attribute; raises `BadRequestError` if the type is not accepted."""
        is_flag = isinstance(value, bool)
        if not isinstance(value, self.types) or is_flag != (self.types is bool):
            raise BadRequestError(f"{self.attribute} cannot be set to {value!r}")
        setattr(target, self.attribute, value if self.unit == 1 else value / self.unit)

    def read(self, target):
        """Return the attribute in the unit of the JSON value."""
        value = getattr(target, self.attribute)
        return value if self.unit == 1 else value * self.unit


_NUMBER = (int, float)

SWITCHES = {
    "service_ms": Switch("service_s", _NUMBER, MS_PER_S),
    "straggle_factor": Switch("straggle_factor", _NUMBER),
    "shedding": Switch("is_shedding", bool),
    "draining": Switch("is_draining", bool),
    "unreachable": Switch("is_unreachable", bool),
    "lose_answers": Switch("lose_answers", int),
    "delay_answers_ms": Switch("delay_answers_s", _NUMBER, MS_PER_S),
    "duplicate_answers": Switch("duplicate_answers", int),
    "wrong_ids": Switch("wrong_ids", int),
    "versions": Switch("versions", list),
    "shards": Switch("shards", list),
    "slots": Switch("slots", int),
    "max_connections": Switch("max_connections", int),
    "warm_after": Switch("warm_after", int),
    "reported_state": Switch("reported_state", (str, type(None))),
}


class TargetServer:
    """Serves the HTTP routes of one target and counts its connections.

    Parameters
    ----------
    target : MemoryTarget
    """

    def __init__(self, target):
        self.target = target
        self._streams = set()

    async def run(self, listeners):
        """Serve on the listeners until cancelled."""
        counting_listeners = [
            _CountingListener(self, listener) for listener in listeners
        ]
        await serve_http(self.handle, counting_listeners)

    async def handle(self, request):
        """Answer one `HttpRequest`."""
        path = request.path
        if path == "/control":
            return await self._control(request)
        if self.target.is_unreachable:
            return None
        if path == "/v1/status":
            return self._build_status()
        if path == "/v1/cancel":
            request_id = read_object(request).get("request_id")
            is_cancelled = await self.target.cancel(request_id)
            return HttpResponse.from_json({"cancelled": is_cancelled})
        return await self._run_shard_request(_parse_shard_request(request))

    def try_open_stream(self, stream):
        """Count a new connection; return False if the target does not accept it."""
        if self.target.is_unreachable or not self.target.open_connection():
            return False
        self._streams.add(stream)
        return True

    def close_stream(self, stream):
        """Remove a closed connection from the count."""
        if stream in self._streams:
            self._streams.remove(stream)
            self.target.close_connection()

    async def apply(self, body):
        """Set the switches of a control body.

        Parameters
        ----------
        body : dict
            ``restart`` also closes the target's connections.

        Raises
        ------
        BadRequestError
            On an unknown switch, or a value of a type that is not accepted.
        """
        for name, value in body.items():
            if name in SWITCHES:
                SWITCHES[name].apply(self.target, value)
            elif name not in ("cold", "restart", "target"):
                raise BadRequestError(f"unknown switch {name!r}")
        if body.get("cold"):
            self.target.turn_cold()
        if body.get("restart"):
            self.target.restart()
            for stream in list(self._streams):
                await trio.aclose_forcefully(stream)

    def describe(self):
        """Return the counters and switches as a JSON object."""
        target = self.target
        body = target.counters.to_body()
        body |= {name: switch.read(target) for name, switch in SWITCHES.items()}
        return body | {
            "target": target.target_id,
            "state": target.advertised_state,
            "boot_id": target.boot_id,
            "work": target.running_count,
            "connections": target.connections,
        }

    async def _control(self, request):
        if request.method == "POST":
            await self.apply(read_object(request))
        return HttpResponse.from_json(self.describe())

    def _build_status(self):
        target = self.target
        state = target.reported_state or target.advertised_state
        body = {"state": state, "boot_id": target.boot_id, "work": target.running_count}
        headers = {"X-State": state, "X-Boot-Id": target.boot_id}
        return HttpResponse.from_json(body, headers=headers)

    async def _run_shard_request(self, request):
        target = self.target
        answer = await target.handle(request)
        if answer is None or target.is_unreachable:
            return None
        if answer.code == "ok" and target.lose_answers:
            target.lose_answers -= 1
            return None
        return self._build_answer(request, answer)

    def _build_answer(self, request, answer):
        headers = {
            "X-State": answer.state,
            "X-Boot-Id": answer.boot_id,
            "X-Request-Id": request.request_id,
            "X-Shard": request.shard,
            "X-Snapshot": request.version,
        }
        if self.target.wrong_ids:
            self.target.wrong_ids -= 1
            headers["X-Request-Id"] = request.request_id[::-1] + "-other"
        if answer.code == "ok":
            return HttpResponse.from_json(answer.result, headers=headers)
        body = {"code": answer.code, "message": f"refused: {answer.code}"}
        if answer.versions:
            body["versions"] = answer.versions
        return HttpResponse.from_json(body, STATUSES[answer.code], headers)


class _CountingListener(trio.abc.Listener):
    """Closes new connections at once while the target does not accept them."""

    def __init__(self, server, listener):
        self._server = server
        self._listener = listener

    async def accept(self):
        while True:
            stream = _CountingStream(self._server, await self._listener.accept())
            if self._server.try_open_stream(stream):
                return stream
            await trio.aclose_forcefully(stream)

    async def aclose(self):
        await self._listener.aclose()


class _CountingStream(trio.abc.Stream):
    """Reports its close to the server; duplicates responses on `duplicate_answers`."""

    def __init__(self, server, stream):
        self._server = server
        self._stream = stream

    async def send_all(self, data):
        target = self._server.target
        if target.duplicate_answers and b"x-request-id" in data.lower():
            target.duplicate_answers -= 1
            data = data + data
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        self._server.close_stream(self)
        await self._stream.aclose()


class ControlServer:
    """Serves the control port of all targets of the process.

    Parameters
    ----------
    servers : dict of str to TargetServer
        By target id.
    """

    def __init__(self, servers):
        self._servers = servers

    async def handle(self, request):
        """Answer one `HttpRequest`."""
        if request.path != "/control":
            raise BadRequestError(f"unknown path {request.path}")
        if request.method == "POST":
            body = read_object(request)
            for server in self._select_servers(body.get("target")):
                await server.apply(body)
        servers = self._select_servers(request.query.get("target"))
        return HttpResponse.from_json(
            {server.target.target_id: server.describe() for server in servers}
        )

    def _select_servers(self, names):
        if names is None:
            return list(self._servers.values())
        names = [names] if isinstance(names, str) else names
        unknown = [name for name in names if name not in self._servers]
        if unknown:
            raise BadRequestError(f"unknown targets {unknown}")
        return [self._servers[name] for name in names]


def read_object(request):
    """Return the JSON object in a request's body.

    Raises
    ------
    BadRequestError
        If the body is another JSON value.
    """
    body = request.parse_json()
    if not isinstance(body, dict):
        raise BadRequestError("the request body must be a JSON object")
    return body


def _parse_shard_request(request):
    """Return the `TargetRequest` that an HTTP request carries."""
    path, _, route = request.path.rpartition("/")
    if not path.startswith(SHARDS_PATH) or route not in OPERATIONS:
        raise BadRequestError(f"unknown path {request.path}")
    headers = request.headers
    try:
        return TargetRequest(
            headers["x-request-id"],
            path.removeprefix(SHARDS_PATH),
            headers["x-snapshot"],
            request.parse_json(),
            int(headers["x-deadline-ms"]) / MS_PER_S,
            OPERATIONS[route],
            headers.get("x-idempotency-key"),
        )
    except (KeyError, ValueError) as error:
        raise BadRequestError(f"missing or malformed header: {error}") from error


class TargetSpec:
    """Description of a target that the process serves.

    Parameters
    ----------
    target_id, address : str
    shards : list of str
    options : dict of str to str
        ``versions``, ``slots``, ``max_connections``, ``service_ms``,
        ``warm_after`` and ``state``, in the format of the command line.
    """

    __slots__ = ("target_id", "address", "shards", "options")

    def __init__(self, target_id, address, shards, options):
        self.target_id = target_id
        self.address = address
        self.shards = shards
        self.options = options

    def build_target(self):
        """Return a new `MemoryTarget`; raises ValueError on a malformed option."""
        options = self.options
        target = MemoryTarget(
            self.target_id,
            self.shards,
            options["versions"].split(","),
            int(options["slots"]),
            int(options["max_connections"]),
            float(options["service_ms"]) / MS_PER_S,
            state=options["state"],
        )
        target.warm_after = int(options["warm_after"])
        return target


DEFAULT_OPTIONS = {
    "versions": "1",
    "slots": "2",
    "max_connections": "25",
    "service_ms": "5",
    "warm_after": "20",
    "state": "warm",
}


def parse_target(text):
    """Return ``(id, address, shards)`` of an ``ID=ADDRESS=SHARDS`` argument."""
    parts = text.split("=")
    if len(parts) != 3 or not all(parts):
        raise argparse.ArgumentTypeError(f"{text!r} must be ID=ADDRESS=SHARDS")
    return parts[0], parts[1], parts[2].split(",")


def read_specs(path, options):
    """Return the `TargetSpec` list of an INI file.

    Parameters
    ----------
    path : str
        Each section is named by a target id and holds ``address``, ``shards`` and any
        of `DEFAULT_OPTIONS`.
    options : dict of str to str
        Values of options that a section does not set.
    """
    parser = configparser.ConfigParser(default_section="defaults")
    parser.read_dict({"defaults": options})
    with open(path) as file:
        parser.read_file(file)
    return [
        TargetSpec(name, section["address"], section["shards"].split(","), section)
        for name, section in parser.items()
        if name != "defaults"
    ]


async def serve(specs, control_address=None):
    """Serve all targets until cancelled.

    Prints ``ready ADDRESS`` for each target, in the order of `specs`, and then for the
    control port.

    Parameters
    ----------
    specs : list of TargetSpec
    control_address : str or None
        None for no control port.
    """
    servers = {spec.target_id: TargetServer(spec.build_target()) for spec in specs}
    bound = [await bind_listeners(spec.address) for spec in specs]
    async with trio.open_nursery() as nursery:
        for spec, listeners in zip(specs, bound, strict=True):
            nursery.start_soon(servers[spec.target_id].run, listeners)
            print(f"ready {get_address(listeners)}", flush=True)
        if control_address:
            listeners = await bind_listeners(control_address)
            control = ControlServer(servers)
            nursery.start_soon(serve_http, control.handle, listeners)
            print(f"ready {get_address(listeners)}", flush=True)


def _build_parser():
    parser = argparse.ArgumentParser(prog="standins.target")
    parser.add_argument("--target-id", help="one target, with --address and --shards")
    parser.add_argument("--address", help="e.g. 127.0.0.1:7100")
    parser.add_argument("--shards", help="e.g. s0,s1")
    parser.add_argument(
        "--target",
        type=parse_target,
        action="append",
        default=[],
        metavar="ID=ADDRESS=SHARDS",
        help="may be repeated",
    )
    parser.add_argument("--spec", help="INI file with one section for each target")
    parser.add_argument("--control", help="address of a control port for all targets")
    for name, default in DEFAULT_OPTIONS.items():
        parser.add_argument(f"--{name.replace('_', '-')}", default=default)
    return parser


def parse_specs(values):
    """Return the `TargetSpec` list of the parsed command line."""
    options = {name: getattr(values, name) for name in DEFAULT_OPTIONS}
    specs = [TargetSpec(*target, options) for target in values.target]
    if values.target_id:
        shards = values.shards.split(",")
        specs.append(TargetSpec(values.target_id, values.address, shards, options))
    if values.spec:
        specs += read_specs(values.spec, options)
    return specs


def main(arguments=None):
    """Parse the command line and serve until interrupted."""
    parser = _build_parser()
    values = parser.parse_args(arguments)
    if values.target_id and not (values.address and values.shards):
        parser.error("--target-id needs --address and --shards")
    specs = parse_specs(values)
    if not specs:
        parser.error("name at least one target")
    trio.run(serve, specs, values.control)


if __name__ == "__main__":
    main()
