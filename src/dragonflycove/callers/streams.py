"""Events of a model request, queued for the caller's connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import outcomes


class CallerFrame(NamedTuple):
    """One output token for the caller."""

    frame_index: int
    """Position in the caller's stream, from 0."""

    token: str
    """Text of the token."""

    finish: str | None
    """Finish reason if this is the last token, else `None`."""


class ResumeTokenChanged(NamedTuple):
    """A new resume token, which the caller may use at any node."""

    token: str
    """The resume token."""


class HandedOver(NamedTuple):
    """The caller should resume the stream at another node. Last event."""

    address: str
    """Address of that node, `a.b.c.d:port`."""


class StreamEnded(NamedTuple):
    """The request ended. Last event."""

    outcome: outcomes.Outcome
    """Outcome of the request."""


CallerEvent = CallerFrame | ResumeTokenChanged | HandedOver | StreamEnded
"""Event for a caller's connection."""


class CallerStream:
    """Unbounded queue of events for one connection of a caller."""

    def __init__(self) -> None:
        """Create an empty stream."""
        self._queue: asyncio.Queue[CallerEvent] = asyncio.Queue()

    def post(self, event: CallerEvent) -> None:
        """Append an event without waiting.

        Args:
            event: The event to send to the caller.
        """
        self._queue.put_nowait(event)

    async def next_event(self, timeout_seconds: float) -> CallerEvent | None:
        """Wait for the next event.

        Args:
            timeout_seconds: Maximum wait, seconds.

        Returns:
            The event, or `None` after the timeout, when a heartbeat is due.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._queue.get()
        except TimeoutError:
            return None
