"""Values and rules of forwarding a request: request, response head, timeouts, retries."""

from __future__ import annotations

import enum
from typing import NamedTuple

from dragonflycove.fleet import catalog

MIN_GAP_TIMEOUT_SECONDS = 1.2
"""Lower limit of the timeout between events; most prefills of long prompts take less."""

GAP_TIMEOUT_FACTOR = 2.5
"""Timeout between events, as a multiple of the route's target for gaps."""

FIRST_EVENT_TIMEOUT_FACTOR = 2.5
"""Timeout for the first event, as a multiple of its predicted time."""

FIRST_EVENT_TIMEOUT_MARGIN_SECONDS = 0.7
"""Time added to the multiple of the predicted time; covers an engine that stalls for a pass."""

MIN_FIRST_EVENT_TIMEOUT_SHARE = 0.5
"""Lower limit of the timeout for the first event, as a share of the caller's timeout.

A long prompt that is moved is prefilled again from its start, by several engines.
"""

MAX_TIMEOUT_SHARE = 0.7
"""Upper limit of the timeouts, as a share of the caller's timeout."""

PLACEMENT_TIMEOUT_SHARE = 0.85
"""Share of the caller's timeout within which a request is placed.

The rest covers prediction errors.
"""

MIN_CALLER_TIMEOUT_SECONDS = 2.0
"""Lower limit of the time without events after which callers abandon a stream."""

CALLER_TIMEOUT_TARGET_FACTOR = 4.0
"""Time without events after which callers abandon a stream, in latency targets."""

CALLER_TIMEOUT_GAP_FACTOR = 8.0
"""Time without events after which callers abandon a stream, in targets for gaps."""

RETRY_TIMEOUT_TARGET_FACTOR = 1.5
"""Time without a response after which an idempotent call is retried, in latency targets."""

MIN_RETRY_TIMEOUT_SECONDS = 0.25
"""Lower limit of the time without a response after which an idempotent call is retried."""


class CallerRequest(NamedTuple):
    """A caller's HTTP request, parsed."""

    method: bytes
    """HTTP method."""

    target: bytes
    """Path and query as sent by the caller."""

    path: str
    """Path without the query."""

    host: str
    """Host header in lower case."""

    headers: tuple[tuple[bytes, bytes], ...]
    """All headers; names in lower case."""

    body: bytes
    """Body; empty if there is none."""

    attempt_id: str
    """The caller's id for this submission of the request; empty if not given."""

    deadline_seconds: float | None
    """Time for which the caller waits for the complete response; None if not given."""

    key: str | None
    """The caller's API key; None if not given."""

    prompt_tokens: int
    """Prompt length; 0 for requests without a prompt."""

    output_tokens: int
    """Output length that the caller expects; 0 if not given."""

    last_event_id: bytes | None
    """Id of the last event that the caller received of an interrupted stream, as it was sent.

    None for a new request.
    """

    content_hash: int
    """Hash of target and body."""

    shared_parts: tuple[str, ...] = ()
    """Ids of the parts of its prompt that other requests may share, in order."""

    arrived_at: float = float("inf")
    """Loop time at which its head was read; inf if unknown."""


class RateLimit(NamedTuple):
    """What a server's response states of the rate of requests that it takes."""

    requests_per_second: float | None
    """Requests that it takes from all nodes together; None if it states no limit."""

    is_readable: bool = True
    """Whether the statement could be decoded; if not, it changes nothing."""


NO_RATE_LIMIT = RateLimit(None)
"""A response without a limit."""

UNREADABLE_RATE_LIMIT = RateLimit(None, is_readable=False)
"""A response with a limit that is no decimal number."""


class ResponseHead(NamedTuple):
    """Status and headers of a server's response, parsed."""

    status: int
    """HTTP status code."""

    headers: tuple[tuple[bytes, bytes], ...]
    """Headers to pass on to the caller."""

    attempt_id: str | None
    """Attempt id of the request that it responds to; None if not given."""

    is_signed: bool
    """Whether the server signed it."""

    is_not_executed: bool
    """Whether the server states that it has not executed the request and never will."""

    is_encoded: bool
    """Whether an intermediary encoded the body, such as by compression."""

    closes: bool
    """Whether the server closes the connection after this response."""

    idle_seconds: float | None
    """Time for which the server keeps an idle connection open; None if not given."""

    faulty_address: catalog.Address | None
    """Address of the helper that failed or refused to help; None if not given."""

    rate_limit: RateLimit = NO_RATE_LIMIT
    """The rate of requests that the server states to take."""

    retry_after_seconds: float | None = None
    """Time for which the sender wants no further request; None if not given or malformed."""

    is_leaving: bool = False
    """Whether the server states that it leaves."""


def continues_stream(first: ResponseHead, head: ResponseHead) -> bool:
    """Whether a response may be the rest of a stream that began with another one.

    Args:
        first: Head that the stream began with.
        head: Head of the response of the next server.
    """
    return (head.status, _content_type(head)) == (first.status, _content_type(first))


def _content_type(head: ResponseHead) -> bytes:
    """Return the media type in lower case, without its parameters; empty if there is none."""
    for name, value in head.headers:
        if name == b"content-type":
            return value.partition(b";")[0].strip().lower()
    return b""


class AttemptEnd(enum.Enum):
    """How one attempt at a server ended; decides on a retry."""

    DELIVERED = "delivered"
    """The complete response was passed on to the caller."""

    ERROR_STATUS = "error_status"
    """A complete response with a status of at least 500; another server might succeed."""

    NOT_EXECUTED = "not_run"
    """The server states that it did not execute the request."""

    NOT_SENT = "not_sent"
    """No byte of the request was sent."""

    STALE = "stale"
    """A reused connection brought no response of its own; the request may have run."""

    BROKEN = "broken"
    """The connection was closed or the response was malformed; the request may have run."""

    SERVER_UNREACHABLE = "server_gone"
    """The connection was closed, the server accepts no new one; the request may have run."""

    TIMEOUT = "silent"
    """The response or an event timed out; the request may have run."""


PROVEN_NOT_EXECUTED = frozenset({AttemptEnd.NOT_EXECUTED, AttemptEnd.NOT_SENT})
"""Ends of attempts that prove that the server has not executed the request and never will."""


_UNCOUNTED_ENDS = PROVEN_NOT_EXECUTED | {AttemptEnd.SERVER_UNREACHABLE}
"""Ends of attempts that don't count towards the route's limit of attempts."""


class FinalResponse(NamedTuple):
    """An error response that the node itself generates."""

    status: int
    """HTTP status code."""

    reason: str
    """Reason in snake case, for the body and the log."""

    retry_after_seconds: float | None
    """Time after which the caller may resend; None for no `Retry-After` header."""


def first_event_timeout_seconds(route: catalog.Route, predicted_seconds: float) -> float:
    """Return how long to wait for a stream's first event before another server is tried.

    Args:
        route: The route.
        predicted_seconds: Predicted time to the first event.
    """
    wanted = FIRST_EVENT_TIMEOUT_FACTOR * predicted_seconds + FIRST_EVENT_TIMEOUT_MARGIN_SECONDS
    caller_timeout = route_caller_timeout_seconds(route)
    return min(
        max(wanted, MIN_FIRST_EVENT_TIMEOUT_SHARE * caller_timeout),
        MAX_TIMEOUT_SHARE * caller_timeout,
    )


def placement_timeout_seconds(
    route: catalog.Route, waited_seconds: float, remaining_seconds: float, *, has_started: bool
) -> float:
    """Return the time from now within which a request must be placed.

    A stream that has started may be placed until its deadline, since a refusal would cut it off.

    Args:
        route: The route.
        waited_seconds: Time since the request or since the last event that the caller received.
        remaining_seconds: Time to the deadline.
        has_started: Whether the caller has received events.
    """
    if has_started or route.kind is not catalog.CallKind.STREAMING:
        return remaining_seconds
    return PLACEMENT_TIMEOUT_SHARE * route_caller_timeout_seconds(route) - waited_seconds


def gap_timeout_seconds(route: catalog.Route) -> float:
    """Return how long to wait for a running stream's next event before another server is tried.

    Args:
        route: The route.
    """
    wanted = max(MIN_GAP_TIMEOUT_SECONDS, GAP_TIMEOUT_FACTOR * route.gap_target_seconds)
    return min(wanted, MAX_TIMEOUT_SHARE * route_caller_timeout_seconds(route))


def caller_timeout_seconds(latency_target_seconds: float, gap_target_seconds: float) -> float:
    """Return the time without events after which callers abandon a stream.

    Args:
        latency_target_seconds: Latency target for the first event.
        gap_target_seconds: Latency target for the gap between two events.
    """
    return max(
        MIN_CALLER_TIMEOUT_SECONDS,
        CALLER_TIMEOUT_TARGET_FACTOR * latency_target_seconds,
        CALLER_TIMEOUT_GAP_FACTOR * gap_target_seconds,
    )


def route_caller_timeout_seconds(route: catalog.Route) -> float:
    """Return the time without events after which callers abandon a route's streams.

    Args:
        route: The route.
    """
    return caller_timeout_seconds(route.latency_target_seconds, route.gap_target_seconds)


def retry_timeout_seconds(route: catalog.Route) -> float | None:
    """Return the time without a response after which a call is retried at another server.

    Args:
        route: The route.

    Returns:
        The time in seconds; None if the route's calls must not be retried.
    """
    if route.kind is not catalog.CallKind.IDEMPOTENT:
        return None
    return max(
        MIN_RETRY_TIMEOUT_SECONDS, RETRY_TIMEOUT_TARGET_FACTOR * route.latency_target_seconds
    )


def may_retry(end: AttemptEnd, route: catalog.Route) -> bool:
    """Whether a request may be retried at another server after an attempt.

    Args:
        end: How the attempt ended.
        route: The request's route.
    """
    if end in PROVEN_NOT_EXECUTED:
        return True
    return end is not AttemptEnd.DELIVERED and route.is_retryable


def has_attempt_left(ends: list[AttemptEnd], route: catalog.Route) -> bool:
    """Whether the route's limit of attempts allows another one.

    Attempts that reached no server, that the server did not execute, or whose server became
    unreachable don't count.

    Args:
        ends: How the request's attempts ended.
        route: The request's route.
    """
    return _counted_attempts(ends) < route.max_attempts


def needs_fresh_connection(ends: list[AttemptEnd], route: catalog.Route) -> bool:
    """Whether the next attempt must not use a kept connection, which may be stale.

    It must not if the request can't be retried afterwards.

    Args:
        ends: How the request's attempts ended.
        route: The request's route.
    """
    return not route.is_retryable or _counted_attempts(ends) + 1 >= route.max_attempts


def _counted_attempts(ends: list[AttemptEnd]) -> int:
    return sum(is_counted(end) for end in ends)


def is_counted(end: AttemptEnd) -> bool:
    """Whether an attempt counts towards the route's limit.

    Args:
        end: How it ended.
    """
    return end not in _UNCOUNTED_ENDS


def final_response(ends: list[AttemptEnd], *, deadline_passed: bool) -> FinalResponse:
    """Choose the error response to a request for which no attempt succeeded.

    Args:
        ends: How the attempts ended.
        out_of_time: Whether the deadline has passed.

    Returns:
        The response; its status is 503, which states that nothing ran, only if that is proven.
    """
    if all(end in PROVEN_NOT_EXECUTED for end in ends):
        return FinalResponse(503, "servers_refused" if ends else "no_time_left", 0.3)
    if deadline_passed:
        return FinalResponse(504, "out_of_time", None)
    return FinalResponse(502, ends[-1].value, None)
