"""Kinds of prompts and load scenarios for `heavy_load`."""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.fleet import forwarding


class PromptKind(NamedTuple):
    """A kind of prompt with its rate, value and latency targets."""

    name: str
    """Name in the figures."""

    mean_tokens: int
    """Mean length, tokens."""

    length_log_deviation: float
    """Standard deviation of the natural logarithm of the length; lengths are lognormal."""

    prompts_per_second: float
    """Arrival rate when the scenario's factors are 1."""

    value: float
    """Value of a prompt of mean length that is served within its latency targets."""

    latency_target_seconds: float
    """Maximum time to first event at which a prompt earns its full value."""

    gap_target_seconds: float
    """Maximum gap between events at which a prompt earns its full value."""

    deadline_seconds: float
    """Time from the request to the deadline that callers set."""

    mean_events: int
    """Mean number of events of a response."""

    @property
    def caller_timeout_seconds(self) -> float:
        """Time without an event after which callers disconnect."""
        return forwarding.caller_timeout_seconds(
            self.latency_target_seconds, self.gap_target_seconds
        )


KINDS = (
    PromptKind("short", 5_000, 0.7, 14.9, 1.3, 0.3, 0.25, 10.0, 32),
    PromptKind("medium", 45_000, 0.3, 0.81, 3.9, 1.5, 0.6, 10.0, 19),
    PromptKind("long", 133_000, 0.5, 0.68, 15.0, 3.0, 1.0, 15.0, 16),
)
"""The kinds of prompts at the smaller site, which has 14 engines."""


class LoadScenario(NamedTuple):
    """A load scenario: number of engines, changes of the arrival rates, and callers' behaviour."""

    name: str
    """Name in the figures."""

    engines: int
    """Number of engines; the complete site has 14."""

    short_factor: float
    """Factor on the rate of short prompts in the first half of the arrival period."""

    long_factor: float
    """Factor on the rate of medium and long prompts in the second half of the arrival period."""

    arrival_seconds: float = 20.0
    """Length of the arrival period."""

    early_resend_share: float = 0.0
    """Probability that a refused caller resends before the retry-after time has passed."""

    cancelling_share: float = 0.0
    """Fraction of callers that disconnect within a second of their request."""


SCENARIOS = (
    LoadScenario("usual", 14, 1.0, 1.0),
    LoadScenario("bursts", 14, 2.5, 2.8),
    LoadScenario("bursts, half the engines", 7, 2.5, 2.8),
    LoadScenario("usual, three engines", 3, 1.0, 1.0),
    LoadScenario("bursts, impatient callers", 7, 2.5, 2.8, early_resend_share=0.5),
    LoadScenario("bursts, callers leave", 7, 2.5, 2.8, cancelling_share=0.5),
)
"""All load scenarios; the numbers are `engines`, `short_factor` and `long_factor`."""
