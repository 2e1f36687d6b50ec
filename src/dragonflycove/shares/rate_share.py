"""A token bucket for this host's share of a common rate limit."""

from __future__ import annotations


class RateShare:
    """Token bucket whose rate is set to this host's share.

    With the default burst of one unit, takes are evenly spaced: no window of one second has more
    than `rate` of them, so in any second all hosts together take at most the limit.
    """

    def __init__(self, burst_units: float = 1.0) -> None:
        """Create an empty bucket of rate zero.

        Args:
            burst_units: Capacity of the bucket, units.
        """
        self._burst_units = burst_units
        self._units_per_second = 0.0
        self._level_units = 0.0
        self._level_at = 0.0

    def set_rate(self, units_per_second: float, now: float) -> None:
        """Change the rate.

        Args:
            units_per_second: The new rate; at 0, accumulated units are discarded.
            now: Loop time, seconds.
        """
        self._refill(now)
        self._units_per_second = units_per_second
        if units_per_second <= 0:
            self._level_units = min(0.0, self._level_units)

    def take(self, units: float, now: float) -> bool:
        """Take units if the bucket holds enough.

        A take of more than the capacity needs a full bucket and leaves a negative level.

        Args:
            units: Units to take.
            now: Loop time, seconds.

        Returns:
            Whether they were taken.
        """
        if self.wait_seconds(units, now) > 0:
            return False
        self._level_units -= units
        return True

    def wait_seconds(self, units: float, now: float) -> float:
        """Return the time until a take succeeds.

        Args:
            units: Units to take.
            now: Loop time, seconds.

        Returns:
            Seconds; infinite while the rate is zero.
        """
        self._refill(now)
        if self._units_per_second <= 0:
            return float("inf")
        # The tolerance covers rounding errors of many small refills, which would delay a take.
        missing = min(units, self._burst_units) - self._level_units - _ROUNDING_TOLERANCE_UNITS
        return max(0.0, missing / self._units_per_second)

    def _refill(self, now: float) -> None:
        """Add the units that accumulated since the last call."""
        gained = (now - self._level_at) * self._units_per_second
        self._level_units = min(self._burst_units, self._level_units + gained)
        self._level_at = now


_ROUNDING_TOLERANCE_UNITS = 1e-9
"""Shortfall of the level that is attributed to rounding."""
