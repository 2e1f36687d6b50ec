"""The possible outcomes of a request, and the reasons that metrics count."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Execution(enum.Enum):
    """What is known about whether a request was executed at a backend server."""

    NOT_RUN = "not_run"
    """No part of it was or will be executed: it was not sent, or the server says so."""

    MAY_HAVE_RUN = "may_have_run"
    """It was sent, and it is unknown whether it took effect."""

    RAN = "ran"
    """It was executed, at least in part."""


class Reason(enum.Enum):
    """Why a request was refused, failed, retried or moved. Metrics count each reason."""

    BAD_REQUEST = "bad_request"
    """The request is malformed or invalid."""
    UNKNOWN_ORGANISATION = "unknown_organisation"
    """The organisation is not in the configuration."""
    UNKNOWN_SERVICE = "unknown_service"
    """The service, model or path is not in the configuration."""
    NOT_READY = "not_ready"
    """The node has no configuration yet, or its configuration is stale."""
    LEAVING = "leaving"
    """The node is stopping; the caller should look up another address."""
    NO_SERVER = "no_server"
    """No backend server can accept the request now."""
    OVERLOADED = "overloaded"
    """The request is predicted to miss its deadline, or too many claims are queued."""
    ORGANISATION_LIMIT = "organisation_limit"
    """The organisation exceeds its rate limit."""
    DEADLINE = "deadline"
    """The request's deadline passed."""
    QUARANTINED = "quarantined"
    """Requests like this one have crashed backend servers."""
    LOG_UNAVAILABLE = "log_unavailable"
    """The log, which calls that are not idempotent need, does not respond."""
    KEY_MISSING = "key_missing"
    """A call that is not idempotent has no idempotency key."""
    KEY_EXPIRED = "key_expired"
    """The idempotency key is older than the time for which keys are valid."""
    KEY_FROM_FUTURE = "key_from_future"
    """The timestamp of the idempotency key lies in the future."""
    KEY_REUSED = "key_reused"
    """The idempotency key was used before for a different call."""
    ALREADY_RUNNING = "already_running"
    """A call with this idempotency key is in flight."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """A call with this idempotency key was sent, and its outcome is unknown."""
    BACKEND_REFUSED = "backend_refused"
    """The backend server refused the request and reported it as not executed."""
    BACKEND_UNREACHABLE = "backend_unreachable"
    """No connection to the backend server could be opened."""
    BACKEND_CRASHED = "backend_crashed"
    """The backend server closed or reset the connection before the response was complete."""
    BACKEND_SILENT = "backend_silent"
    """The connection to the backend server made no progress within the timeout."""
    BACKEND_ERROR = "backend_error"
    """The backend server responded with an error."""
    STREAM_GAP = "stream_gap"
    """Frames of the stream were lost and could not be fetched again."""
    RETRY_BUDGET = "retry_budget"
    """The service's retry budget is exhausted."""
    SERVER_LEAVING = "server_leaving"
    """The request moved because its backend server or zone is being taken out of service."""
    PREEMPTED = "preempted"
    """The request lost its server to a more urgent request and was queued again."""
    CANCELLED = "cancelled"
    """The caller disconnected."""


class Answered(NamedTuple):
    """The request has its complete response."""

    status: int = 200
    """HTTP status of the response."""


class Refused(NamedTuple):
    """The request was refused; it was not executed and will not be."""

    reason: Reason
    """Why it was refused."""

    detail: str
    """One sentence for the caller."""

    retry_after_seconds: float | None = None
    """Time after which the caller may resend; `None` if a resent request would fail again."""

    address: str | None = None
    """Caller address of another node to use; `None` if no other node is known."""


class Failed(NamedTuple):
    """The request was admitted and has no complete response."""

    reason: Reason
    """Why it failed."""

    detail: str
    """One sentence for the caller."""

    ran: Execution
    """What is known about whether it was executed."""

    retry_after_seconds: float | None = None
    """Time after which the caller may resend; `None` if a resent request would fail again."""


Outcome = Answered | Refused | Failed
"""Outcome of a request."""

STATUS_BY_REASON: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_ORGANISATION: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.NOT_READY: 503,
    Reason.LEAVING: 503,
    Reason.NO_SERVER: 503,
    Reason.OVERLOADED: 429,
    Reason.ORGANISATION_LIMIT: 429,
    Reason.DEADLINE: 504,
    Reason.QUARANTINED: 422,
    Reason.LOG_UNAVAILABLE: 503,
    Reason.KEY_MISSING: 400,
    Reason.KEY_EXPIRED: 400,
    Reason.KEY_FROM_FUTURE: 400,
    Reason.KEY_REUSED: 422,
    Reason.ALREADY_RUNNING: 409,
    Reason.OUTCOME_UNKNOWN: 504,
    Reason.BACKEND_REFUSED: 503,
    Reason.BACKEND_UNREACHABLE: 502,
    Reason.BACKEND_CRASHED: 502,
    Reason.BACKEND_SILENT: 504,
    Reason.BACKEND_ERROR: 502,
    Reason.STREAM_GAP: 502,
    Reason.RETRY_BUDGET: 503,
    Reason.SERVER_LEAVING: 503,
    Reason.PREEMPTED: 503,
    Reason.CANCELLED: 499,
}
"""HTTP status of the response to the caller, for each reason."""
