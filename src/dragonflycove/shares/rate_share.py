"""A token bucket for this host's part of a common rate."""

from __future__ import annotations


class RateShare:
    """Token bucket whose rate follows the share.

    With the default burst of one unit the takes are paced, so that no window of a second holds
    more than `rate` of them, and the windows of all hosts add up to at most the limit.
    """

    def __init__(self, burst_units: float = 1.0) -> None:
        """Create an empty bucket of rate zero.

        Args:
            burst_units: Most units that may be saved up.
        """
        self._burst_units = burst_units
        self._units_per_second = 0.0
        self._level_units = 0.0
        self._level_at = 0.0

    def set_rate(self, units_per_second: float, now: float) -> None:
        """Change the rate.

        Args:
            units_per_second: The new rate; units that were saved up are lost when it is zero.
            now: Time of the loop's clock.
        """
        self._refill(now)
        self._units_per_second = units_per_second
        if units_per_second <= 0:
            self._level_units = min(0.0, self._level_units)

    def take(self, units: float, now: float) -> bool:
        """Take units if the bucket allows it.

        A take of more than the burst needs a full bucket and leaves a debt.

        Args:
            units: Units to take.
            now: Time of the loop's clock.

        Returns:
            Whether they were taken.
        """
        if self.wait_seconds(units, now) > 0:
            return False
        self._level_units -= units
        return True

    def wait_seconds(self, units: float, now: float) -> float:
        """Return how long until a take would be allowed.

        Args:
            units: Units to take.
            now: Time of the loop's clock.

        Returns:
            Seconds; infinite while the rate is zero.
        """
        self._refill(now)
        if self._units_per_second <= 0:
            return float("inf")
        # The tolerance keeps a take on time when the sum of small refills falls short by rounding.
        missing = min(units, self._burst_units) - self._level_units - _ROUNDING_UNITS
        return max(0.0, missing / self._units_per_second)

    def _refill(self, now: float) -> None:
        """Add what the rate has given since the last call."""
        gained = (now - self._level_at) * self._units_per_second
        self._level_units = min(self._burst_units, self._level_units + gained)
        self._level_at = now


_ROUNDING_UNITS = 1e-9
"""Units by which a level may fall short through rounding."""
