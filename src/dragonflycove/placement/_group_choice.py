"""Chooses the engines of a memory group."""

from __future__ import annotations

from typing import NamedTuple


class Candidate(NamedTuple):
    """An engine that could take part in a memory group."""

    server_id: str
    """Identifier of the engine."""

    free_tokens: int
    """KV memory that is free there, as far as this node knows, tokens."""


class Member(NamedTuple):
    """An engine's part in a memory group."""

    server_id: str
    """Identifier of the engine."""

    tokens: int
    """KV memory to reserve there, tokens."""


def choose(candidates: list[Candidate], tokens: int) -> list[Member]:
    """Choose as few engines as have room together.

    Args:
        candidates: Engines that could take part.
        tokens: KV memory needed over all of them, tokens.

    Returns:
        The members in the order in which every node reserves; empty where there is no room.
    """
    members = []
    missing = tokens
    for candidate in sorted(candidates, key=lambda c: (-c.free_tokens, c.server_id)):
        if missing <= 0 or candidate.free_tokens <= 0:
            break
        part = min(missing, candidate.free_tokens)
        members.append(Member(candidate.server_id, part))
        missing -= part
    if missing > 0:
        return []
    return sorted(members)
