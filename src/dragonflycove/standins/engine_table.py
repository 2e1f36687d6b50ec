"""Table of the stand-in model engine's streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.standins import engine_streams

if TYPE_CHECKING:
    from collections.abc import Iterator

_ACTIVE = engine_streams.StreamState.PREFILL, engine_streams.StreamState.DECODE


class StreamTable:
    """Streams by attempt; the lists by state are sorted by priority and arrival."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._streams_by_attempt: dict[str, engine_streams.Stream] = {}

    def __iter__(self) -> Iterator[engine_streams.Stream]:
        """Iterate over a copy, so that streams can be removed during the iteration."""
        return iter(list(self._streams_by_attempt.values()))

    def __contains__(self, attempt: str) -> bool:
        """Return whether the table has an attempt."""
        return attempt in self._streams_by_attempt

    def add(self, stream: engine_streams.Stream) -> None:
        """Add a stream under its attempt."""
        self._streams_by_attempt[stream.submission.attempt] = stream

    def find(self, attempt: str) -> engine_streams.Stream | None:
        """Return a stream, or None for an unknown attempt."""
        return self._streams_by_attempt.get(attempt)

    def remove(self, attempt: str) -> engine_streams.Stream | None:
        """Remove and return a stream, or None for an unknown attempt."""
        return self._streams_by_attempt.pop(attempt, None)

    def waiting(self) -> list[engine_streams.Stream]:
        """Return the streams that wait for memory or a slot."""
        return self._in_states(engine_streams.StreamState.WAITING)

    def in_prefill(self) -> list[engine_streams.Stream]:
        """Return the streams in prefill."""
        return self._in_states(engine_streams.StreamState.PREFILL)

    def in_decode(self) -> list[engine_streams.Stream]:
        """Return the streams in decode."""
        return self._in_states(engine_streams.StreamState.DECODE)

    def running(self) -> list[engine_streams.Stream]:
        """Return the streams that occupy a slot: in prefill or decode."""
        return self._in_states(*_ACTIVE)

    def any_unfinished(self) -> bool:
        """Return whether any stream has not finished."""
        return any(not stream.is_finished for stream in self._streams_by_attempt.values())

    def groups_in_use(self) -> set[str]:
        """Return the memory groups of streams that have not finished."""
        return {
            stream.submission.group[0]
            for stream in self._streams_by_attempt.values()
            if stream.submission.group and not stream.is_finished
        }

    def _in_states(self, *states: engine_streams.StreamState) -> list[engine_streams.Stream]:
        """Return the streams in any of the states, by priority and arrival."""
        streams = [item for item in self._streams_by_attempt.values() if item.state in states]
        return sorted(streams, key=lambda item: item.sort_key)


def prefill_by_priority(streams: list[engine_streams.Stream]) -> dict[int, int]:
    """Sum the remaining prefill tokens by priority.

    Args:
        streams: The streams.

    Returns:
        Tokens by priority; priorities 0 and 1 are always included.
    """
    totals = {0: 0, 1: 0}
    for stream in streams:
        priority = stream.submission.priority
        totals[priority] = totals.get(priority, 0) + round(stream.prefill_remaining)
    return totals
