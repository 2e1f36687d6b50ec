"""Estimates when a request would end, for admission by deadline."""

from __future__ import annotations

import math
from typing import NamedTuple

INITIAL_DECODE_TOKENS_PER_SECOND = 30.0
"""Rate at which one stream is generated before any has been observed."""

INITIAL_HOLD_SECONDS = 5.0
"""Time for which a request holds its slot before any has been observed."""

SMOOTHING = 0.05
"""Weight of a new observation in the moving averages."""

OWN_SHARE_PATIENCE = 0.85
"""Share of the time to the deadline that the estimate may fill within the organisation's share."""

OVER_SHARE_PATIENCE = 0.5
"""The same for an organisation with more than its share of the waiting tokens."""


class Waiting(NamedTuple):
    """What stands before a new request."""

    tokens: float
    """Tokens that are served first."""
    requests: float
    """Requests that are served first."""
    rate: float
    """Prompt tokens that the servers read in a second."""
    slots: float
    """Requests that this node may have running."""


class Promise:
    """Moving averages of how requests run, and the estimate built on them."""

    def __init__(self) -> None:
        """Create averages with no observation."""
        self.decode_tokens_per_second = INITIAL_DECODE_TOKENS_PER_SECOND
        self.hold_seconds = INITIAL_HOLD_SECONDS

    def on_finished(self, held_seconds: float, decode_seconds: float, tokens: int) -> None:
        """Take in a request that ended.

        Args:
            held_seconds: Time from dispatch to the end.
            decode_seconds: Time from the first token to the end.
            tokens: Tokens generated.
        """
        self.hold_seconds += SMOOTHING * (held_seconds - self.hold_seconds)
        if tokens > 1 and decode_seconds > 0.0:
            rate = tokens / decode_seconds
            self.decode_tokens_per_second += SMOOTHING * (rate - self.decode_tokens_per_second)

    def queue_seconds(self, waiting: Waiting) -> float:
        """Estimate the wait in the node's queue.

        Args:
            waiting: What stands before the request.

        Returns:
            Seconds; infinite where nothing can be served.
        """
        if waiting.rate <= 0.0 or waiting.slots <= 0.0:
            return math.inf
        by_prefill = waiting.tokens / waiting.rate
        by_slots = waiting.requests * self.hold_seconds / waiting.slots
        return max(by_prefill, by_slots)

    def run_seconds(self, prompt_seconds: float, max_tokens: int) -> float:
        """Estimate the time from dispatch to the end.

        Args:
            prompt_seconds: Time to the first token.
            max_tokens: Most tokens to generate.

        Returns:
            Seconds.
        """
        return prompt_seconds + max_tokens / self.decode_tokens_per_second
