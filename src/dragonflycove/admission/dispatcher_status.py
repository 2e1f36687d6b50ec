"""The dispatcher's state in figures, for the status page."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import outcomes


class DispatcherStatus(NamedTuple):
    """The dispatcher's state in figures."""

    queued: int
    """Requests that wait in this node."""
    queued_tokens: int
    """Their tokens."""
    running: int
    """Requests that were dispatched."""
    awaiting_group: int
    """Requests that wait for a memory group."""
    decode_tokens_per_second: float
    """Rate at which one stream is generated."""
    counts_by_reason: dict[outcomes.Reason, int]
    """Refusals, failures and retries since the start."""
    preemptions: int
    """Times that borrowed capacity was given back since the start."""
