"""A request that is forwarded: what the caller sent, what a server said, what may follow."""

from __future__ import annotations

import enum
from typing import NamedTuple

from dragonflycove.fleet import catalog

LEAST_SILENCE_SECONDS = 1.2
"""Shortest silence after which a stream is moved; most reads of long prompts take less."""

SILENT_GAPS = 2.5
"""Silence, in longest pauses that are in time, after which a running stream is moved."""

FIRST_EVENT_FACTOR = 2.5
"""Silence before the first event, in predicted times, after which a stream is moved."""

FIRST_EVENT_MARGIN_SECONDS = 0.7
"""Silence before the first event that is allowed beside that; covers an engine's stall of a pass."""

LEAST_FIRST_EVENT_SHARE = 0.5
"""Share of the time after which callers give up for which a first event is awaited at least.

A long prompt that is moved is read again from its start, by several engines.
"""

HOLDING_SILENCE_SECONDS = 3.4
"""Silence before the first event that is allowed while memory is set aside.

The users allow four seconds between a request's end and the return of its memory.
"""

PATIENCE_SHARE = 0.7
"""Share of the time after which callers give a silent stream up at which it is moved at the latest."""

PLACEMENT_TIMEOUT_SHARE = 0.85
"""Share of that time up to which a request is placed; the rest covers errors of predictions."""

CALLER_PATIENCE_SECONDS = 2.0
"""Shortest silence after which callers give a stream up."""

CALLER_PATIENCE_GOALS = 4.0
"""That silence in goals for the first event."""

CALLER_PATIENCE_GAPS = 8.0
"""That silence in longest pauses that are in time."""

REPEAT_GOALS = 1.5
"""Goals after which a lookup without an answer is sent to another server."""

REPEAT_SECONDS = 0.25
"""Shortest time after which a lookup is sent to another server."""


class CallerRequest(NamedTuple):
    """A caller's request."""

    method: bytes
    """Method."""

    target: bytes
    """Path and query as sent."""

    path: str
    """Path."""

    host: str
    """Host header in lower case."""

    headers: tuple[tuple[bytes, bytes], ...]
    """All headers; names in lower case."""

    body: bytes
    """Body."""

    attempt_id: str
    """The caller's id of this try; empty if it sent none."""

    deadline_seconds: float | None
    """How long the caller waits; None if it does not say."""

    key: str | None
    """The caller's key; None if it sent none."""

    prompt_tokens: int
    """Prompt length; 0 where there is no prompt."""

    output_tokens: int
    """Expected output length; 0 where there is none."""

    last_event_number: int | None
    """Number of the last event that the caller has of a broken stream; None for a new request."""

    content_hash: int
    """Hash of target and body."""


class ResponseHead(NamedTuple):
    """What the head of a server's answer says."""

    status: int
    """Status code."""

    headers: tuple[tuple[bytes, bytes], ...]
    """Headers to pass on."""

    attempt_id: str | None
    """Id of the request that it answers; None if it names none."""

    is_signed: bool
    """Whether it bears the server's signature."""

    is_not_run: bool
    """Whether the server did not run the request and never will."""

    is_encoded: bool
    """Whether something on the way encoded the body."""

    closes: bool
    """Whether the server closes the connection after it."""

    idle_seconds: float | None
    """How long the server keeps the connection open while idle; None if it does not say."""

    faulty_address: catalog.Address | None
    """Address of the server that could not do its part; None if the answer names none."""


class AttemptEnd(enum.Enum):
    """How one send ended."""

    DELIVERED = "delivered"
    """The caller has the whole answer."""

    ERROR_STATUS = "error_status"
    """A whole answer with a status of 500 or above, which another server might not give."""

    NOT_RUN = "not_run"
    """The server says that it did not run the request."""

    NOT_SENT = "not_sent"
    """Nothing was sent."""

    STALE = "stale"
    """A kept connection broke without a byte of an answer; the request may have run."""

    BROKEN = "broken"
    """The connection broke, or the answer was damaged; the request may have run."""

    SERVER_GONE = "server_gone"
    """The connection broke and the server is gone; the request may have run."""

    SILENT = "silent"
    """Nothing came in time; the request may have run."""


PROVEN_NOT_RUN = frozenset({AttemptEnd.NOT_RUN, AttemptEnd.NOT_SENT})
"""Ends after which the request has not run and never will."""


_UNCOUNTED = PROVEN_NOT_RUN | {AttemptEnd.STALE, AttemptEnd.SERVER_GONE}
"""Ends that the route's limit of servers does not count."""


class FinalResponse(NamedTuple):
    """An answer of this system itself."""

    status: int
    """Status code."""

    reason: str
    """Reason, in snake case."""

    retry_after_seconds: float | None
    """When to come back; None to say nothing."""


def first_event_timeout_seconds(
    route: catalog.Route, predicted_seconds: float, *, has_reservations: bool = False
) -> float:
    """Return how long to wait for a stream's first event before it is moved.

    Args:
        route: The route.
        predicted_seconds: Predicted time to the first event.
        holds_memory: Whether memory is set aside for it at other engines, which must be given back
            soon if its first engine has died.
    """
    wanted = FIRST_EVENT_FACTOR * predicted_seconds + FIRST_EVENT_MARGIN_SECONDS
    longest = route_caller_timeout_seconds(route)
    silence = min(max(wanted, LEAST_FIRST_EVENT_SHARE * longest), PATIENCE_SHARE * longest)
    if has_reservations:
        held = max(HOLDING_SILENCE_SECONDS, predicted_seconds + FIRST_EVENT_MARGIN_SECONDS)
        silence = min(silence, held)
    return silence


def placement_timeout_seconds(
    route: catalog.Route, waited_seconds: float, left_seconds: float, *, has_started: bool
) -> float:
    """Return the time from now on up to which a request is placed.

    A stream that has begun is placed until its deadline: to refuse it would cut it.

    Args:
        route: The route.
        waited_seconds: Time since the caller heard anything.
        left_seconds: Time to the deadline.
        is_begun: Whether the caller has events already.
    """
    if has_started or route.kind is not catalog.CallKind.STREAMING:
        return left_seconds
    return PLACEMENT_TIMEOUT_SHARE * route_caller_timeout_seconds(route) - waited_seconds


def gap_timeout_seconds(route: catalog.Route) -> float:
    """Return how long a running stream may be silent before it is moved.

    Args:
        route: The route.
    """
    wanted = max(LEAST_SILENCE_SECONDS, SILENT_GAPS * route.gap_target_seconds)
    return min(wanted, PATIENCE_SHARE * route_caller_timeout_seconds(route))


def caller_timeout_seconds(latency_target_seconds: float, gap_target_seconds: float) -> float:
    """Return the silence after which callers give a stream up.

    Args:
        goal_seconds: Goal for the first event.
        gap_goal_seconds: Longest pause that is in time.
    """
    return max(
        CALLER_PATIENCE_SECONDS,
        CALLER_PATIENCE_GOALS * latency_target_seconds,
        CALLER_PATIENCE_GAPS * gap_target_seconds,
    )


def route_caller_timeout_seconds(route: catalog.Route) -> float:
    """Return the silence after which callers give a route's streams up.

    Args:
        route: The route.
    """
    return caller_timeout_seconds(route.latency_target_seconds, route.gap_target_seconds)


def retry_timeout_seconds(route: catalog.Route) -> float | None:
    """Return when an unanswered call is sent to another server.

    Args:
        route: The route.

    Returns:
        The time in seconds; None if the call must not be sent again.
    """
    if route.kind is not catalog.CallKind.IDEMPOTENT:
        return None
    return max(REPEAT_SECONDS, REPEAT_GOALS * route.latency_target_seconds)


def may_retry(end: AttemptEnd, route: catalog.Route) -> bool:
    """Whether a request may go to another server after a send.

    Args:
        end: How the send ended.
        route: The request's route.
    """
    if end in PROVEN_NOT_RUN:
        return True
    return end is not AttemptEnd.DELIVERED and route.is_retryable


def has_attempt_left(ends: list[AttemptEnd], route: catalog.Route) -> bool:
    """Whether the route allows another server to run a request.

    Servers that are gone, and sends that reached none, don't count.

    Args:
        ends: How the request's sends ended.
        route: Its route.
    """
    return sum(end not in _UNCOUNTED for end in ends) < route.max_attempts


def final_response(ends: list[AttemptEnd], *, out_of_time: bool) -> FinalResponse:
    """Choose the answer to a request that was sent but not served.

    Args:
        ends: How its sends ended.
        out_of_time: Whether its time has run out.

    Returns:
        The answer; it promises that nothing ran only where that is so.
    """
    if all(end in PROVEN_NOT_RUN for end in ends):
        return FinalResponse(503, "servers_refused" if ends else "no_time_left", 0.3)
    if out_of_time:
        return FinalResponse(504, "out_of_time", None)
    return FinalResponse(502, ends[-1].value, None)
