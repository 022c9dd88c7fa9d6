"""Options of an HTTP server, with their defaults."""

from .httpmessages import MAX_BODY_BYTES
from .memory import Source

MAX_HEADER_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 75.0
REQUEST_TIMEOUT_S = 10.0
ACCEPT_GRACE_S = 0.25

SEND_TIMEOUT_S = 10.0
"""Time after which a caller that takes no bytes of its answer is closed. Ordinary
callers wait for it; a lost segment is sent again within a second."""


class ServerOptions:
    """Limits, timeouts and disconnect handling of a server.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Larger requests are rejected with 431 or 413 and their connection is closed.
    idle_timeout_s : float
        Seconds after which an idle connection is closed.
    request_timeout_s : float
        Seconds from the first byte of a request until it must be complete; a later
        one is rejected with 408.
    accept_grace_s : float
        Seconds for which a draining server still accepts connections and requests, so
        that those sent before the client noticed the shutdown are served.
    cancel_on_disconnect : bool
        Whether the handler is cancelled when the client closes the connection, or the
        sending half of it, before the response has been sent.
    memory : memory.MemoryAccount or None
        Shared by all servers of the process; None for one of this server alone.
    source : memory.Source
        Who opens connections to this server.
    send_timeout_s : float
        Seconds after which a connection is closed if nothing of a response is taken.
    """

    __slots__ = (
        "max_header_bytes",
        "max_body_bytes",
        "idle_timeout_s",
        "request_timeout_s",
        "accept_grace_s",
        "cancel_on_disconnect",
        "memory",
        "source",
        "send_timeout_s",
    )

    def __init__(
        self,
        max_header_bytes=MAX_HEADER_BYTES,
        max_body_bytes=MAX_BODY_BYTES,
        idle_timeout_s=IDLE_TIMEOUT_S,
        request_timeout_s=REQUEST_TIMEOUT_S,
        accept_grace_s=ACCEPT_GRACE_S,
        cancel_on_disconnect=False,
        memory=None,
        source=Source.CALLER,
        send_timeout_s=SEND_TIMEOUT_S,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.idle_timeout_s = idle_timeout_s
        self.request_timeout_s = request_timeout_s
        self.accept_grace_s = accept_grace_s
        self.cancel_on_disconnect = cancel_on_disconnect
        self.memory = memory
        self.source = source
        self.send_timeout_s = send_timeout_s
