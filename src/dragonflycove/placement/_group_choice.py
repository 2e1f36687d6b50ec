"""Chooses the engines of a memory group."""

from __future__ import annotations

from typing import NamedTuple


class Candidate(NamedTuple):
    """An engine that could take part in a memory group."""

    server_id: str
    """Identifier of the engine."""

    free_tokens: int
    """Free KV cache of the engine in this node's view, tokens."""


class Member(NamedTuple):
    """An engine of a memory group, and the KV cache that the group takes there."""

    server_id: str
    """Identifier of the engine."""

    tokens: int
    """KV cache to reserve there, tokens."""


def choose(candidates: list[Candidate], tokens: int) -> list[Member]:
    """Choose the fewest engines whose free KV cache is large enough together.

    Args:
        candidates: Engines that could take part.
        tokens: KV cache needed over all engines, tokens.

    Returns:
        The members by identifier, the order in which every node reserves; empty if there is too
        little free KV cache.
    """
    members = []
    missing_tokens = tokens
    for candidate in sorted(candidates, key=lambda c: (-c.free_tokens, c.server_id)):
        if missing_tokens <= 0 or candidate.free_tokens <= 0:
            break
        part = min(missing_tokens, candidate.free_tokens)
        members.append(Member(candidate.server_id, part))
        missing_tokens -= part
    if missing_tokens > 0:
        return []
    return sorted(members)
