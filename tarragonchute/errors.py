"""Exceptions with stable error codes, and findings of a validation."""

import enum


class Outcome(enum.StrEnum):
    """Whether a request was executed, as reported to its caller."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TarragonchuteError(Exception):
    """Base class of all errors that this package raises deliberately.

    Parameters
    ----------
    message : str
        Text for humans; programs use `code`.

    Attributes
    ----------
    code : str
        Stable identifier of the error.
    outcome : Outcome
        Whether the request that failed with this error was executed.
    status : int
        HTTP status of a response that reports this error.
    retry_after_s : float or None
        Seconds after which a retry may succeed; None if unknown.
    """

    code = "internal"
    outcome = Outcome.UNKNOWN
    status = 500
    retry_after_s = None

    def __init__(self, message=""):
        super().__init__(message or self.code)

    def describe(self, request_id):
        """Return the JSON object of a response that reports this error.

        Parameters
        ----------
        request_id : str or None
        """
        return {
            "request_id": request_id,
            "outcome": self.outcome,
            "code": self.code,
            "message": str(self),
        }


class NotRunError(TarragonchuteError):
    """The request was rejected before any part of it was executed."""

    code = "not_run"
    outcome = Outcome.NOT_RUN
    status = 503


class BadRequestError(NotRunError):
    """The caller's request is malformed or cannot be satisfied."""

    code = "bad_request"
    status = 400


class UnknownTeamError(BadRequestError):
    """The request names a team that is not in the settings."""

    code = "unknown_team"
    status = 404


class UnknownDatasetError(BadRequestError):
    """The request names a dataset that is not in the settings."""

    code = "unknown_dataset"
    status = 404


class KeyRequiredError(BadRequestError):
    """A booking request has no idempotency key."""

    code = "key_required"


class KeyConflictError(NotRunError):
    """An idempotency key was reused with a different body."""

    code = "key_conflict"
    status = 409


class OverloadedError(NotRunError):
    """The request was rejected early because its response would have been late."""

    code = "overloaded"


class TeamOverloadedError(OverloadedError):
    """The team has used up its share of this VM, and no idle capacity is left."""

    code = "team_overloaded"
    status = 429


class NoLeaseError(NotRunError):
    """This VM holds no valid lease, so it may not start work."""

    code = "no_lease"


class NotHolderError(NotRunError):
    """A shard request reached a VM that is not the target's lease holder."""

    code = "not_holder"


class DomainOutError(NotRunError):
    """An operator took the target's failure domain out of service."""

    code = "domain_out"


class DrainingError(NotRunError):
    """This VM is shutting down and accepts no new requests."""

    code = "draining"


class DeadlinePassedError(NotRunError):
    """The deadline passed before the request was started."""

    code = "deadline_passed"
    status = 504


class CoverageTooLowError(TarragonchuteError):
    """Fewer shards responded than the caller requires.

    Attributes
    ----------
    coverage : searches.Coverage or None
    load_refusals : int
        Number of attempts that were rejected because of load.
    """

    code = "coverage_too_low"
    status = 503

    def __init__(self, message="", coverage=None, load_refusals=0):
        super().__init__(message)
        self.coverage = coverage
        self.load_refusals = load_refusals


class OutcomeUnknownError(TarragonchuteError):
    """The request was sent, but its response was lost; it may have been executed."""

    code = "outcome_unknown"
    status = 504


class RouteNotFoundError(BadRequestError):
    """No route of the configuration matches the host and path."""

    code = "route_not_found"
    status = 404


class UnknownKeyError(BadRequestError):
    """The request carries no key, or one that no customer holds."""

    code = "unknown_key"
    status = 401


class NoConfigurationError(NotRunError):
    """This VM has received no configuration since it started."""

    code = "no_configuration"


class StoppingError(NotRunError):
    """This VM stops before a target could answer the request."""

    code = "stopping"


class AllowanceExceededError(NotRunError):
    """The customer has used up its allowance."""

    code = "allowance_exceeded"
    status = 429


class AllowanceUnknownError(NotRunError):
    """No VM that keeps the customer's allowance can be reached."""

    code = "allowance_unknown"


class NoTargetError(NotRunError):
    """No target of the service can accept the request at present."""

    code = "no_target"


class TargetFailedError(TarragonchuteError):
    """A target accepted the request but returned no valid response.

    The request may have been executed.
    """

    code = "target_failed"
    status = 502


class TargetTimeoutError(TarragonchuteError):
    """The request timed out at a target; it may have been executed."""

    code = "target_timeout"
    status = 504


class TooFewShardsError(TarragonchuteError):
    """Fewer shards responded than the route requires."""

    code = "too_few_shards"
    status = 504


class HistoryLostError(NotRunError):
    """The key-value store no longer has the changes that a watch requested."""

    code = "history_lost"


class StoreEraChangedError(HistoryLostError):
    """The store came back from an older copy, which gives revisions out again."""

    code = "store_era_changed"


class RelayUnavailableError(NotRunError):
    """This VM's relay does not respond or does not watch the store."""

    code = "relay_unavailable"


class RelayWithoutStoreError(RelayUnavailableError):
    """This VM's relay responds, but cannot reach the store itself."""

    code = "relay_without_store"


class StoreUnavailableError(NotRunError):
    """The key-value store could not be reached, or rejected the call."""

    code = "store_unavailable"


class StoreBusyError(NotRunError):
    """The call would exceed this VM's share of the store's write budget."""

    code = "store_busy"


class StoreRegressedError(NotRunError):
    """The store lost writes, and the claims in it are being restored."""

    code = "store_regressed"


class LeaseNotFoundError(NotRunError):
    """The store lease named in a call does not exist or has expired."""

    code = "lease_not_found"
    status = 404


class StoreConflictError(TarragonchuteError):
    """A compare-and-swap found a revision other than the expected one.

    Attributes
    ----------
    entry : object or None
        The current entry, or None if the key does not exist.
    """

    code = "store_conflict"
    outcome = Outcome.NOT_RUN
    status = 409

    def __init__(self, message="", entry=None):
        super().__init__(message)
        self.entry = entry


class ConditionOutdatedError(StoreConflictError):
    """The revision in the condition of a write is from before a restore of the store.

    The write was not sent, so the current entry is not known.
    """

    code = "condition_outdated"


class StoreOutcomeUnknownError(TarragonchuteError):
    """The response to a write was lost, so the write may have taken effect."""

    code = "store_outcome_unknown"
    status = 504


class SettingsTooLargeError(BadRequestError):
    """A settings subtree would exceed the size that the store can hold."""

    code = "settings_too_large"
    status = 413


class SettingsConflictError(NotRunError):
    """The subtree has changed since the version that an edit is based on."""

    code = "settings_conflict"
    status = 409


class NotAuthorizedError(NotRunError):
    """The token does not authorize access to this subtree or admin route."""

    code = "not_authorized"
    status = 403


class ProtocolError(TarragonchuteError):
    """A peer sent data that violates the protocol."""

    code = "protocol_error"
    status = 502


class PortInUseError(TarragonchuteError):
    """A listening address is already in use by another process."""

    code = "port_in_use"


class Finding:
    """One error in an input, with its location.

    Parameters
    ----------
    place : str
        For settings, ``FILE:LINE: section.option``.
    message : str
        What is wrong, and what is expected instead.
    """

    __slots__ = ("place", "message")

    def __init__(self, place, message):
        self.place = place
        self.message = message

    def __str__(self):
        return f"{self.place}: {self.message}"

    def __eq__(self, other):
        return (
            isinstance(other, Finding)
            and self.place == other.place
            and self.message == other.message
        )

    def __hash__(self):
        return hash((self.place, self.message))


class FindingsError(BadRequestError):
    """All errors in an input, reported together.

    Parameters
    ----------
    findings : list of Finding
        At least one.
    """

    code = "invalid_settings"

    def __init__(self, findings):
        self.findings = list(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


def find_error_class(code):
    """Return the exception class with this code, or None if there is none.

    Parameters
    ----------
    code : str
        Error code from a response of another VM.
    """
    return _CLASSES_BY_CODE.get(code)


def _list_subclasses(base):
    for subclass in base.__subclasses__():
        yield subclass
        yield from _list_subclasses(subclass)


_CLASSES_BY_CODE = {cls.code: cls for cls in _list_subclasses(TarragonchuteError)}
