"""The closed set of outcomes of a request, and the reasons that are counted."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Execution(enum.Enum):
    """What is known about whether a request reached a backend server."""

    NOT_RUN = "not_run"
    """No part of it can ever have run, or the backend server said so."""

    MAY_HAVE_RUN = "may_have_run"
    """It was sent, and nobody can tell whether it took effect."""

    RAN = "ran"
    """It ran."""


class Reason(enum.Enum):
    """Why a request was refused, failed or tried again. Each has a counter."""

    BAD_REQUEST = "bad_request"
    """The request breaks the interface."""
    UNKNOWN_ORGANISATION = "unknown_organisation"
    """The configuration has no such organisation."""
    UNKNOWN_SERVICE = "unknown_service"
    """The configuration has no such service, model or path."""
    NOT_READY = "not_ready"
    """The node has no configuration yet, or one too old to act on."""
    LEAVING = "leaving"
    """The node is stopping; ask for another address."""
    NO_SERVER = "no_server"
    """No backend server may take the request now."""
    OVERLOADED = "overloaded"
    """The estimate says that the request would not end in time."""
    ORGANISATION_LIMIT = "organisation_limit"
    """The organisation is over its own limit."""
    DEADLINE = "deadline"
    """The deadline passed."""
    QUARANTINED = "quarantined"
    """Requests like this one have crashed backend servers."""
    LOG_UNAVAILABLE = "log_unavailable"
    """A call that is not idempotent needs the log, and the log does not answer."""
    KEY_MISSING = "key_missing"
    """A call that is not idempotent came without a key."""
    KEY_EXPIRED = "key_expired"
    """The key is older than the time for which keys are good."""
    KEY_FROM_FUTURE = "key_from_future"
    """The key's time lies in the future."""
    KEY_REUSED = "key_reused"
    """The key was used before for another call."""
    ALREADY_RUNNING = "already_running"
    """A call with this key is under way."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """A call with this key was sent, and nobody can tell what became of it."""
    BACKEND_REFUSED = "backend_refused"
    """The backend server refused the request and said that it did not run."""
    BACKEND_UNREACHABLE = "backend_unreachable"
    """No connection to the backend server could be made."""
    BACKEND_CRASHED = "backend_crashed"
    """The backend server broke off."""
    BACKEND_SILENT = "backend_silent"
    """The backend server's connection made no progress."""
    BACKEND_ERROR = "backend_error"
    """The backend server answered with an error of its own."""
    STREAM_GAP = "stream_gap"
    """The stream lost frames that could not be fetched again."""
    RETRY_BUDGET = "retry_budget"
    """The service's retry budget is used up."""
    SERVER_LEAVING = "server_leaving"
    """The backend server or its zone is leaving, and the request moved."""
    PREEMPTED = "preempted"
    """The request gave its place to one that could not wait, and waits for a server again."""
    CANCELLED = "cancelled"
    """The caller went away."""


class Answered(NamedTuple):
    """The request has its whole answer."""

    status: int = 200
    """HTTP status of the answer."""


class Refused(NamedTuple):
    """The request never ran and never will under this attempt."""

    reason: Reason
    """Why."""

    detail: str
    """One sentence for the caller."""

    retry_after_seconds: float | None = None
    """When to come back; `None` where coming back is of no use."""

    address: str | None = None
    """Another node's address to go to, where the node knows one."""


class Failed(NamedTuple):
    """The request was admitted and did not get its whole answer."""

    reason: Reason
    """Why."""

    detail: str
    """One sentence for the caller."""

    ran: Execution
    """What is known about whether it ran."""

    retry_after_seconds: float | None = None
    """When to come back; `None` where coming back is of no use."""


Outcome = Answered | Refused | Failed
"""What can become of a request."""

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
"""HTTP status that tells a caller of each reason."""
