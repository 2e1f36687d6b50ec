"""Forecasts when a service has slots that newcomers don't need.

Answers bursts after which many requests end at about the same time: a slot that is free then is
given to a late request only if the newcomers until the next slots are free don't need it.
"""

from __future__ import annotations

import bisect
import math
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from dragonflycove.fleet import work

ARRIVAL_WINDOW_SECONDS = 0.5
"""Time constant of the arrival rate; bursts begin and end within seconds."""

HOLD_WEIGHT = 0.05
"""Weight of the newest request in the mean time for which a request holds its slot."""

INITIAL_HOLD_SECONDS = 1.0
"""Time for which a request is assumed to hold its slot before one has ended."""

OVERDUE_SHARE = 0.2
"""Least remaining time of a request that holds a slot, as a share of the mean time."""

REFRESH_SECONDS = 0.02
"""Time for which a forecast is used again."""


class _Placed(NamedTuple):
    placed_at: float
    is_short: bool


class _Forecast(NamedTuple):
    made_at: float
    horizon_seconds: float
    spare_from: tuple[tuple[float, float], ...]
    """Times from the forecast, and slots from then on that newcomers don't need, ascending."""


class CapacityOutlook:
    """Requests that hold the slots of one service, and newcomers that need some."""

    def __init__(
        self,
        free_slots: Callable[[float], int],
        booked_times: Callable[[float], Sequence[float]],
        is_placed: Callable[[work.JobKey], bool],
    ) -> None:
        """Create without requests.

        Args:
            free_slots: Returns the service's slots without a request at a loop time.
            booked_times: Returns the times for which slots are booked at a loop time, ascending.
            is_placed: Returns whether a request still holds its slot; the end of one whose node
                was lost isn't reported.
        """
        self._is_placed = is_placed
        self._free_slots = free_slots
        self._booked_times = booked_times
        self._placed_by_key: dict[work.JobKey, _Placed] = {}
        self._hold_seconds_by_is_short = dict.fromkeys((False, True), INITIAL_HOLD_SECONDS)
        self._arrivals = 0.0
        self._counted_at = 0.0
        self._forecast = _Forecast(-math.inf, 0.0, ())
        self._taken = 0
        self._booked_later = 0

    def on_arrival(self, now: float) -> None:
        """Count a new request that can be in time.

        Args:
            now: Loop time.
        """
        self._arrivals = self.arrival_rate(now) * ARRIVAL_WINDOW_SECONDS + 1
        self._counted_at = now

    def arrival_rate(self, now: float) -> float:
        """Return the recent requests per second that could be in time.

        Args:
            now: Loop time.
        """
        age = now - self._counted_at
        return self._arrivals * math.exp(-age / ARRIVAL_WINDOW_SECONDS) / ARRIVAL_WINDOW_SECONDS

    def on_placed(self, job: work.Job, now: float) -> None:
        """Count a request that holds a slot from now on.

        Args:
            job: The request.
            now: Loop time.
        """
        self._placed_by_key[job.key] = _Placed(now, engine_forecast.has_short_gap_target(job))
        self._taken += 1

    def on_booked(self) -> None:
        """Count a slot that was booked."""
        self._taken += 1

    def on_end(self, key: work.JobKey, now: float) -> None:
        """Count the end of a request, and learn how long requests of its kind hold their slots.

        Args:
            key: The request; ignored if it isn't known.
            now: Loop time.
        """
        placed = self._placed_by_key.pop(key, None)
        if placed is None:
            return
        mean = self._hold_seconds_by_is_short[placed.is_short]
        mean += HOLD_WEIGHT * (now - placed.placed_at - mean)
        self._hold_seconds_by_is_short[placed.is_short] = mean

    def spare_slots(self, now: float) -> int:
        """Return how many of the free slots newcomers won't need before others are free.

        Args:
            now: Loop time.
        """
        self._refresh(now)
        return max(0, round(self._forecast.spare_from[0][1]) - self._taken)

    def seconds_until_spare(self, position: int, now: float) -> float:
        """Return the time until there is a slot that newcomers don't need.

        Args:
            position: Number of requests that want one, up to the one in question.
            now: Loop time.

        Returns:
            Seconds; infinite if newcomers need all slots.
        """
        self._refresh(now)
        needed = position + self._taken
        spare_from = self._forecast.spare_from
        for seconds, spare in spare_from:
            if round(spare) >= needed:
                return max(0.0, seconds - (now - self._forecast.made_at))
        # Each slot is free again after the time for which requests hold it.
        spare = spare_from[-1][1]
        needed += self._booked_later
        rounds = math.ceil(needed / spare) - 1 if spare >= 1 else math.inf
        return spare_from[-1][0] + self._forecast.horizon_seconds * rounds

    def _refresh(self, now: float) -> None:
        if now - self._forecast.made_at < REFRESH_SECONDS:
            return
        free_slots = self._free_slots(now)
        for key in [key for key in self._placed_by_key if not self._is_placed(key)]:
            del self._placed_by_key[key]
        ends = sorted(
            self._remaining_seconds(placed, now) for placed in self._placed_by_key.values()
        )
        horizon = max(self._hold_seconds_by_is_short[True], ends[-1] if ends else 0.0)
        rate = self.arrival_rate(now)
        booked_times = self._booked_times(now)
        # Spare slots are fewest just before the next one is free.
        spare_at = []
        for count, (seconds, until) in enumerate(zip([0.0, *ends], [*ends, horizon], strict=True)):
            booked = bisect.bisect_right(booked_times, now + until)
            spare_at.append((seconds, free_slots + count - booked - rate * until))
        self._booked_later = len(booked_times) - bisect.bisect_right(booked_times, now + horizon)
        spare_from = []
        least = math.inf
        for seconds, spare in reversed(spare_at):
            # A slot taken then stays taken, so all later newcomers must find others.
            least = min(least, spare)
            spare_from.append((seconds, least))
        self._forecast = _Forecast(now, horizon, tuple(reversed(spare_from)))
        self._taken = 0

    def _remaining_seconds(self, placed: _Placed, now: float) -> float:
        mean = self._hold_seconds_by_is_short[placed.is_short]
        return max(mean - (now - placed.placed_at), OVERDUE_SHARE * mean)
