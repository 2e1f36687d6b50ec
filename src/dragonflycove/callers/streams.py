"""The frames of one request on their way to its caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import outcomes


class CallerFrame(NamedTuple):
    """One frame for the caller."""

    frame_index: int
    """Place in the caller's stream, from 0."""

    token: str
    """Text of the frame."""

    finish: str | None
    """Why the answer ends with it; `None` if more follows."""


class ResumeTokenChanged(NamedTuple):
    """A new token with which the caller may resume at any node."""

    token: str
    """The token."""


class HandedOver(NamedTuple):
    """The caller is to go on at another node."""

    address: str
    """That node's address."""


class StreamEnded(NamedTuple):
    """Nothing more comes."""

    outcome: outcomes.Outcome
    """What became of the request."""


CallerEvent = CallerFrame | ResumeTokenChanged | HandedOver | StreamEnded
"""What a caller's connection is told."""


class CallerStream:
    """A queue of events to one connection of a caller."""

    def __init__(self) -> None:
        """Create an empty stream."""
        self._queue: asyncio.Queue[CallerEvent] = asyncio.Queue()

    def post(self, event: CallerEvent) -> None:
        """Leave an event for the caller's connection.

        Args:
            event: The event.
        """
        self._queue.put_nowait(event)

    async def next_event(self, timeout_seconds: float) -> CallerEvent | None:
        """Wait for the next event.

        Args:
            timeout_seconds: Longest wait, seconds.

        Returns:
            The event, or `None` when the time is up and a heartbeat is due.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._queue.get()
        except TimeoutError:
            return None
