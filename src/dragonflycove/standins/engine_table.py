"""The streams that a model engine's stand-in keeps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.standins import engine_streams

if TYPE_CHECKING:
    from collections.abc import Iterator

_ACTIVE = engine_streams.StreamState.PREFILL, engine_streams.StreamState.DECODE


class StreamTable:
    """Streams by attempt, sorted where order counts by priority and arrival."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._streams_by_attempt: dict[str, engine_streams.Stream] = {}

    def __iter__(self) -> Iterator[engine_streams.Stream]:
        """Iterate over a copy, so that streams may be removed meanwhile."""
        return iter(list(self._streams_by_attempt.values()))

    def __contains__(self, attempt: str) -> bool:
        """Tell whether an attempt is kept."""
        return attempt in self._streams_by_attempt

    def add(self, stream: engine_streams.Stream) -> None:
        """Keep a stream."""
        self._streams_by_attempt[stream.submission.attempt] = stream

    def find(self, attempt: str) -> engine_streams.Stream | None:
        """Return a stream, if it is kept."""
        return self._streams_by_attempt.get(attempt)

    def remove(self, attempt: str) -> engine_streams.Stream | None:
        """Forget a stream and return it, if it was kept."""
        return self._streams_by_attempt.pop(attempt, None)

    def waiting(self) -> list[engine_streams.Stream]:
        """Return the streams that wait."""
        return self._in_states(engine_streams.StreamState.WAITING)

    def in_prefill(self) -> list[engine_streams.Stream]:
        """Return the streams whose prompts are being read."""
        return self._in_states(engine_streams.StreamState.PREFILL)

    def in_decode(self) -> list[engine_streams.Stream]:
        """Return the streams whose answers are being generated."""
        return self._in_states(engine_streams.StreamState.DECODE)

    def running(self) -> list[engine_streams.Stream]:
        """Return the streams that have a place."""
        return self._in_states(*_ACTIVE)

    def any_unfinished(self) -> bool:
        """Tell whether any stream has not finished."""
        return any(not stream.is_finished for stream in self._streams_by_attempt.values())

    def groups_in_use(self) -> set[str]:
        """Return the memory groups of streams that have not finished."""
        return {
            stream.submission.group[0]
            for stream in self._streams_by_attempt.values()
            if stream.submission.group and not stream.is_finished
        }

    def _in_states(self, *states: engine_streams.StreamState) -> list[engine_streams.Stream]:
        """Return the streams in some states, the most urgent first."""
        streams = [item for item in self._streams_by_attempt.values() if item.state in states]
        return sorted(streams, key=lambda item: item.order)


def prefill_by_priority(streams: list[engine_streams.Stream]) -> dict[int, int]:
    """Add up the prompt tokens still to be read, by priority.

    Args:
        streams: The streams.

    Returns:
        The tokens; priorities 0 and 1 are always there.
    """
    totals = {0: 0, 1: 0}
    for stream in streams:
        priority = stream.submission.priority
        totals[priority] = totals.get(priority, 0) + round(stream.prefill_remaining)
    return totals
