"""HTTP routes for callers: searches, bookings, health and metrics."""

import secrets

import orjson

from .bookings import MAX_KEY_LENGTH
from .errors import (
    BadRequestError,
    DrainingError,
    Finding,
    FindingsError,
    KeyRequiredError,
    Outcome,
    TarragonchuteError,
    UnknownDatasetError,
    UnknownTeamError,
)
from .httpio import HttpResponse

MIN_DEADLINE_MS = 5
RETRY_AFTER_S = 1
"""Value of the header `Retry-After` in answers with status 429 or 503."""


class SearchRequest:
    """A caller's search, validated against the settings.

    Parameters
    ----------
    team : TeamSettings
    dataset : DatasetSettings
    query : object
        JSON passed on to every shard.
    deadline_ms : float
    least_coverage : float
        Fraction of the shards that must answer, from 0 to 1.
    """

    __slots__ = ("team", "dataset", "query", "deadline_ms", "least_coverage")

    def __init__(self, team, dataset, query, deadline_ms, least_coverage):
        self.team = team
        self.dataset = dataset
        self.query = query
        self.deadline_ms = deadline_ms
        self.least_coverage = least_coverage


class BookingRequest:
    """A caller's booking, validated against the settings.

    Parameters
    ----------
    team : TeamSettings
    dataset : DatasetSettings
    shard : str
    order : object
        JSON passed on to the target.
    key : str
        Idempotency key.
    deadline_ms : float
    """

    __slots__ = ("team", "dataset", "shard", "order", "key", "deadline_ms")

    def __init__(self, team, dataset, shard, order, key, deadline_ms):
        self.team = team
        self.dataset = dataset
        self.shard = shard
        self.order = order
        self.key = key
        self.deadline_ms = deadline_ms


def parse_search(body, tree):
    """Parse and validate the body of a search; return a `SearchRequest`.

    Parameters
    ----------
    body : bytes
    tree : settings.SettingsTree

    Raises
    ------
    BadRequestError
        If the body is not a JSON object.
    FindingsError
        With every invalid field that was found.
    UnknownTeamError, UnknownDatasetError
        If the settings hold no such team, or no such dataset for the team.
    """
    fields = _parse_object(body)
    findings = _find_field_errors(fields, _SEARCH_TYPES)
    _raise_if_any(findings)
    team, dataset = _find_team_and_dataset(fields, tree)
    least_coverage = fields.get("least_coverage", team.least_coverage)
    findings = []
    deadline_ms = _parse_deadline(fields, team, findings)
    if not 0 <= least_coverage <= 1:
        findings.append(Finding("least_coverage", "must be between 0 and 1"))
    _raise_if_any(findings)
    query = fields["query"]
    return SearchRequest(team, dataset, query, deadline_ms, least_coverage)


def parse_booking(body, key, tree):
    """Parse and validate a booking; return a `BookingRequest`.

    Parameters
    ----------
    body : bytes
    key : str or None
        Value of the header `Idempotency-Key`.
    tree : settings.SettingsTree

    Raises
    ------
    KeyRequiredError
        If the key is missing, longer than `MAX_KEY_LENGTH` characters or not printable.
    BadRequestError
        If the body is not a JSON object.
    FindingsError
        With every invalid field that was found.
    UnknownTeamError, UnknownDatasetError
        If the settings hold no such team, or no such dataset for the team.
    """
    if not key or len(key) > MAX_KEY_LENGTH or not key.isprintable():
        text = f"Idempotency-Key must be 1 to {MAX_KEY_LENGTH} printable characters"
        raise KeyRequiredError(text)
    fields = _parse_object(body)
    findings = _find_field_errors(fields, _BOOKING_TYPES)
    _raise_if_any(findings)
    team, dataset = _find_team_and_dataset(fields, tree)
    findings = []
    deadline_ms = _parse_deadline(fields, team, findings)
    shard = fields["shard"]
    if not any(shard in layout for layout in dataset.layouts.values()):
        text = f"dataset {dataset.name!r} has no shard {shard!r}"
        findings.append(Finding("shard", text))
    _raise_if_any(findings)
    return BookingRequest(team, dataset, shard, fields["order"], key, deadline_ms)


_NUMBER = (int, float)
_SEARCH_TYPES = {
    "team": (str, True),
    "dataset": (str, True),
    "query": (object, True),
    "deadline_ms": (_NUMBER, False),
    "least_coverage": (_NUMBER, False),
}
"""Maps each field to its type and whether it is required."""

_BOOKING_TYPES = {
    "team": (str, True),
    "dataset": (str, True),
    "shard": (str, True),
    "order": (object, True),
    "deadline_ms": (_NUMBER, False),
}
"""Like `_SEARCH_TYPES`, for bookings."""


def _parse_object(body):
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BadRequestError(f"body is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise BadRequestError("body must be a JSON object")
    return fields


def _find_field_errors(fields, types):
    findings = []
    for name, (expected, is_required) in types.items():
        if name not in fields:
            if is_required:
                findings.append(Finding(name, "is required"))
        elif not _is_of_type(fields[name], expected):
            findings.append(Finding(name, "has the wrong type"))
    for name in sorted(set(fields) - set(types)):
        findings.append(Finding(name, "is not a known field"))
    return findings


def _is_of_type(value, expected):
    if expected is _NUMBER and isinstance(value, bool):
        return False
    return isinstance(value, expected)


def _raise_if_any(findings):
    if findings:
        raise FindingsError(findings)


def _find_team_and_dataset(fields, tree):
    team = tree.teams.get(fields["team"])
    if team is None:
        raise UnknownTeamError(f"team {fields['team']!r} is not in the settings")
    name = fields["dataset"]
    dataset = tree.datasets.get(name)
    if dataset is None or name not in team.datasets or not dataset.layouts:
        raise UnknownDatasetError(f"team {team.name!r} has no dataset {name!r}")
    return team, dataset


def _parse_deadline(fields, team, findings):
    deadline_ms = fields.get("deadline_ms", team.default_deadline_ms)
    if not MIN_DEADLINE_MS <= deadline_ms <= team.max_deadline_ms:
        text = f"must be from {MIN_DEADLINE_MS} to {team.max_deadline_ms} ms"
        findings.append(Finding("deadline_ms", text))
    return deadline_ms


class CallerRoutes:
    """Routes callers' HTTP requests to the service and builds the responses.

    Parameters
    ----------
    service : node.VmComponents
        Runs validated searches and bookings, and reports health and metrics.
    """

    def __init__(self, service):
        self._service = service
        self._routes = {
            ("POST", "/v1/search"): self._search,
            ("POST", "/v1/bookings"): self._book,
            ("GET", "/healthz"): self._report_health,
            ("GET", "/metrics"): self._report_metrics,
        }

    async def handle(self, request):
        """Return the `HttpResponse` to an `HttpRequest`.

        Each `TarragonchuteError` becomes an error response.
        """
        request_id = secrets.token_hex(16)
        route = self._routes.get((request.method, request.path))
        if route is None:
            return self._build_no_route_response(request, request_id)
        try:
            return await route(request, request_id)
        except TarragonchuteError as error:
            self._service.record_refusal(request_id, error)
            return build_error_response(request_id, error)

    async def _search(self, request, request_id):
        self._raise_if_closed()
        search = parse_search(request.body, self._service.tree)
        result = await self._service.search(search, request_id)
        body = {
            "request_id": request_id,
            "outcome": Outcome.DONE,
            "snapshot": result.version,
            "coverage": _coverage_to_json(result.coverage),
            "results": result.results,
        }
        return HttpResponse.from_json(body)

    async def _book(self, request, request_id):
        self._raise_if_closed()
        key = request.headers.get("idempotency-key")
        booking = parse_booking(request.body, key, self._service.tree)
        result = await self._service.book(booking, request_id)
        body = {"request_id": request_id, "outcome": Outcome.DONE, "result": result}
        return HttpResponse.from_json(body)

    async def _report_health(self, request, request_id):
        reason = self._service.find_unready_reason()
        status = 503 if reason else 200
        return HttpResponse.from_json({"status": reason or "ok"}, status)

    async def _report_metrics(self, request, request_id):
        body, content_type = self._service.render_metrics()
        return HttpResponse(200, body, {"Content-Type": content_type})

    def _raise_if_closed(self):
        if self._service.is_closed:
            raise DrainingError("this VM is shutting down")

    def _build_no_route_response(self, request, request_id):
        paths = {path for _, path in self._routes}
        error = BadRequestError(f"no route for {request.method} {request.path}")
        error.status = 405 if request.path in paths else 404
        return build_error_response(request_id, error)


def build_error_response(request_id, error):
    """Return the HTTP response that reports an error.

    Parameters
    ----------
    request_id : str
    error : TarragonchuteError
        Its attribute `coverage`, if any, is part of the response.
    """
    body = error.describe(request_id)
    if isinstance(error, FindingsError):
        body["findings"] = [str(finding) for finding in error.findings]
    coverage = getattr(error, "coverage", None)
    if coverage is not None:
        body["coverage"] = _coverage_to_json(coverage)
    headers = {}
    if error.status in (429, 503):
        headers["Retry-After"] = str(RETRY_AFTER_S)
    return HttpResponse.from_json(body, error.status, headers)


def _coverage_to_json(coverage):
    return {
        "answered": coverage.answered,
        "total": coverage.total,
        "missing": coverage.missing,
    }
