"""Recent rate of admitted prompt tokens for each lane."""

from __future__ import annotations

import math

from dragonflycove.admission import lanes

DECAY_TIME_CONSTANT_SECONDS = 15.0
"""Time constant of the exponentially decaying average."""


class LaneRates:
    """Decaying average of admitted prompt tokens per second, for each lane of one model."""

    def __init__(self) -> None:
        """Create rates of zero."""
        self._tokens = [0.0] * len(lanes.LANE_ORDER)
        self._updated_at = 0.0

    def on_admitted(self, lane: lanes.LaneKey, tokens: int, now: float) -> None:
        """Count an admitted request.

        Args:
            lane: Lane of the request.
            tokens: Prompt tokens of the request.
            now: Loop time, seconds.
        """
        self._decay(now)
        self._tokens[lanes.LANE_ORDER.index(lane)] += tokens

    def per_second(self, now: float) -> list[float]:
        """Return the rate of each lane.

        Args:
            now: Loop time, seconds.

        Returns:
            Prompt tokens per second, in the order of `LANE_ORDER`.
        """
        self._decay(now)
        return [tokens / DECAY_TIME_CONSTANT_SECONDS for tokens in self._tokens]

    def _decay(self, now: float) -> None:
        """Reduce the sums of tokens by the exponential decay since the last update."""
        if now > self._updated_at:
            factor = math.exp((self._updated_at - now) / DECAY_TIME_CONSTANT_SECONDS)
            self._tokens = [tokens * factor for tokens in self._tokens]
            self._updated_at = now
