"""How fast each lane's tokens have been admitted lately."""

from __future__ import annotations

import math

from dragonflycove.admission import lanes

WINDOW_SECONDS = 15.0
"""Time constant of the average."""


class LaneRates:
    """Exponentially decaying average of admitted tokens a second, for each lane of one model."""

    def __init__(self) -> None:
        """Create rates of zero."""
        self._tokens = [0.0] * len(lanes.LANE_ORDER)
        self._updated_at = 0.0

    def on_admitted(self, lane: lanes.LaneKey, tokens: int, now: float) -> None:
        """Take in an admitted request.

        Args:
            lane: Its lane.
            tokens: Its prompt tokens.
            now: Time, seconds.
        """
        self._decay(now)
        self._tokens[lanes.LANE_ORDER.index(lane)] += tokens

    def per_second(self, now: float) -> list[float]:
        """Return the rates.

        Args:
            now: Time, seconds.

        Returns:
            Tokens a second by lane, in the order of the lanes.
        """
        self._decay(now)
        return [tokens / WINDOW_SECONDS for tokens in self._tokens]

    def _decay(self, now: float) -> None:
        if now > self._updated_at:
            factor = math.exp((self._updated_at - now) / WINDOW_SECONDS)
            self._tokens = [tokens * factor for tokens in self._tokens]
            self._updated_at = now
