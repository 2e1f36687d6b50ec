"""What a request needs from an engine, and the engine chosen for it."""

from __future__ import annotations

from typing import NamedTuple


class Demand(NamedTuple):
    """What a request needs from an engine."""

    model: str
    """Name of the model."""
    prompt_tokens: int
    """Length of the prompt, tokens."""
    memory_tokens: int
    """KV cache that it takes: its prompt tokens plus the maximum number of tokens to generate."""
    priority: int
    """Priority at the engine: 0 is the higher, 1 the lower."""
    prefix_hashes: tuple[int, ...] = ()
    """Chained hashes of the prompt's prefix blocks, the first block first."""
    is_long: bool = False
    """Whether the prompt is in the long length class."""
    excluded: frozenset[str] = frozenset()
    """Identifiers of the engines that must not be chosen."""


class Choice(NamedTuple):
    """The engine chosen for a request, with its estimates."""

    server_id: str
    """Identifier of the engine."""
    first_token_seconds: float
    """Estimated time from dispatch to the first token; 0 under a baseline policy."""
    cached_tokens: int
    """Prompt tokens estimated to be in the engine's prefix cache."""
    is_borrowed: bool
    """Whether the request borrows idle capacity of another pool and may be preempted."""


class Capacity(NamedTuple):
    """Capacity of all engines of a model that may get new work."""

    prefill_tokens_per_second: float
    """Prefill rate of all engines together, tokens per second."""
    slots: int
    """Number of requests that this node may have in flight on all engines together."""
    largest_memory_tokens: int
    """KV cache of the largest engine, tokens."""
    mean_prefill_tokens_per_second: float
    """Mean prefill rate of one engine, tokens per second."""


NO_CAPACITY = Capacity(0.0, 0, 0, 1.0)
"""Capacity without engines; the mean rate is 1 because it is a divisor."""
