"""The kinds of prompts and the loads that `heavy_load` plays."""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.fleet import forwarding


class Kind(NamedTuple):
    """A kind of prompts, as on the users' sheets."""

    name: str
    """Name."""

    mean_tokens: int
    """Mean length."""

    length_log_deviation: float
    """Standard deviation of the length's logarithm."""

    prompts_per_second: float
    """Prompts a second at the usual load."""

    worth: float
    """Worth of a prompt of mean length."""

    latency_target_seconds: float
    """Time to the first event that earns full worth."""

    gap_target_seconds: float
    """Longest pause that earns full worth."""

    deadline_seconds: float
    """Time that callers have."""

    mean_events: int
    """Mean number of events."""

    @property
    def caller_timeout_seconds(self) -> float:
        """Silence after which callers give up."""
        return forwarding.caller_timeout_seconds(
            self.latency_target_seconds, self.gap_target_seconds
        )


KINDS = (
    Kind("short", 5_000, 0.7, 14.9, 1.3, 0.3, 0.25, 10.0, 32),
    Kind("medium", 45_000, 0.3, 0.81, 3.9, 1.5, 0.6, 10.0, 19),
    Kind("long", 133_000, 0.5, 0.68, 15.0, 3.0, 1.0, 15.0, 16),
)
"""The kinds of prompts of the users' smaller site."""


class Load(NamedTuple):
    """One load."""

    name: str
    """Name."""

    engines: int
    """Engines that are left of the users' 14."""

    short_factor: float
    """Multiple of the usual rate of short prompts in the first half."""

    long_factor: float
    """The same for all others in the second half."""

    arrival_seconds: float = 20.0
    """Time in which requests arrive."""

    early_resend_share: float = 0.0
    """Share of the callers that come back at once after a refusal."""

    cancelling_share: float = 0.0
    """Share of the callers that leave within a second."""


LOADS = (
    Load("usual", 14, 1.0, 1.0),
    Load("bursts", 14, 2.5, 2.8),
    Load("bursts, half the engines", 7, 2.5, 2.8),
    Load("usual, three engines", 3, 1.0, 1.0),
    Load("bursts, impatient callers", 7, 2.5, 2.8, early_resend_share=0.5),
    Load("bursts, callers leave", 7, 2.5, 2.8, cancelling_share=0.5),
)
"""The loads that are played."""
