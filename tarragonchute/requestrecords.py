"""Log line and metrics of each caller's request."""

import logging

from .errors import AllowanceExceededError, AllowanceUnknownError
from .gatewaymetrics import NO_ROUTE, SEARCH, SEARCH_COVERAGE, SINGLE

logger = logging.getLogger("tarragonchute.decisions")


class RequestRecord:
    """What is known of one request when it ends.

    Parameters
    ----------
    request : httpio.HttpRequest
    request_id : str or None
    started_at : float
        Monotonic seconds.

    Attributes
    ----------
    query : queries.Query or None
        None if the request was rejected before one was built.
    response : httpio.HttpResponse or None
    error : errors.TarragonchuteError or None
        Both are None if the caller left first.
    """

    __slots__ = ("_request", "_request_id", "_started_at", "query", "response", "error")

    def __init__(self, request, request_id, started_at):
        self._request = request
        self._request_id = request_id
        self._started_at = started_at
        self.query = None
        self.response = None
        self.error = None

    def write(self, metrics, now):
        """Write the log line and update the metrics.

        Parameters
        ----------
        metrics : gatewaymetrics.GatewayMetrics
        now : float
            Monotonic seconds.
        """
        elapsed_s = now - self._started_at
        if not isinstance(self.error, (AllowanceExceededError, AllowanceUnknownError)):
            # Refusals by allowance are many, and are logged together by `allowances`.
            self._write_log_line(elapsed_s)
        self._update_metrics(metrics, elapsed_s)

    def _write_log_line(self, elapsed_s):
        query, response, error = self.query, self.response, self.error
        fields = {"request_id": self._request_id or "", "path": self._request.path}
        if query is not None:
            fields["route"] = query.route.name
            fields["version"] = query.version
            if query.customer_name:
                fields["customer"] = query.customer_name
            fields.update(query.describe())
        if response is not None:
            fields["status"] = response.status
        elif error is not None:
            fields["status"] = error.status
            fields["code"] = error.code
            fields["cause"] = str(error)
        else:
            fields["code"] = "caller_left"
        fields["ms"] = round(elapsed_s * 1000, 1)
        logger.info("request ended", extra=fields)

    def _update_metrics(self, metrics, elapsed_s):
        query, response, error = self.query, self.response, self.error
        result = "caller_left"
        if response is not None:
            result = "ok" if response.status < 400 else "target_error"
        elif error is not None:
            result = error.code
        kind = NO_ROUTE
        if query is not None:
            kind = SEARCH if query.route.is_search else SINGLE
            metrics.count_subrequests(query.subrequests)
        metrics.observe_request(kind, result, elapsed_s)
        if kind is SEARCH and response is not None:
            coverage = query.included / query.total
            metrics.observe(SEARCH_COVERAGE, (), coverage)
