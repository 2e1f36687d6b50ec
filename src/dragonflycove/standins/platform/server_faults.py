"""Faults of the stand-in for the platform's backend servers."""

from __future__ import annotations

import enum


class Fault(enum.Enum):
    """Fault of one request."""

    REFUSED = "refused"
    """Responds 503 with `X-Not-Executed`, without executing."""

    MISDIRECTED = "misdirected"
    """Responds 421, as a different server at the same address would, without executing."""

    ERROR = "error"
    """Executes and responds 500."""

    EXECUTED_503 = "false_promise"
    """Executes and responds 503, without `X-Not-Executed`."""

    RESET = "reset"
    """Executes and resets the connection without a response."""

    NO_RESPONSE = "silent"
    """Executes and never responds."""

    TRUNCATED = "truncated"
    """Executes and stops in the middle of the response: closes a plain one, resets a stream."""

    INVALID_RESPONSE = "garbage"
    """Executes and sends bytes that are not an HTTP response, then resets the connection."""

    EXTRA_RESPONSE = "extra"
    """Executes and sends the response twice."""

    LATE_EXTRA_RESPONSE = "extra_late"
    """Executes, and sends the response again once the next request has arrived."""

    UNFRAMED = "unframed"
    """Executes and responds without a length, then closes the connection."""

    UNFRAMED_RESET = "unframed_reset"
    """Executes and responds without a length, then resets the connection."""

    UNFRAMED_PARTIAL = "unframed_partial"
    """Executes and sends a stream without a length, which is closed inside an event."""

    UNSIGNED = "unsigned"
    """Executes and responds without the `X-Server-Stamp` header."""

    EARLY_REFUSAL = "early"
    """Responds 413 before the body has arrived, without executing; keeps the connection."""

    STALLED_STREAM = "mute_midway"
    """Executes and stops sending in the middle of a stream, without closing it."""

    ENDLESS_HEAD = "endless_head"
    """Executes and sends bytes without a line end, where the response's head is due."""

    ENDLESS_INFORMATIONAL = "endless_informational"
    """Executes and sends informational responses, which no response follows."""

    ENDLESS_BODY = "endless_body"
    """Executes and sends a body without a length, which doesn't end."""

    ENDLESS_EVENT = "endless_event"
    """Executes and sends an event of a stream that doesn't end."""

    TRICKLING_EVENT = "trickling_event"
    """Executes and sends an event of a stream that doesn't end, a byte at a time."""


ENDLESS_FAULTS = frozenset(
    {
        Fault.ENDLESS_HEAD,
        Fault.ENDLESS_INFORMATIONAL,
        Fault.ENDLESS_BODY,
        Fault.ENDLESS_EVENT,
        Fault.TRICKLING_EVENT,
    }
)
"""Faults in which the server sends until its client closes the connection."""


class CrashMode(enum.Enum):
    """How callers perceive the crash of a server."""

    RESET = "reset"
    """All connections are reset and new ones are refused."""

    CLOSE = "close"
    """All connections are closed in an orderly way and new ones are refused."""

    SILENT = "silent"
    """Connections stay open without a byte, and new ones are not accepted."""
