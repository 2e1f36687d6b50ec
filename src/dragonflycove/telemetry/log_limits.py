"""Limits the rate of log lines, and counts the lines dropped."""

from __future__ import annotations

import collections

MAX_LINES_PER_SECOND = 400.0
"""Lines per second of all events together; about ten times a node's rate at usual load."""

MAX_LINES_PER_SECOND_PER_KIND = 120.0
"""Lines per second of one kind of event, so that no kind uses up the total rate."""

BURST_SECONDS = 1.0
"""Time for which unused lines accumulate; the burst is the rate times this."""

RESERVED_FRACTION = 0.3
"""Fraction of the burst reserved for refused and failed requests and for warnings."""

URGENT_KINDS = frozenset(
    {
        "denied",
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
"""Kinds of events that may use the reserved fraction."""


class _TokenBucket:
    """Token bucket with one token per line; starts full."""

    __slots__ = ("_refilled_at", "_tokens", "_rate")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_SECONDS
        self._refilled_at = now

    def refill(self, now: float) -> float:
        """Refill the bucket and return how many lines may be written now."""
        refilled = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(self._rate * BURST_SECONDS, refilled)
        self._refilled_at = now
        return self._tokens

    def take(self) -> None:
        """Take the token of one line."""
        self._tokens -= 1.0


class LogLimits:
    """Decides which log lines are written; reserves lines for failures and warnings."""

    def __init__(
        self,
        now: float,
        lines_per_second: float = MAX_LINES_PER_SECOND,
        lines_per_second_per_kind: float = MAX_LINES_PER_SECOND_PER_KIND,
    ) -> None:
        """Create the limits with full bursts.

        Args:
            now: Monotonic time, seconds.
            lines_per_second: Rate of all kinds together.
            lines_per_second_per_kind: Rate of one kind.
        """
        self._total_bucket = _TokenBucket(lines_per_second, now)
        self._reserved_lines = lines_per_second * BURST_SECONDS * RESERVED_FRACTION
        self._lines_per_second_per_kind = lines_per_second_per_kind
        self._bucket_by_kind: dict[str, _TokenBucket] = {}
        self._dropped_by_kind: collections.Counter[str] = collections.Counter()

    def admit(self, kind: str, now: float) -> bool:
        """Decide whether a line is written; counts it as dropped if not.

        Args:
            kind: Name of the event.
            now: Monotonic time, seconds.

        Returns:
            Whether to write the line.
        """
        kind_bucket = self._bucket_by_kind.get(kind)
        if kind_bucket is None:
            kind_bucket = self._bucket_by_kind[kind] = _TokenBucket(
                self._lines_per_second_per_kind, now
            )
        reserved = 0.0 if kind in URGENT_KINDS else self._reserved_lines
        if kind_bucket.refill(now) < 1.0 or self._total_bucket.refill(now) - reserved < 1.0:
            self.drop(kind)
            return False
        kind_bucket.take()
        self._total_bucket.take()
        return True

    def drop(self, kind: str) -> None:
        """Count a dropped line.

        Args:
            kind: Name of the event.
        """
        self._dropped_by_kind[kind] += 1

    def take_dropped(self) -> dict[str, int]:
        """Return the number of dropped lines by kind, and reset the counts."""
        dropped = dict(self._dropped_by_kind)
        self._dropped_by_kind.clear()
        return dropped
