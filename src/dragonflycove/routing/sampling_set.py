"""A set that supports random sampling in constant time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class SamplingSet:
    """A set of server identifiers that can be sampled without a scan."""

    def __init__(self) -> None:
        """Create an empty set."""
        self.items: list[str] = []
        """Identifiers of the members, in no particular order."""
        self._index_by_id: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self.items)

    def __contains__(self, server_id: str) -> bool:
        """Return whether a server is a member."""
        return server_id in self._index_by_id

    def add(self, server_id: str) -> None:
        """Add a member; adding it twice changes nothing.

        Args:
            server_id: Identifier of the server.
        """
        if server_id not in self._index_by_id:
            self._index_by_id[server_id] = len(self.items)
            self.items.append(server_id)

    def discard(self, server_id: str) -> None:
        """Remove a member, if it is one.

        Args:
            server_id: Identifier of the server.
        """
        index = self._index_by_id.pop(server_id, None)
        if index is None:
            return
        last = self.items.pop()
        if last != server_id:
            self.items[index] = last
            self._index_by_id[last] = index

    def sample(self, count: int, rng: random.Random) -> list[str]:
        """Draw distinct members at random.

        Args:
            count: Maximum number of members to draw.
            rng: Source of randomness.

        Returns:
            Every member if there are at most `count`; else up to `count` of them, fewer if a
            member was drawn more than once.
        """
        size = len(self.items)
        if size <= count:
            return list(self.items)
        drawn = {int(rng.random() * size) for _ in range(count)}
        return [self.items[index] for index in sorted(drawn)]
