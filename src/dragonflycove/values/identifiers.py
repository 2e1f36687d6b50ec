"""Identifiers, node identities, stable hashes and rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable


class NodeIdentity(NamedTuple):
    """Identity of one node process: its host and its incarnation."""

    host: str
    """Name of the host in the host list."""

    incarnation: str
    """Identifier of the process, unique to each start."""

    def __str__(self) -> str:
        """Return `host/incarnation`, the form used on the wire."""
        return f"{self.host}/{self.incarnation}"

    @classmethod
    def parse(cls, text: str) -> NodeIdentity:
        """Parse the form `host/incarnation`.

        Args:
            text: The identity as written by `str`.

        Returns:
            The identity; the incarnation is empty if the text has no `/`.
        """
        host, _, incarnation = text.partition("/")
        return cls(host, incarnation)


def new_id(rng: random.Random, prefix: str) -> str:
    """Return a new identifier with 96 random bits.

    Args:
        rng: Generator of the random bits.
        prefix: Short word for the kind of thing that is identified.

    Returns:
        `prefix-` followed by 24 hexadecimal digits.
    """
    return f"{prefix}-{rng.getrandbits(96):024x}"


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same in every process and on every host.

    Args:
        parts: Strings to hash; `("ab", "c")` and `("a", "bc")` have different hashes.

    Returns:
        An unsigned 64-bit integer.
    """
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())


def rendezvous_rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Rank candidates for a key by highest random weight.

    Args:
        key: Key for which a candidate is chosen.
        candidates: Names of the candidates.

    Returns:
        The candidates, the best first. Removing one keeps the order of the others.
    """
    return sorted(candidates, key=lambda name: (stable_hash(key, name), name), reverse=True)
