"""Input and outcome of one attempt at a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import event_stream, forwarding, relaying

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from dragonflycove.fleet import server_health, work
    from dragonflycove.gateway import relay_reports, request_context


class FallbackResponse(NamedTuple):
    """A complete failure response of a server, relayed if no other attempt succeeds."""

    head: forwarding.ResponseHead
    """Status and headers."""

    body: bytes
    """Complete body."""


class AttemptResult(NamedTuple):
    """How an attempt ended, with its effects on retries and on the server's health."""

    end: forwarding.AttemptEnd
    """How the attempt ended; decides on a retry."""

    server_outcome: server_health.Outcome
    """How it counts towards the server's health."""

    fallback: FallbackResponse | None = None
    """The server's failure response, if it was complete."""

    refusing_helper_id: str = ""
    """Id of the helper engine that refused; empty if none refused."""

    is_success: bool = False
    """Whether the caller received a complete response that reports success."""

    first_event_seconds: float = 0.0
    """Time from the attempt's start to the first event or complete response; 0 before."""

    failure: str = ""
    """Why no connection could be opened; empty if one was open."""

    refusal: forwarding.FinalResponse | None = None
    """Response that another node made itself, which runs this node's request; None otherwise."""


class ExchangeCallbacks(NamedTuple):
    """What an exchange calls while it runs."""

    on_sent: Callable[[], None]
    """Called when the request has been sent."""

    on_head: Callable[[forwarding.ResponseHead], None]
    """Called with the head of the response to this request."""

    on_crossed_head: Callable[[forwarding.ResponseHead], None]
    """Called with the head of a late response to an earlier request on the connection."""

    on_first_event: Callable[[], None]
    """Called when the first event of a stream arrives."""

    wait_for_move: Callable[[], Coroutine[None, None, None]]
    """Returns once the request may leave its server, silent from the call on, for another one."""


class PlacedAttempt(NamedTuple):
    """An attempt with the servers that it was placed on."""

    job: work.Job
    """The attempt."""

    grant: work.Grant
    """Its servers."""


class AttemptPlan(NamedTuple):
    """Servers and timing of one attempt."""

    grant: work.Grant
    """The servers that the request was placed on."""

    helpers: tuple[str, ...]
    """Helper engines, each encoded as the engine that leads expects it."""

    needs_fresh_connection: bool
    """Whether it must not use a kept connection."""

    predicted_seconds: float
    """Predicted time to the first event."""

    wait_until_lost: Callable[[], Coroutine[None, None, None]] | None
    """Returns once the server, silent from the call on, no longer runs the request.

    None if other engines hold no KV cache for it, so that nothing is lost by waiting.
    """

    may_send: Callable[[], bool]
    """Returns whether the request may still be sent, right before it is."""

    callbacks: ExchangeCallbacks
    """What the exchange with the server calls."""

    on_sending: Callable[[], None] = lambda: None
    """Called right before the request is sent."""


class RequestState:
    """What all attempts of one request have led to so far."""

    def __init__(self, context: request_context.RequestContext) -> None:
        """Go on where the node left off that relays the request, if any.

        Args:
            context: The request.
        """
        relayed = context.relayed
        self._route = context.route
        self.progress = StreamProgress(context.request.last_event_id)
        """Position in the caller's stream."""
        self.attempt_ends = list(relayed.attempt_ends if relayed else ())
        """How the attempts ended, those made by the node that relays the request first."""
        self.own_attempts: list[relaying.ServerAttempt] = []
        """The attempts of this node, the running one last."""
        self._inherited_count = len(self.attempt_ends)
        self.excluded = list(relayed.excluded if relayed else ())
        """Ids of servers that must not get the request again."""
        self.silent_servers: set[str] = set()
        """Ids of the servers that it left because they were silent."""
        self.fallback: FallbackResponse | None = None
        """The last complete failure response of a server, if any."""
        self.is_delivered = False
        """Whether the complete response was passed on."""
        self.is_counted = False
        """Whether the request was counted towards the retry budget."""
        self.replacement: PlacedAttempt | None = None
        """The next attempt, placed and charged, once a silent server may be left for it."""
        self.is_silence_reported = False
        """Whether the running attempt's server was reported as silent."""
        self.charged_at: float | None = None
        """Loop time at which a retry was charged that has not been sent; None if there is none."""
        self.relay_report: relay_reports.AttemptReport | None = None
        """The attempts of the node that serves the request at present; None if this node does."""

    def begin_attempt(self, server_id: str) -> None:
        """Record that this node begins an attempt.

        Args:
            server_id: Id of the server.
        """
        self.own_attempts.append(relaying.ServerAttempt(server_id, None))

    def end_attempt(self, end: forwarding.AttemptEnd) -> None:
        """Record how the attempt that this node has begun last ended.

        Args:
            end: How it ended.
        """
        self.own_attempts[-1] = self.own_attempts[-1]._replace(end=end)

    def cancel_attempt(self) -> None:
        """Record that the attempt that this node has begun last was not made."""
        del self.own_attempts[-1]

    def add_relayed(self, end: forwarding.AttemptEnd) -> forwarding.AttemptEnd:
        """Count the attempts of the node that has served the request, all but the last.

        Args:
            end: How the request ended there.

        Returns:
            How the last attempt ended.
        """
        report, self.relay_report = self.relay_report, None
        if report is None:
            return end
        for attempt in report.attempts or ():
            if attempt.server_id:
                self.exclude(attempt.server_id, attempt.end or end)
        *earlier, last = report.ends(end, self._route)
        self.attempt_ends.extend(earlier)
        return last

    def ends_after_silence(self) -> list[forwarding.AttemptEnd]:
        """Return how all attempts end if the running one is given up as silent."""
        end = forwarding.AttemptEnd.TIMEOUT
        if self.relay_report is None:
            return [*self.attempt_ends, end]
        return [*self.attempt_ends, *self.relay_report.ends(end, self._route)]

    def exclude(self, server_id: str, end: forwarding.AttemptEnd) -> None:
        """Leave out a server for the next attempts.

        Servers that were only silent may get the request again once another one turns it away, as
        they may have gone on by then.

        Args:
            server_id: Id of the server.
            end: How the attempt at it ended.
        """
        if end is forwarding.AttemptEnd.TIMEOUT:
            self.silent_servers.add(server_id)
        elif end in forwarding.PROVEN_NOT_EXECUTED:
            self.excluded = [one for one in self.excluded if one not in self.silent_servers]
        self.excluded.append(server_id)

    @property
    def own_attempt_ends(self) -> list[forwarding.AttemptEnd]:
        """How the attempts of this node ended."""
        return self.attempt_ends[self._inherited_count :]


class StreamProgress:
    """Position in a caller's stream over all attempts."""

    def __init__(self, last_id: bytes | None) -> None:
        """Start after the events that the caller has already received.

        Args:
            last_id: Id of the last of them; None if there are none.
        """
        self.position = event_stream.StreamPosition(last_id)
        """Last event, for resumption and for the detection of missing events."""
        self.relayed_events = 0
        """Events relayed to the caller."""
        self.last_event_at = float("-inf")
        """Loop time at which the last event was relayed; -inf before the first."""
        self.first_head: forwarding.ResponseHead | None = None
        """Head that the caller's response began with; None before that."""
