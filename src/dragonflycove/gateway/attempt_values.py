"""What one send to a server needs, and what it brought."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import event_stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import forwarding, server_health, work


class FallbackResponse(NamedTuple):
    """A server's whole answer that is passed on if no better one comes."""

    head: forwarding.AnswerHead
    """Its head."""

    body: bytes
    """Its body."""


class AttemptOutcome(NamedTuple):
    """How a send ended."""

    end: forwarding.End
    """What it means for the request."""

    server_outcome: server_health.Outcome
    """What it tells of the server."""

    fallback: FallbackResponse | None = None
    """The server's failure, if it gave a whole one."""

    refusing_helper_id: str = ""
    """Id of the server that refused to help; empty for none."""

    first_event_seconds: float = 0.0
    """Time from the send to the first event or the answer; 0 if there was none."""


class AttemptPlan(NamedTuple):
    """Where and how a request is sent."""

    grant: work.Grant
    """The servers."""

    helpers: tuple[str, ...]
    """Helping engines, encoded."""

    predicted_seconds: float
    """Predicted time to the first event."""

    on_first_event: Callable[[], None]
    """Called when the first event comes."""

    can_move: Callable[[], bool]
    """Tells whether the request could go to another server now."""


class StreamProgress:
    """How far a caller's stream has come, over all sends."""

    def __init__(self, last_number: int | None) -> None:
        """Start after the events that the caller has.

        Args:
            last_number: Number of its last event; None if it has none.
        """
        self.position = event_stream.StreamPosition(last_number)
        """Position in the events."""
        self.delivered = 0
        """Events passed on."""
        self.last_event_at = float("-inf")
        """Loop time at which the last one was passed on."""
