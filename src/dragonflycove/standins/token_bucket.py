"""Token bucket for the rate limits of stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.standins import clock


class TokenBucket:
    """Limits calls to an average rate with bursts."""

    def __init__(self, per_second: float, burst: float, now: clock.Clock) -> None:
        """Create a full bucket.

        Args:
            per_second: Calls allowed per second on average.
            burst: Capacity of the bucket: calls allowed at once.
            now: Returns the time, seconds.
        """
        self._per_second = per_second
        self._burst = burst
        self._now = now
        self._available = burst
        self._filled_at = now()

    def take(self) -> float:
        """Take a token for one call, if there is one.

        Returns:
            0 if the call is allowed, else the seconds until the next token.
        """
        now = self._now()
        gained = (now - self._filled_at) * self._per_second
        self._available = min(self._burst, self._available + gained)
        self._filled_at = now
        if self._available >= 1:
            self._available -= 1
            return 0.0
        return (1 - self._available) / self._per_second
