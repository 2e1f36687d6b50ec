"""Estimates the response time of one plain server.

Plain calls take some ten milliseconds, with outliers, and arrive several a second at each server;
their moving average follows a server that slows down within a second.
"""

from __future__ import annotations

import math

AVERAGED_CALLS = 4.0
"""Responses over which the average mostly extends."""

MAX_RATIO = 16.0
"""Response time, as a multiple of the assumed one, to which single responses are cut."""

MAX_RISE = 2.0
"""Multiple of the average to which a response time is cut, so that one outlier moves it little."""

MIN_RATIO = 0.5
"""Lower limit of the average."""

FRESH_SECONDS = 1.0
"""Age up to which the average counts fully."""

HALF_LIFE_SECONDS = 2.0
"""Time in which the average halves its distance to 1 without responses."""

MIN_SAMPLES = 3
"""Responses before which a server counts as being as fast as assumed."""


class CallPace:
    """Moving average of one server's response times, as a multiple of the assumed time."""

    __slots__ = ("_average", "_samples", "_updated_at")

    def __init__(self) -> None:
        """Create an average without responses."""
        self._average = 1.0
        self._samples = 0
        self._updated_at = float("-inf")

    @property
    def updated_at(self) -> float:
        """Loop time of the last response; -inf before the first."""
        return self._updated_at

    def slowdown(self, now: float) -> float:
        """Return the response time as a multiple of the assumed one.

        Args:
            now: Loop time.
        """
        if self._samples < MIN_SAMPLES:
            return 1.0
        age = max(0.0, now - self._updated_at - FRESH_SECONDS)
        return 1.0 + (self._average - 1.0) * math.exp2(-age / HALF_LIFE_SECONDS)

    def add(self, ratio: float, samples: int, now: float) -> None:
        """Take in responses.

        Args:
            ratio: Their time as a multiple of the assumed one.
            samples: Their number.
            now: Loop time.
        """
        before = self.slowdown(now) if self._samples >= MIN_SAMPLES else self._average
        weight = 1.0 - math.exp(-samples / AVERAGED_CALLS)
        cut = min(MAX_RATIO, MAX_RISE * before, max(MIN_RATIO, ratio))
        self._average = before + weight * (cut - before)
        self._samples = min(MIN_SAMPLES, self._samples + samples)
        self._updated_at = now
