"""The pace at which queued requests are placed, which predicts how long others wait."""

from __future__ import annotations

INITIAL_GRANT_INTERVAL_SECONDS = 0.1
"""Interval between two grants that is assumed initially."""

MAX_GRANT_INTERVAL_SECONDS = 1.0
"""Upper limit of an interval in the average; longer ones mean an empty queue or stalled servers."""

GRANT_INTERVAL_WEIGHT = 0.2
"""Weight of the newest interval in the moving average, which covers about the last ten."""


class GrantIntervals:
    """Moving average of the intervals between grants, which predicts waiting times."""

    def __init__(self, now: float) -> None:
        """Assume `INITIAL_GRANT_INTERVAL_SECONDS` until requests are placed.

        Args:
            now: Loop time.
        """
        self._seconds = INITIAL_GRANT_INTERVAL_SECONDS
        self._last_at = now

    def on_grant(self, now: float) -> None:
        """Count the interval since the last grant.

        Args:
            now: Loop time.
        """
        interval = min(MAX_GRANT_INTERVAL_SECONDS, max(0.0, now - self._last_at))
        self._seconds += GRANT_INTERVAL_WEIGHT * (interval - self._seconds)
        self._last_at = now

    def on_empty(self, now: float) -> None:
        """Restart the interval while no request waits, so that idle time isn't counted.

        Args:
            now: Loop time.
        """
        self._last_at = now

    def wait_seconds(self, position: int, now: float) -> float:
        """Return the expected time until the request at a position is placed.

        Args:
            position: Position in the queue, counted from 1.
            now: Loop time.
        """
        # If the last grant is older than the average, the next is expected after its age again.
        return max(self._seconds, now - self._last_at) + (position - 1) * self._seconds
