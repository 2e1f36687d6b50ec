"""Identifiers and rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable


class NodeIdentity(NamedTuple):
    """One start of one node process."""

    host: str
    """Name of the host in the host list."""

    incarnation: str
    """Identifier of this start of the process, unique for all time."""

    def __str__(self) -> str:
        """Return `host/incarnation`, the form used on the wire."""
        return f"{self.host}/{self.incarnation}"

    @classmethod
    def parse(cls, text: str) -> NodeIdentity:
        """Parse the form `host/incarnation`.

        Args:
            text: The form that `str` gives.

        Returns:
            The identity; the incarnation is empty where the text has none.
        """
        host, _, incarnation = text.partition("/")
        return cls(host, incarnation)


def new_id(rng: random.Random, prefix: str) -> str:
    """Return a fresh identifier of 96 random bits.

    Args:
        rng: The generator to draw from.
        prefix: A short word that tells what the identifier names.

    Returns:
        `prefix-` followed by 24 hexadecimal digits.
    """
    return f"{prefix}-{rng.getrandbits(96):024x}"


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same on every host.

    Args:
        parts: The strings to hash; their boundaries count.

    Returns:
        An unsigned 64-bit integer.
    """
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())


def rendezvous_rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Rank candidates for a key by highest random weight.

    Args:
        key: The thing to be placed.
        candidates: Names to rank.

    Returns:
        The candidates, the best first. Removing one leaves the order of the others.
    """
    return sorted(candidates, key=lambda name: (stable_hash(key, name), name), reverse=True)
