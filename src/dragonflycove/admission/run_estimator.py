"""Estimates how long a request would run, for admission by deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.admission import lanes

INITIAL_DECODE_TOKENS_PER_SECOND = 30.0
"""Decode rate that is assumed for one stream until a request has finished."""

INITIAL_SLOT_SECONDS = 5.0
"""Time from a request's dispatch to its end that is assumed until a request has finished."""

SMOOTHING = 0.05
"""Weight of a new observation in the moving averages."""

DEADLINE_FRACTION = 0.95
"""Fraction of the time to the deadline that queueing and running together may take."""

WITHIN_SHARE_WAIT_FRACTION = 0.4
"""Fraction of the slack that queueing may take, for an organisation within its share.

The slack is the time to the deadline, times `DEADLINE_FRACTION`, less the estimated run time.
"""

OVER_SHARE_WAIT_FRACTION = 0.3
"""Fraction of the slack that queueing may take, for an organisation over its share of the queue."""

MIN_CONFIDENCE = 0.3
"""Lower bound of a lane's confidence, however many deadlines its requests missed."""

CONFIDENCE_FACTOR_PER_MISS = 0.8
"""Factor on a lane's confidence for each admitted request that missed its deadline."""

CONFIDENCE_GAIN_PER_MET = 0.004
"""Increase of a lane's confidence for each admitted request that met its deadline."""


class RunEstimator:
    """Moving averages over finished requests, and each lane's confidence in the estimates."""

    def __init__(self) -> None:
        """Create averages with their initial values and full confidence."""
        self.decode_tokens_per_second = INITIAL_DECODE_TOKENS_PER_SECOND
        """Moving average of the decode rate of one stream."""
        self.slot_seconds = INITIAL_SLOT_SECONDS
        """Moving average of the time from dispatch to the end."""
        self._confidence_by_lane: dict[lanes.LaneKey, float] = {}

    def on_finished(self, slot_seconds: float, decode_seconds: float, tokens: int) -> None:
        """Update the averages with a request that finished.

        Args:
            slot_seconds: Time from dispatch to the end.
            decode_seconds: Time from the first token to the end.
            tokens: Generated tokens.
        """
        self.slot_seconds += SMOOTHING * (slot_seconds - self.slot_seconds)
        if tokens > 1 and decode_seconds > 0.0:
            rate = tokens / decode_seconds
            self.decode_tokens_per_second += SMOOTHING * (rate - self.decode_tokens_per_second)

    def on_deadline_met(self, lane: lanes.LaneKey) -> None:
        """Raise a lane's confidence after an admitted request met its deadline.

        Args:
            lane: Lane of the request.
        """
        self._confidence_by_lane[lane] = min(1.0, self.confidence(lane) + CONFIDENCE_GAIN_PER_MET)

    def on_deadline_missed(self, lane: lanes.LaneKey) -> None:
        """Lower a lane's confidence after an admitted request missed its deadline.

        Args:
            lane: Lane of the request.
        """
        lowered = self.confidence(lane) * CONFIDENCE_FACTOR_PER_MISS
        self._confidence_by_lane[lane] = max(MIN_CONFIDENCE, lowered)

    def confidence(self, lane: lanes.LaneKey) -> float:
        """Return the factor by which admission scales the allowed queueing time.

        Args:
            lane: The lane.

        Returns:
            From `MIN_CONFIDENCE` to 1.
        """
        return self._confidence_by_lane.get(lane, 1.0)

    def run_seconds(self, first_token_seconds: float, max_tokens: int) -> float:
        """Estimate the time from dispatch to the end.

        Args:
            first_token_seconds: Estimated time from dispatch to the first token.
            max_tokens: Maximum number of tokens to generate.

        Returns:
            Seconds.
        """
        return first_token_seconds + max_tokens / self.decode_tokens_per_second
