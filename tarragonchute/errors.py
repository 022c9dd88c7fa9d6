"""Exceptions with stable codes, and findings that are reported together."""

import enum


class Outcome(enum.StrEnum):
    """What became of a request, as told to its caller."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TarragonchuteError(Exception):
    """Base of every error that this package raises on purpose.

    Parameters
    ----------
    message : str
        Text for people. Programs read `code`.

    Attributes
    ----------
    code : str
        Stable name of the error.
    outcome : Outcome
        What the error says about the request that it ended.
    status : int
        HTTP status of an answer that reports this error.
    retry_after_s : float or None
        Seconds after which another attempt may succeed, if that is known.
    """

    code = "internal"
    outcome = Outcome.UNKNOWN
    status = 500
    retry_after_s = None

    def __init__(self, message=""):
        super().__init__(message or self.code)

    def describe(self, request_id):
        """Return the JSON that an answer with this error carries.

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
    """The request was refused before any of it ran."""

    code = "not_run"
    outcome = Outcome.NOT_RUN
    status = 503


class BadRequestError(NotRunError):
    """The caller's request is malformed or asks for something impossible."""

    code = "bad_request"
    status = 400


class UnknownTeamError(BadRequestError):
    """The request names a team that the settings do not have."""

    code = "unknown_team"
    status = 404


class UnknownDatasetError(BadRequestError):
    """The request names a dataset that the settings do not have."""

    code = "unknown_dataset"
    status = 404


class KeyRequiredError(BadRequestError):
    """A booking came without an idempotency key."""

    code = "key_required"


class KeyConflictError(NotRunError):
    """An idempotency key was used again with another body."""

    code = "key_conflict"
    status = 409


class OverloadedError(NotRunError):
    """The work was refused early because it would have been answered late."""

    code = "overloaded"


class TeamOverloadedError(OverloadedError):
    """The team has used its share of this VM and no idle share is left."""

    code = "team_overloaded"
    status = 429


class NoLeaseError(NotRunError):
    """This VM holds no valid lease, so it may not start work."""

    code = "no_lease"


class NotHolderError(NotRunError):
    """A shard request reached a VM that does not hold the target."""

    code = "not_holder"


class DomainOutError(NotRunError):
    """The target's failure domain has been taken out by an operator."""

    code = "domain_out"


class DrainingError(NotRunError):
    """This VM is shutting down and takes no new requests."""

    code = "draining"


class DeadlinePassedError(NotRunError):
    """The deadline had passed before the work was started."""

    code = "deadline_passed"
    status = 504


class CoverageTooLowError(TarragonchuteError):
    """Fewer shards answered than the caller accepts.

    Attributes
    ----------
    coverage : searches.Coverage or None
    load_refusals : int
        Attempts that were refused because of load.
    """

    code = "coverage_too_low"
    status = 503

    def __init__(self, message="", coverage=None, load_refusals=0):
        super().__init__(message)
        self.coverage = coverage
        self.load_refusals = load_refusals


class OutcomeUnknownError(TarragonchuteError):
    """The work was sent and no answer tells whether it ran."""

    code = "outcome_unknown"
    status = 504


class RouteNotFoundError(BadRequestError):
    """No route of the configuration has this host and path."""

    code = "route_not_found"
    status = 404


class NoConfigurationError(NotRunError):
    """This VM has not received a configuration since its start."""

    code = "no_configuration"


class NoTargetError(NotRunError):
    """No target of the service may take the request now."""

    code = "no_target"


class TargetFailedError(TarragonchuteError):
    """A target took the request and gave no usable answer; it may have run."""

    code = "target_failed"
    status = 502


class TargetTimeoutError(TarragonchuteError):
    """The time limit passed while a target was at work; it may have run."""

    code = "target_timeout"
    status = 504


class TooFewShardsError(TarragonchuteError):
    """Fewer shards answered than the route requires."""

    code = "too_few_shards"
    status = 504


class HistoryLostError(NotRunError):
    """The key-value service no longer has the changes that a watch asked for."""

    code = "history_lost"


class RelayUnavailableError(NotRunError):
    """The VM that this VM follows does not answer or does not watch the store."""

    code = "relay_unavailable"


class RelayWithoutStoreError(RelayUnavailableError):
    """The VM that this VM follows answers, but does not reach the store itself."""

    code = "relay_without_store"


class StoreUnavailableError(NotRunError):
    """The key-value service could not be reached, or refused the call."""

    code = "store_unavailable"


class StoreBusyError(NotRunError):
    """The call would exceed this VM's share of the store's write budget."""

    code = "store_busy"


class StoreRegressedError(NotRunError):
    """The store lost writes, and the claims in it are being restored."""

    code = "store_regressed"


class LeaseNotFoundError(NotRunError):
    """The lease named in a call does not exist, or has ended."""

    code = "lease_not_found"
    status = 404


class StoreConflictError(TarragonchuteError):
    """A compare-and-swap found another revision than the expected one.

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


class StoreOutcomeUnknownError(TarragonchuteError):
    """The answer to a write was lost, so it may or may not have taken effect."""

    code = "store_outcome_unknown"
    status = 504


class SettingsTooLargeError(BadRequestError):
    """A settings subtree would exceed the size that the store can hold."""

    code = "settings_too_large"
    status = 413


class SettingsConflictError(NotRunError):
    """Another operator changed the same subtree first."""

    code = "settings_conflict"
    status = 409


class NotAuthorizedError(NotRunError):
    """The token does not open this subtree or this admin route."""

    code = "not_authorized"
    status = 403


class ProtocolError(TarragonchuteError):
    """A peer sent bytes that do not follow the agreed protocol."""

    code = "protocol_error"
    status = 502


class PortInUseError(TarragonchuteError):
    """A listening address is already taken by another process."""

    code = "port_in_use"


class Finding:
    """One fault in an input, with the place where it was found.

    Parameters
    ----------
    place : str
        For settings, ``FILE:LINE: section.option``.
    message : str
        What is wrong and what is expected.
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
    """All faults of an input, reported at once.

    Parameters
    ----------
    findings : list of Finding
        Never empty.
    """

    code = "invalid_settings"

    def __init__(self, findings):
        self.findings = list(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


def find_error_class(code):
    """Return the exception class with this code, or None.

    Parameters
    ----------
    code : str
        A code as carried in an answer between VMs.
    """
    return _CLASSES_BY_CODE.get(code)


def _list_subclasses(base):
    for child in base.__subclasses__():
        yield child
        yield from _list_subclasses(child)


_CLASSES_BY_CODE = {cls.code: cls for cls in _list_subclasses(TarragonchuteError)}
