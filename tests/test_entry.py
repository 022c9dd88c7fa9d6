"""Tests of the HTTP routes for callers."""

import orjson
import testtools
import trio

from tarragonchute import entry, errors, settings
from tarragonchute.httpio import HttpRequest
from tarragonchute.searches import Coverage, SearchResult


def build_tree():
    """Return settings with one team and one dataset of two shards."""
    layout = {"s0": ["a"], "s1": ["b"]}
    dataset = settings.DatasetSettings("catalogue", {}, {"1": layout})
    team = settings.TeamSettings("hollowmere", 1, 1.0, 150, 5000, ["catalogue"])
    return settings.SettingsTree(
        teams={"hollowmere": team}, datasets={"catalogue": dataset}
    )


COVERAGE = Coverage(1, 2, ["s1"])


class FakeService:
    """Answers each search from one of two shards, and counts searches and bookings."""

    def __init__(self):
        self.tree = build_tree()
        self.is_closed = False
        self.searches = 0
        self.bookings = 0
        self.booking_error = None

    async def search(self, search, request_id):
        """Count a search in which one of two shards answers."""
        self.searches += 1
        if search.least_coverage > COVERAGE.fraction:
            error = errors.CoverageTooLowError(str(COVERAGE))
            error.coverage = COVERAGE
            raise error
        return SearchResult(request_id, "1", COVERAGE, ["hit"])

    async def book(self, booking, request_id):
        """Count a booking; raise `booking_error` if it is set."""
        self.bookings += 1
        if self.booking_error:
            raise self.booking_error
        return {"order": booking.order}

    def record_refusal(self, request_id, error):
        """Ignore the refusal."""

    def find_unready_reason(self):
        """Return None unless the service is closed."""
        return "draining" if self.is_closed else None

    def render_metrics(self):
        """Return an empty body."""
        return b"", "text/plain"


def send(service, method, path, body=b"", headers=None):
    """Send one request; return the status and the decoded JSON of the response."""
    request = HttpRequest(method, path, {}, headers or {}, body)
    response = trio.run(entry.CallerRoutes(service).handle, request)
    return response.status, orjson.loads(response.body)


def encode_search(**changes):
    """Return the body of a valid search with some fields replaced or added."""
    fields = {"team": "hollowmere", "dataset": "catalogue", "query": {"q": 1}}
    fields.update(changes)
    return orjson.dumps(fields)


class SearchRouteTests(testtools.TestCase):
    """POST /v1/search."""

    def test_too_low_coverage_is_an_error_with_the_missing_shards(self):
        """Guards against an incomplete answer that looks complete.

        One of two shards answers and the team requires full coverage.
        """
        status, answer = send(FakeService(), "POST", "/v1/search", encode_search())
        self.assertEqual(503, status)
        self.assertEqual("coverage_too_low", answer["code"])
        self.assertEqual(["s1"], answer["coverage"]["missing"])
        self.assertNotIn("results", answer)

    def test_accepted_partial_answer_names_the_missing_shards(self):
        """Guards against a partial answer that does not list the missing shards."""
        body = encode_search(least_coverage=0.5)
        status, answer = send(FakeService(), "POST", "/v1/search", body)
        self.assertEqual(200, status)
        expected = {"answered": 1, "total": 2, "missing": ["s1"]}
        self.assertEqual(expected, answer["coverage"])
        self.assertEqual("1", answer["snapshot"])

    def test_invalid_input_is_refused_before_the_search_runs(self):
        """Guards against malformed input that reaches the targets."""
        cases = [
            (b"{", "bad_request", 400),
            (b"[]", "bad_request", 400),
            (b"{}", "invalid_settings", 400),
            (encode_search(team="nobody"), "unknown_team", 404),
            (encode_search(dataset="other"), "unknown_dataset", 404),
            (encode_search(deadline_ms=-1), "invalid_settings", 400),
            (encode_search(deadline_ms=10**9), "invalid_settings", 400),
            (encode_search(deadline_ms=True), "invalid_settings", 400),
            (encode_search(least_coverage=2), "invalid_settings", 400),
            (encode_search(extra=2), "invalid_settings", 400),
        ]
        for body, code, expected_status in cases:
            service = FakeService()
            status, answer = send(service, "POST", "/v1/search", body)
            self.assertEqual((expected_status, code), (status, answer["code"]))
            self.assertEqual("not_run", answer["outcome"])
            self.assertEqual(0, service.searches)

    def test_all_invalid_fields_are_reported_at_once(self):
        """Guards against callers who learn of one invalid field per request."""
        body = encode_search(deadline_ms=-1, least_coverage=7)
        _, answer = send(FakeService(), "POST", "/v1/search", body)
        self.assertEqual(2, len(answer["findings"]))


class BookingRouteTests(testtools.TestCase):
    """POST /v1/bookings."""

    def _book(self, service, key="k1", **changes):
        fields = {
            "team": "hollowmere",
            "dataset": "catalogue",
            "shard": "s0",
            "order": {"n": 1},
        }
        fields.update(changes)
        headers = {"idempotency-key": key} if key else {}
        body = orjson.dumps(fields)
        return send(service, "POST", "/v1/bookings", body, headers)

    def test_booking_without_key_never_runs(self):
        """Guards against a booking that runs twice if its caller sends it again."""
        for key in (None, "", "x" * 201):
            service = FakeService()
            status, answer = self._book(service, key=key)
            self.assertEqual((400, "key_required"), (status, answer["code"]))
            self.assertEqual(0, service.bookings)

    def test_unknown_shard_is_refused(self):
        """Guards against a claim written for a booking that cannot run."""
        status, answer = self._book(FakeService(), shard="s9")
        self.assertEqual((400, "not_run"), (status, answer["outcome"]))

    def test_outcome_of_an_error_is_in_the_response(self):
        """Guards against an unknown outcome that is reported as `not_run`."""
        service = FakeService()
        service.booking_error = errors.OutcomeUnknownError("no answer")
        status, answer = self._book(service)
        self.assertEqual((504, "unknown"), (status, answer["outcome"]))


class HealthRouteTests(testtools.TestCase):
    """GET /healthz, and requests without a route."""

    def test_closed_vm_is_unhealthy_and_refuses_searches(self):
        """Guards against work accepted by a VM that is about to exit."""
        service = FakeService()
        service.is_closed = True
        self.assertEqual(503, send(service, "GET", "/healthz")[0])
        status, answer = send(service, "POST", "/v1/search", encode_search())
        self.assertEqual((503, "draining"), (status, answer["code"]))

    def test_unknown_path_and_method(self):
        """Guards against a wrong status for an unknown path or a wrong method."""
        self.assertEqual(404, send(FakeService(), "GET", "/v2")[0])
        self.assertEqual(405, send(FakeService(), "GET", "/v1/search")[0])
