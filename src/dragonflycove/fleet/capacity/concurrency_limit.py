"""Learns how many requests one server takes well at once.

Some servers slow down long before their slots are full. The limit follows the gradient of response
time over concurrency (the Gradient limit of Netflix's concurrency-limits; control by response time:
Welsh and Culler, USITS 2003), and refusals by additive increase and multiplicative decrease (Chiu
and Jain, 1989). Both only lower what the server declares.
"""

from __future__ import annotations

import statistics

BASE_CALLS_IN_FLIGHT = 2
"""Calls in flight, the new one included, up to which a response time counts as the base time."""

BASE_WEIGHT = 0.2
"""Weight of the newest such response in the base time."""

SLOWED_RATIO = 1.6
"""Response time, as a multiple of the base time, from which on the limit falls."""

FREE_RATIO = 1.3
"""Response time, as a multiple of the base time, up to which the limit rises."""

AIM_RATIO = 1.45
"""Response time, as a multiple of the base time, that a decrease aims at."""

MAX_DECREASE_RATIO = 0.5
"""Share of what was in flight that one decrease leaves at least."""

MIN_LIMIT = 2
"""Lowest limit set by response times, at which these are the base time."""

WINDOW_SECONDS = 0.25
"""Minimum time between two changes by response times."""

WINDOW_CALLS = 5
"""Minimum number of responses between two changes by response times."""

FIRST_HOLD_SECONDS = 1.0
"""Time after a decrease without an increase; doubles with each decrease."""

MAX_HOLD_SECONDS = 8.0
"""Upper limit of that time; after it without a decrease, it starts over."""

FORGET_SECONDS = 5.0
"""Time without evidence after which the limit grows by one a second."""


class ConcurrencyLimit:
    """The limit of one server."""

    __slots__ = (
        "_base",
        "_changed_at",
        "_decreased_at",
        "_heard_at",
        "_hold_seconds",
        "_limit",
        "_peak",
        "_ratios",
    )

    def __init__(self) -> None:
        """Create without a limit below the declared one."""
        self._limit: int | None = None
        self._base: float | None = None
        self._ratios: list[float] = []
        self._peak = 0
        self._changed_at = float("-inf")
        self._decreased_at = float("-inf")
        self._heard_at = float("-inf")
        self._hold_seconds = FIRST_HOLD_SECONDS

    @property
    def heard_at(self) -> float:
        """Loop time of the last evidence; -inf before the first."""
        return self._heard_at

    def slots(self, declared: int, now: float) -> int:
        """Return how many requests the server takes well at once.

        Args:
            declared: Slots that it declares.
            now: Loop time.
        """
        return declared if self._limit is None else min(declared, self._limit + self._grown(now))

    def _grown(self, now: float) -> int:
        """Return by how much the limit has grown since the last evidence."""
        return max(0, int(now - self._heard_at - FORGET_SECONDS))

    def _keep_growth(self, now: float) -> None:
        """Make the growth part of the limit, before new evidence ends it."""
        if self._limit is not None:
            self._limit += self._grown(now)

    def on_full(self, in_flight: int, now: float) -> None:
        """Lower the limit because the server refused a request for lack of room.

        Args:
            in_flight: Requests known to be at the server, the refused one included.
            now: Loop time.
        """
        self._keep_growth(now)
        self._decrease(max(1, in_flight - 1), now)

    def on_call(self, ratio: float, in_flight: int, declared: int, now: float) -> None:
        """Take in a response.

        Args:
            ratio: Its time, in any unit that is the same for all responses of the server.
            in_flight: Calls at the server when it was sent, this one included.
            declared: Slots that the server declares.
            now: Loop time.
        """
        self._keep_growth(now)
        self._heard_at = now
        if in_flight <= BASE_CALLS_IN_FLIGHT or self._base is None:
            base = ratio if self._base is None else self._base
            self._base = base + BASE_WEIGHT * (ratio - base)
        self._ratios.append(ratio)
        self._peak = max(self._peak, in_flight)
        if len(self._ratios) >= WINDOW_CALLS and now - self._changed_at >= WINDOW_SECONDS:
            self._evaluate(self._base, declared, now)

    def _evaluate(self, base: float, declared: int, now: float) -> None:
        # One long call in a window isn't the server's load.
        relative = statistics.median(self._ratios) / base
        peak = self._peak
        self._changed_at = now
        self._ratios.clear()
        self._peak = 0
        if relative >= SLOWED_RATIO and peak > MIN_LIMIT:
            aim = int(peak * max(MAX_DECREASE_RATIO, AIM_RATIO / relative))
            self._decrease(max(MIN_LIMIT, aim), now)
        elif relative <= FREE_RATIO and self._limit is not None and peak >= self._limit:
            may_rise = now - self._decreased_at >= self._hold_seconds
            self._limit += int(may_rise)
            if self._limit >= declared:
                self._limit = None

    def _decrease(self, limit: int, now: float) -> None:
        if now - self._decreased_at > 2 * MAX_HOLD_SECONDS:
            self._hold_seconds = FIRST_HOLD_SECONDS
        else:
            self._hold_seconds = min(MAX_HOLD_SECONDS, 2 * self._hold_seconds)
        self._limit = limit if self._limit is None else min(limit, self._limit)
        self._decreased_at = self._heard_at = now
