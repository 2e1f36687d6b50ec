"""What it costs to run a request in another availability zone, as time that it might wait instead.

Answers full engines in one zone beside idle ones in another: a short request may cross for a wait
of a few milliseconds, one with a megabyte of prompt only for a longer one.
"""

from __future__ import annotations

from typing import NamedTuple

BYTES_PER_TOKEN = 4.0
"""Mean bytes of one token of a prompt or of an answer."""

PATH_BYTES_PER_SECOND = 50e6
"""Rate at which a request's bytes are taken to pass between zones; the path is shared by all."""

ROUND_TRIPS = 2.0
"""Round trips until the first event: one to open a connection, one for the request."""

MIN_WAIT_SECONDS = 0.004
"""Minimum wait that is worth a crossing; shorter differences of predictions are chance."""


class Transfer(NamedTuple):
    """What a request moves between its node and its server."""

    prompt_tokens: int
    """Tokens of the prompt."""

    output_tokens: int
    """Tokens expected of the answer."""


def equivalent_wait_seconds(transfer: Transfer, one_way_seconds: float) -> float:
    """Return the wait in the request's own zone that costs as much as a crossing.

    Args:
        transfer: What the request moves.
        one_way_seconds: Latency between the zones; the greater the further.
    """
    tokens = max(0, transfer.prompt_tokens) + max(0, transfer.output_tokens)
    path_seconds = BYTES_PER_TOKEN * tokens / PATH_BYTES_PER_SECOND
    trip_seconds = 2.0 * ROUND_TRIPS * max(0.0, one_way_seconds)
    return MIN_WAIT_SECONDS + trip_seconds + path_seconds


def loss(transfer: Transfer, one_way_seconds: float, value: float, loss_per_second: float) -> float:
    """Return the value assumed lost by a crossing, on the scale of losses by waiting.

    Args:
        transfer: What the request moves.
        one_way_seconds: Latency between the zones.
        value: Value of the request.
        loss_per_second: Share of the value assumed lost per second of waiting.
    """
    return value * loss_per_second * equivalent_wait_seconds(transfer, one_way_seconds)
