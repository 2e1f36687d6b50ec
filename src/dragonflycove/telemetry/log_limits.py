"""Bounds how much a process logs, and tells what was left out."""

from __future__ import annotations

import collections

LINES_PER_SECOND = 400.0
"""Lines a second of all kinds together; some ten times what a node writes at its usual load."""

LINES_PER_SECOND_AND_KIND = 120.0
"""Lines a second of one kind, so that no kind takes all the room."""

BURST_SECONDS = 1.0
"""Time over which unused lines are saved up."""

RESERVED_SHARE = 0.3
"""Share of the lines that is kept for requests that failed or were refused, and for warnings."""

URGENT_KINDS = frozenset(
    {
        "refused",
        "failed",
        "stream_cut",
        "retry_refused",
        "crasher_refused",
        "exception",
        "started",
        "stopping",
        "stopped",
        "settings_reloaded",
        "settings_rejected",
        "store_lost",
        "store_regained",
        "log_dropped",
    }
)
"""Kinds of events that use the reserved share."""


class _Allowance:
    """Lines that may be written, refilled at a rate."""

    __slots__ = ("_at", "_level", "_rate")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._level = rate * BURST_SECONDS
        self._at = now

    def level(self, now: float) -> float:
        """Return how many lines may be written now."""
        refilled = self._level + (now - self._at) * self._rate
        self._level = min(self._rate * BURST_SECONDS, refilled)
        self._at = now
        return self._level

    def take(self) -> None:
        """Use one line."""
        self._level -= 1.0


class LogLimits:
    """Admits lines up to a rate, those of failed requests first."""

    def __init__(
        self,
        now: float,
        lines_per_second: float = LINES_PER_SECOND,
        lines_per_second_and_kind: float = LINES_PER_SECOND_AND_KIND,
    ) -> None:
        """Create limits of which nothing is used.

        Args:
            now: Time, seconds.
            lines_per_second: Lines of all kinds together.
            lines_per_second_and_kind: Lines of one kind.
        """
        self._total = _Allowance(lines_per_second, now)
        self._reserved = lines_per_second * BURST_SECONDS * RESERVED_SHARE
        self._per_kind = lines_per_second_and_kind
        self._allowance_by_kind: dict[str, _Allowance] = {}
        self._dropped_by_kind: collections.Counter[str] = collections.Counter()

    def admit(self, kind: str, now: float) -> bool:
        """Decide whether a line is written, and count it.

        Args:
            kind: Kind of the event.
            now: Time, seconds.

        Returns:
            Whether it is written.
        """
        own = self._allowance_by_kind.get(kind)
        if own is None:
            own = self._allowance_by_kind[kind] = _Allowance(self._per_kind, now)
        floor = 0.0 if kind in URGENT_KINDS else self._reserved
        if own.level(now) < 1.0 or self._total.level(now) - floor < 1.0:
            self.drop(kind)
            return False
        own.take()
        self._total.take()
        return True

    def drop(self, kind: str) -> None:
        """Count a line that is not written.

        Args:
            kind: Kind of the event.
        """
        self._dropped_by_kind[kind] += 1

    def take_dropped(self) -> dict[str, int]:
        """Return how many lines of each kind were left out, and begin to count anew."""
        dropped = dict(self._dropped_by_kind)
        self._dropped_by_kind.clear()
        return dropped
