"""Which backend servers have said in their responses that they leave, as known to one node.

They say so earlier than their records in the store, and some have no such record at all. Only a new
start ends it; so nodes exchange what they hear, and order, repetition and delay don't matter.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

RETENTION_SECONDS = 600.0
"""Time after which a leaving server is forgotten; servers end some seconds after they say so."""

MAX_SERVERS = 2_000
"""Leaving servers that are kept at once; those that were heard of first are forgotten."""


class LeavingServers:
    """The starts of servers that leave."""

    def __init__(self) -> None:
        """Create without leaving servers."""
        self._since_by_instance: dict[catalog.Instance, float] = {}

    def __len__(self) -> int:
        """Return the number of leaving servers."""
        return len(self._since_by_instance)

    def add(self, instance: catalog.Instance, since: float) -> bool:
        """Add a server that said that it leaves.

        Args:
            instance: The server.
            since: Loop time at which it said so.

        Returns:
            Whether it was not known to leave.
        """
        known = self._since_by_instance.get(instance)
        if known is not None:
            self._since_by_instance[instance] = max(known, since)
            return False
        self._since_by_instance[instance] = since
        if len(self._since_by_instance) > MAX_SERVERS:
            del self._since_by_instance[next(iter(self._since_by_instance))]
        return True

    def is_leaving(self, instance: catalog.Instance) -> bool:
        """Whether a server has said that it leaves.

        Args:
            instance: The server.
        """
        return instance in self._since_by_instance

    def items(self) -> list[tuple[catalog.Instance, float]]:
        """Return the leaving servers, each with the loop time at which it last said so."""
        return list(self._since_by_instance.items())

    def digest(self) -> int:
        """Return a hash that is equal at nodes that know the same leaving servers; 0 for none."""
        combined = 0
        for server_id, started_at_ms in self._since_by_instance:
            combined ^= xxhash.xxh3_64_intdigest(f"{server_id} {started_at_ms}".encode())
        return combined

    def discard_expired(self, now: float) -> None:
        """Forget servers that left long ago.

        Args:
            now: Loop time.
        """
        self._since_by_instance = {
            instance: since
            for instance, since in self._since_by_instance.items()
            if now - since < RETENTION_SECONDS
        }
