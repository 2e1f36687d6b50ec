"""Token bucket."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.standins import clock


class RateLimit:
    """Lets a number of calls a second through, and a burst."""

    def __init__(self, per_second: float, burst: float, now: clock.Clock) -> None:
        """Create a full bucket.

        Args:
            per_second: Calls that it lets through in a second.
            burst: Calls that it lets through at once.
            now: The clock.
        """
        self._per_second = per_second
        self._burst = burst
        self._now = now
        self._available = burst
        self._filled_at = now()

    def take(self) -> float:
        """Take one call.

        Returns:
            0 if the call may go through, else the seconds after which to come back.
        """
        now = self._now()
        gained = (now - self._filled_at) * self._per_second
        self._available = min(self._burst, self._available + gained)
        self._filled_at = now
        if self._available >= 1:
            self._available -= 1
            return 0.0
        return (1 - self._available) / self._per_second
