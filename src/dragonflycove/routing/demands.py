"""What a request needs of an engine, and what is chosen for it."""

from __future__ import annotations

from typing import NamedTuple


class Demand(NamedTuple):
    """What a request needs of an engine."""

    model: str
    """Name of the model."""
    prompt_tokens: int
    """Length of the prompt, tokens."""
    memory_tokens: int
    """KV memory that it takes, tokens."""
    priority: int
    """Engine priority."""
    prefix_hashes: tuple[int, ...] = ()
    """Chained hashes of the prompt's blocks."""
    is_long: bool = False
    """Whether the prompt is of the long class."""
    excluded: frozenset[str] = frozenset()
    """Engines that must not be chosen."""


class Choice(NamedTuple):
    """An engine and what is expected of it."""

    server_id: str
    """The engine."""
    first_token_seconds: float
    """Estimated time to the first token."""
    cached_tokens: int
    """Prompt tokens that are believed to be in its prefix cache."""
    is_borrowed: bool
    """Whether the engine's capacity is borrowed from the other length class."""


class Capacity(NamedTuple):
    """What the engines of a model can do together."""

    prefill_tokens_per_second: float
    """Prompt tokens read in a second by all of them."""
    slots: int
    """Requests that this node may have running."""
    largest_memory_tokens: int
    """KV memory of the largest one, tokens."""
    mean_prefill_tokens_per_second: float
    """Prompt tokens read in a second by one of them."""


NO_CAPACITY = Capacity(0.0, 0, 0, 1.0)
"""Capacity of no engine."""
