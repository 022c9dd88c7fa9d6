"""Stand-in of targets: one process serves one or more targets, each on its port.

``POST /control`` takes JSON with any of the switches in `SWITCHES`, and ``cold`` or
``restart`` (true). On a target's own port it acts on that target, and its connection
counts against the limit. On the port of ``--control`` it acts on the targets named
in ``target`` (an id or a list of ids), or on all; after ``unreachable`` only this
port can be reached. ``GET /control`` returns the
counters and switches: of the target, or on the control port by target id.
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
    """One attribute of a `MemoryTarget` that the control port sets.

    Parameters
    ----------
    attribute : str
    types : type or tuple of type
    unit : int
        Number that the JSON value is divided by; 1 for no conversion.
    """

    __slots__ = ("attribute", "types", "unit")

    def __init__(self, attribute, types, unit=1):
        self.attribute = attribute
        self.types = types
        self.unit = unit

    def apply(self, target, value):
        """Set the attribute; raises `BadRequestError` on another type."""
        is_flag = isinstance(value, bool)
        if not isinstance(value, self.types) or is_flag != (self.types is bool):
            raise BadRequestError(f"{self.attribute} cannot be {value!r}")
        setattr(target, self.attribute, value if self.unit == 1 else value / self.unit)

    def read(self, target):
        """Return the value as JSON."""
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
    """HTTP routes and connections of one target.

    Parameters
    ----------
    target : MemoryTarget
    """

    def __init__(self, target):
        self.target = target
        self._streams = set()

    async def run(self, listeners):
        """Serve until cancelled."""
        counted = [_CountedListener(self, listener) for listener in listeners]
        await serve_http(self.handle, counted)

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
        return await self._run_shard(_parse_shard_request(request))

    def open_stream(self, stream):
        """Count a connection; return False if it must be closed at once."""
        if self.target.is_unreachable or not self.target.open_connection():
            return False
        self._streams.add(stream)
        return True

    def close_stream(self, stream):
        """Count the end of a connection."""
        if stream in self._streams:
            self._streams.remove(stream)
            self.target.close_connection()

    async def apply(self, body):
        """Set the switches in a control body."""
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
        """Return the counters and switches as JSON."""
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

    async def _run_shard(self, request):
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


class _CountedListener(trio.abc.Listener):
    """Closes connections over the limit of a target at once."""

    def __init__(self, server, listener):
        self._server = server
        self._listener = listener

    async def accept(self):
        while True:
            stream = _CountedStream(self._server, await self._listener.accept())
            if self._server.open_stream(stream):
                return stream
            await trio.aclose_forcefully(stream)

    async def aclose(self):
        await self._listener.aclose()


class _CountedStream(trio.abc.Stream):
    """Counts its end, and sends an answer twice where the target is told to."""

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
    """The control port over all targets of the process.

    Parameters
    ----------
    servers : dict of str to TargetServer
    """

    def __init__(self, servers):
        self._servers = servers

    async def handle(self, request):
        """Answer one `HttpRequest`."""
        if request.path != "/control":
            raise BadRequestError(f"unknown path {request.path}")
        if request.method == "POST":
            body = read_object(request)
            for server in self._choose(body.get("target")):
                await server.apply(body)
        servers = self._choose(request.query.get("target"))
        return HttpResponse.from_json(
            {server.target.target_id: server.describe() for server in servers}
        )

    def _choose(self, names):
        if names is None:
            return list(self._servers.values())
        names = [names] if isinstance(names, str) else names
        unknown = [name for name in names if name not in self._servers]
        if unknown:
            raise BadRequestError(f"unknown targets {unknown}")
        return [self._servers[name] for name in names]


def read_object(request):
    """Return the JSON object in a request's body."""
    body = request.parse_json()
    if not isinstance(body, dict):
        raise BadRequestError("the body must be a JSON object")
    return body


def _parse_shard_request(request):
    """Return the `TargetRequest` of an HTTP request."""
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
    """One target that the process serves.

    Parameters
    ----------
    target_id, address : str
    shards : list of str
    options : dict of str to str
        ``versions``, ``slots``, ``max_connections``, ``service_ms``,
        ``warm_after`` and ``state``, as on the command line.
    """

    __slots__ = ("target_id", "address", "shards", "options")

    def __init__(self, target_id, address, shards, options):
        self.target_id = target_id
        self.address = address
        self.shards = shards
        self.options = options

    def build_target(self):
        """Return the `MemoryTarget`; raises ValueError on a malformed option."""
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
        Each section is one target id with ``address``, ``shards`` and any of
        `DEFAULT_OPTIONS`.
    options : dict of str to str
        For what a section does not set.
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

    Parameters
    ----------
    specs : list of TargetSpec
    control_address : str or None
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
    """Return the `TargetSpec` list of the parsed arguments."""
    options = {name: getattr(values, name) for name in DEFAULT_OPTIONS}
    specs = [TargetSpec(*target, options) for target in values.target]
    if values.target_id:
        shards = values.shards.split(",")
        specs.append(TargetSpec(values.target_id, values.address, shards, options))
    if values.spec:
        specs += read_specs(values.spec, options)
    return specs


def main(arguments=None):
    """Run the stand-in."""
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
