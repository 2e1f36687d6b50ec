"""Estimates one engine's slowdown from bounds on it.

The expected load prefills prompts of very different length beside decoding streams, so a long pass
may come from a slow engine or from a long prompt. Each measurement therefore bounds the slowdown on
both sides, and the estimate moves only as far as the bounds demand (set-membership identification,
Fogel and Huang, Automatica 18, 1982).
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

MIN_SAMPLES = 3
"""Measured passes that must agree before the estimate moves."""

MAX_BOUND_AGE_SECONDS = 4.0
"""Age from which on a bound counts no more; an engine eight times slower has ten passes in it."""

PREFILL_MEMORY_SECONDS = 0.8
"""Time after a first event for which its prefill may have been in a reported pass.

Reports cover a quarter second, and a pass of a slow engine begins as long before its end.
"""

FRESH_SECONDS = 1.0
"""Age up to which evidence counts fully; four reports."""

HALF_LIFE_SECONDS = 2.0
"""Time in which an estimate above 1 halves its distance to 1 without evidence."""

CONSISTENT_SHARE = 0.85
"""Share of the estimate that the upper bounds must reach to confirm it; passes vary by some percent."""

MAX_SLOWDOWN = 16.0
"""Upper limit of the estimate; such an engine gets requests only if there is no other."""

SLOW = 1.5
"""Slowdown from which on a server is called slow."""

NEUTRAL = 1.25
"""Slowdown below which a server counts as being as fast as declared."""

RETENTION_SECONDS = 30.0
"""Time after its last evidence for which a slow server remains on probation."""


class Bounds(NamedTuple):
    """Bounds that a measurement sets on a slowdown."""

    lower: float
    """The least slowdown that explains it without prefills; 0 if it sets no bound from below."""

    upper: float
    """The largest slowdown that it allows."""

    samples: int
    """Passes that were measured."""

    prefill_passes: float = 0.0
    """Declared time of all prefills that may be in the passes, as a multiple of a pass without."""


class BoundedPace:
    """The slowdown of one engine."""

    __slots__ = ("_bounds", "_estimate", "_estimated_at", "_heard_at")

    def __init__(self) -> None:
        """Create the estimate of an engine that is as fast as declared."""
        self._bounds: collections.deque[tuple[float, Bounds]] = collections.deque()
        self._estimate = 1.0
        self._estimated_at = float("-inf")
        self._heard_at = float("-inf")

    def slowdown(self, now: float) -> float:
        """Return the slowdown, which decays towards 1 without evidence.

        Args:
            now: Loop time.
        """
        age = now - self._estimated_at - self._fresh_seconds
        if age <= 0 or self._estimate <= 1.0:
            return self._estimate
        return 1.0 + (self._estimate - 1.0) * math.exp2(-age / HALF_LIFE_SECONDS)

    @property
    def _fresh_seconds(self) -> float:
        """Age up to which the estimate holds; slow engines show what they do at their own pace."""
        return max(FRESH_SECONDS, FRESH_SECONDS * self._estimate / 2)

    def is_fresh(self, now: float) -> bool:
        """Whether enough passes have been measured recently.

        Args:
            now: Loop time.
        """
        return now - self._heard_at <= FRESH_SECONDS

    def is_on_probation(self, now: float) -> bool:
        """Whether the engine was slow by the last evidence, which is old.

        Args:
            now: Loop time.
        """
        age = now - self._estimated_at
        return self._estimate >= SLOW and self._fresh_seconds < age <= RETENTION_SECONDS

    def is_expired(self, now: float) -> bool:
        """Whether nothing is known of the engine any more.

        Args:
            now: Loop time.
        """
        return now - max(self._heard_at, self._estimated_at) > RETENTION_SECONDS

    def add(self, bounds: Bounds, now: float) -> None:
        """Take in the bounds of a measurement.

        Args:
            bounds: The bounds.
            now: Loop time.
        """
        if bounds.lower <= 0 and bounds.upper >= self.slowdown(now):
            return
        self._bounds.append((now, bounds))
        while self._bounds[0][0] < now - MAX_BOUND_AGE_SECONDS:
            self._bounds.popleft()
        uppers = self._newest_uppers()
        if not uppers:
            return
        lower = self._agreed_lower(now)
        self._heard_at = now
        before = self.slowdown(now)
        after = min(max(before, lower), max(1.0, *uppers), MAX_SLOWDOWN)
        is_confirmed = min(uppers) >= CONSISTENT_SHARE * self._estimate
        if after != before or is_confirmed:
            self._estimate = after
            self._estimated_at = now

    def _newest_uppers(self) -> list[float]:
        """Return the upper bounds of the newest `MIN_SAMPLES` passes; none if there are fewer."""
        uppers: list[float] = []
        samples = 0
        for _, bounds in reversed(self._bounds):
            uppers.append(bounds.upper)
            samples += bounds.samples
            if samples >= MIN_SAMPLES:
                return uppers
        return []

    def _agreed_lower(self, now: float) -> float:
        """Return the largest lower bound that `MIN_SAMPLES` or more of the newest passes agree on.

        The prefills can have been in only one of the passes each, so they explain less of more.
        """
        best, lower, samples = 0.0, float("inf"), 0
        largest = total = 0.0
        for at, bounds in reversed(self._bounds):
            if bounds.lower <= 0:
                continue
            lower = min(lower, bounds.lower)
            samples += bounds.samples
            largest = max(largest, bounds.prefill_passes)
            total += bounds.prefill_passes
            if samples >= MIN_SAMPLES:
                # One prefill is known with several records; those of old passes only with the old.
                prefills = min(total, largest * (2.0 + (now - at) / PREFILL_MEMORY_SECONDS))
                best = max(best, lower * samples / (samples + prefills))
        return best
