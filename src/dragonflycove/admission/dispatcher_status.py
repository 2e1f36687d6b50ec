"""Counts and rates of the dispatcher, for the status page."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import outcomes


class DispatcherStatus(NamedTuple):
    """Counts and rates of the dispatcher at one moment."""

    queued: int
    """Requests in this node's queues."""
    queued_tokens: int
    """KV cache tokens that the queued requests will need."""
    running: int
    """Requests that run on an engine or memory group."""
    awaiting_group: int
    """Requests whose memory group is being reserved."""
    decode_tokens_per_second: float
    """Moving average of the decode rate of one stream."""
    counts_by_reason: dict[outcomes.Reason, int]
    """Refusals, failures and retries since the start."""
    preemptions: int
    """Requests preempted on borrowed engines since the start."""
