"""Estimates when a request would end, for admission by deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.admission import lanes

INITIAL_DECODE_TOKENS_PER_SECOND = 30.0
"""Rate at which one stream is generated before any has been observed."""

INITIAL_SLOT_SECONDS = 5.0
"""Time for which a request holds its slot before any has been observed."""

SMOOTHING = 0.05
"""Weight of a new observation in the moving averages."""

DEADLINE_FRACTION = 0.95
"""Share of the time to the deadline that waiting and running may fill."""

WITHIN_SHARE_WAIT_FRACTION = 0.4
"""Share of the spare time that the wait may fill for an organisation within its share."""

OVER_SHARE_WAIT_FRACTION = 0.3
"""The same for an organisation with more than its share of the waiting tokens."""

MIN_CONFIDENCE = 0.3
"""Lowest factor on the patience after broken promises."""

CONFIDENCE_FACTOR_PER_MISS = 0.8
"""Factor on the confidence for each broken promise."""

CONFIDENCE_GAIN_PER_MET = 0.004
"""Growth of the confidence for each kept promise."""


class RunEstimator:
    """Moving averages of how requests run, and the estimate built on them."""

    def __init__(self) -> None:
        """Create averages with no observation."""
        self.decode_tokens_per_second = INITIAL_DECODE_TOKENS_PER_SECOND
        self.slot_seconds = INITIAL_SLOT_SECONDS
        self._confidence_by_lane: dict[lanes.LaneKey, float] = {}

    def on_finished(self, slot_seconds: float, decode_seconds: float, tokens: int) -> None:
        """Take in a request that ended.

        Args:
            held_seconds: Time from dispatch to the end.
            decode_seconds: Time from the first token to the end.
            tokens: Tokens generated.
        """
        self.slot_seconds += SMOOTHING * (slot_seconds - self.slot_seconds)
        if tokens > 1 and decode_seconds > 0.0:
            rate = tokens / decode_seconds
            self.decode_tokens_per_second += SMOOTHING * (rate - self.decode_tokens_per_second)

    def on_deadline_met(self, lane: lanes.LaneKey) -> None:
        """Take in that an admitted request was answered in time.

        Args:
            lane: Its lane.
        """
        self._confidence_by_lane[lane] = min(1.0, self.confidence(lane) + CONFIDENCE_GAIN_PER_MET)

    def on_deadline_missed(self, lane: lanes.LaneKey) -> None:
        """Take in that an admitted request was not answered in time.

        Args:
            lane: Its lane.
        """
        lowered = self.confidence(lane) * CONFIDENCE_FACTOR_PER_MISS
        self._confidence_by_lane[lane] = max(MIN_CONFIDENCE, lowered)

    def confidence(self, lane: lanes.LaneKey) -> float:
        """Return the factor on the patience.

        Args:
            lane: The lane.

        Returns:
            At most 1.
        """
        return self._confidence_by_lane.get(lane, 1.0)

    def run_seconds(self, prompt_seconds: float, max_tokens: int) -> float:
        """Estimate the time from dispatch to the end.

        Args:
            prompt_seconds: Time to the first token.
            max_tokens: Most tokens to generate.

        Returns:
            Seconds.
        """
        return prompt_seconds + max_tokens / self.decode_tokens_per_second
