"""Cuts a server's stream into whole events, and checks that their numbers follow each other."""

from __future__ import annotations

import enum
import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\r?\n\r?\n")
"""An empty line ends an event."""

_ID_LINE = re.compile(rb"(?:^|\n)id: ?(\d+)")
"""The line that numbers an event."""


class Event(NamedTuple):
    """One whole event."""

    number: int | None
    """Its number; None if it has none."""

    raw: bytes
    """Its bytes, the empty line at the end included."""


class EventOrder(enum.Enum):
    """What an event means for the position in a stream."""

    NEXT = "next"
    """It is the next one."""

    DUPLICATE = "repeated"
    """The caller already has it."""

    GAP = "gap"
    """One before it is missing."""


class EventSplitter:
    """Collects the bytes of a stream until an event is whole."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes.

        Args:
            data: The bytes, in the order of the stream.

        Returns:
            The events that are whole now.
        """
        buffer = self._pending + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(buffer):
            raw = buffer[start : match.end()]
            number = _ID_LINE.search(raw)
            events.append(Event(int(number[1]) if number else None, raw))
            start = match.end()
        self._pending = buffer[start:]
        return events

    @property
    def has_partial_event(self) -> bool:
        """Whether a part of an event is waiting for its rest."""
        return bool(self._pending)


class StreamPosition:
    """Where the caller is in a stream."""

    def __init__(self, last_number: int | None) -> None:
        """Start after the event that the caller has.

        Args:
            last_number: Number of that event; None if it has none.
        """
        self.last_number = last_number
        """Number of the last event that was passed on."""

    def advance(self, event: Event) -> EventOrder:
        """Judge an event, and move past it if it is the next one.

        Args:
            event: The event.

        Returns:
            What it means.
        """
        if event.number is None:
            return EventOrder.NEXT
        last = self.last_number
        if last is not None and event.number <= last:
            return EventOrder.DUPLICATE
        if last is not None and event.number != last + 1:
            return EventOrder.GAP
        self.last_number = event.number
        return EventOrder.NEXT
