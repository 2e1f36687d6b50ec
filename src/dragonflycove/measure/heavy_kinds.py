"""Kinds of prompts and load scenarios for `heavy_load`."""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.fleet import forwarding


class Kind(NamedTuple):
    """A kind of prompt with its rate, worth and latency targets."""

    name: str
    """Name in the figures."""

    mean_tokens: int
    """Mean length, tokens."""

    length_log_deviation: float
    """Standard deviation of the length's logarithm."""

    prompts_per_second: float
    """Arrival rate at the usual load."""

    worth: float
    """Credit for serving a prompt of mean length."""

    latency_target_seconds: float
    """Longest time to first event for full worth."""

    gap_target_seconds: float
    """Longest gap between events for full worth."""

    deadline_seconds: float
    """Deadline that callers set."""

    mean_events: int
    """Mean number of events of a response."""

    @property
    def caller_timeout_seconds(self) -> float:
        """Time without an event after which callers disconnect."""
        return forwarding.caller_timeout_seconds(
            self.latency_target_seconds, self.gap_target_seconds
        )


KINDS = (
    Kind("short", 5_000, 0.7, 14.9, 1.3, 0.3, 0.25, 10.0, 32),
    Kind("medium", 45_000, 0.3, 0.81, 3.9, 1.5, 0.6, 10.0, 19),
    Kind("long", 133_000, 0.5, 0.68, 15.0, 3.0, 1.0, 15.0, 16),
)
"""The kinds of prompts of the smaller site."""


class Load(NamedTuple):
    """A load scenario."""

    name: str
    """Name in the figures."""

    engines: int
    """Number of engines; 14 are the full site."""

    short_factor: float
    """Factor on the rate of short prompts in the first half."""

    long_factor: float
    """Factor on the rate of all other prompts in the second half."""

    arrival_seconds: float = 20.0
    """Length of the arrival period."""

    early_resend_share: float = 0.0
    """Share of refused callers that resend early instead of after the retry-after time."""

    cancelling_share: float = 0.0
    """Share of callers that disconnect within a second of their request."""


LOADS = (
    Load("usual", 14, 1.0, 1.0),
    Load("bursts", 14, 2.5, 2.8),
    Load("bursts, half the engines", 7, 2.5, 2.8),
    Load("usual, three engines", 3, 1.0, 1.0),
    Load("bursts, impatient callers", 7, 2.5, 2.8, early_resend_share=0.5),
    Load("bursts, callers leave", 7, 2.5, 2.8, cancelling_share=0.5),
)
"""All load scenarios."""
