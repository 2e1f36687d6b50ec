"""Splits a server's SSE stream into complete events; checks that their numbers are consecutive."""

from __future__ import annotations

import enum
import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\r?\n\r?\n")
"""An empty line ends an event."""

MAX_EVENT_END_BYTES = 4
"""Length of the longest end of an event."""

_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
"""The field that carries an event's id; the last one counts."""

MAX_NUMBER_DIGITS = 4_300
"""Maximum number of digits of an id that is compared; Python converts no longer ones."""

_NUMBER = re.compile(rb"\d{1,%d}" % MAX_NUMBER_DIGITS)
"""An id that is a number."""

MAX_EVENT_BYTES = 262_144
"""Maximum size of an event; a longer one is no event but bytes without end."""


class Event(NamedTuple):
    """One complete server-sent event."""

    event_id: bytes | None
    """Value of its `id` field; None if it has none, or an empty one."""

    raw: bytes
    """Its bytes, including the empty line at the end."""

    @property
    def number(self) -> int | None:
        """Number that its id states; None if it has no id or one that is no number."""
        return None if self.event_id is None else read_number(self.event_id)

    @property
    def is_comment(self) -> bool:
        """Whether it has no field, only comments and empty lines."""
        return all(line.startswith(b":") for line in self.raw.splitlines() if line)


def read_number(event_id: bytes) -> int | None:
    """Return the number that an event's id states.

    Args:
        event_id: The id, as sent by a server or a caller.

    Returns:
        The number, exactly; None if the id has other characters than digits, or more digits than
        `MAX_NUMBER_DIGITS`. Such ids are passed on, but can't be compared.
    """
    return int(event_id) if _NUMBER.fullmatch(event_id) else None


class EventOrder(enum.Enum):
    """How an event's number relates to the last one that the caller has received."""

    NEXT = "next"
    """It follows directly, or has no number."""

    DUPLICATE = "repeated"
    """The caller has already received it."""

    GAP = "gap"
    """At least one event before it is missing."""


class EventSplitter:
    """Buffers a stream's bytes until an event is complete."""

    def __init__(self) -> None:
        """Create with an empty buffer."""
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Append bytes to the buffer and remove the complete events.

        Args:
            data: The bytes, in the order of the stream.

        Returns:
            The events that these bytes completed.
        """
        buffer = self._pending + data
        events = []
        start = 0
        # The end of an event may have begun in the last bytes of the buffer before.
        searched = max(0, len(self._pending) - MAX_EVENT_END_BYTES)
        for match in _EVENT_END.finditer(buffer, searched):
            raw = buffer[start : match.end()]
            ids = _ID_LINE.findall(raw)
            # Spaces around the id would not survive its way through a header.
            events.append(Event((ids[-1].strip() or None) if ids else None, raw))
            start = match.end()
        self._pending = buffer[start:]
        return events

    @property
    def is_overlong(self) -> bool:
        """Whether the buffer holds more of an event than `MAX_EVENT_BYTES`."""
        return len(self._pending) > MAX_EVENT_BYTES

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._pending)


class StreamPosition:
    """The caller's position in a stream of numbered events."""

    def __init__(self, last_id: bytes | None) -> None:
        """Start after the last event that the caller has received.

        Args:
            last_id: Id of that event; None if the caller has received none.
        """
        self.last_id = last_id
        """Id of the last event in order, as it was sent; None before the first."""
        self.last_number = None if last_id is None else read_number(last_id)
        """Number that it states; None before the first, or if it can't be compared."""

    def advance(self, event: Event) -> EventOrder:
        """Compare an event with the position, and advance the position if it is the next one.

        Args:
            event: The event.

        Returns:
            How the event relates to the position before.
        """
        number = event.number
        if number is None:
            return EventOrder.NEXT
        last = self.last_number
        if last is not None and number <= last:
            return EventOrder.DUPLICATE
        if last is not None and number != last + 1:
            return EventOrder.GAP
        self.last_id = event.event_id
        self.last_number = number
        return EventOrder.NEXT


class ResumedRun:
    """Checks that a later run of a stream is its rest, and no error that looks like events."""

    def __init__(self) -> None:
        """Create without events."""
        self._last_number: int | None = None

    def accepts(self, event: Event) -> bool:
        """Whether an event may be part of the rest: it has a number, or is only a comment.

        Args:
            event: The next event of the run.
        """
        if event.number is None:
            return event.is_comment
        self._last_number = event.number
        return True

    def is_complete(self, position: StreamPosition) -> bool:
        """Whether the run has got as far as the caller; a run without events may be an empty rest.

        Args:
            position: The caller's position.
        """
        return self._last_number is None or self._last_number == position.last_number


class NewEvents(NamedTuple):
    """Events of a stream that its caller lacks."""

    data: bytes
    """The events."""

    event_count: int
    """Their number."""

    is_contiguous: bool
    """Whether no event is missing."""


def select_new(events: list[Event], position: StreamPosition, run: ResumedRun | None) -> NewEvents:
    """Select the events that a caller lacks, up to a missing one, and advance its position.

    Args:
        events: The next events of a stream.
        position: The caller's position.
        run: Checks the events of a later run of the stream; None for its first run.
    """
    new_events = []
    is_contiguous = True
    for event in events:
        if run is not None and not run.accepts(event):
            is_contiguous = False
            break
        step = position.advance(event)
        if step is EventOrder.GAP:
            is_contiguous = False
            break
        if step is EventOrder.NEXT:
            new_events.append(event.raw)
    return NewEvents(b"".join(new_events), len(new_events), is_contiguous)
