"""Counts and rates of the dispatcher, for the status page."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import outcomes


class DispatcherStatus(NamedTuple):
    """Counts and rates of the dispatcher at one moment."""

    queued: int
    """Number of requests in this node's queues."""
    queued_tokens: int
    """KV cache that the queued requests will need together, tokens."""
    running: int
    """Number of requests that run on an engine or memory group."""
    awaiting_group: int
    """Number of requests whose memory group is being reserved."""
    decode_tokens_per_second: float
    """Moving average of the decode rate of one stream, tokens per second."""
    counts_by_reason: dict[outcomes.Reason, int]
    """Number of refusals, failures and retries by reason since the node's start."""
    preemptions: int
    """Number of preemptions on borrowed engines since the node's start."""
