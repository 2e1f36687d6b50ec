"""Map of prompt prefix blocks to the engines that probably have them in their prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

BLOCKS_LIMIT = 65_536
"""Maximum number of prefix blocks kept; the least recently stored are dropped first."""

SERVERS_PER_BLOCK_LIMIT = 4
"""Maximum number of engines kept for one block; the least recently stored is dropped first."""

CONFIDENCE_FACTOR_PER_EVENT_LOSS = 0.5
"""Factor on the confidence in an engine's stored blocks for each loss of some of its events."""

MIN_CONFIDENCE = 0.2
"""Confidence below which a block counts as not cached."""


class CacheEvent(NamedTuple):
    """One event of an engine's prefix cache."""

    sequence: int
    """Sequence number of the event at its engine."""
    is_stored: bool
    """True if the blocks were stored, false if they were evicted."""
    hashes: tuple[int, ...]
    """Hashes of the blocks."""


class CachePage(NamedTuple):
    """Consecutive events of an engine's prefix cache."""

    first_retained: int
    """Sequence number of the first event that the engine still keeps."""
    next_sequence: int
    """Sequence number that follows the page."""
    events: tuple[CacheEvent, ...]
    """The events, in order."""


class CachedPrefix(NamedTuple):
    """The part of a prompt that is probably in an engine's prefix cache."""

    blocks: int
    """Number of leading blocks."""
    confidence: float
    """Confidence that they are still cached, from 0 to 1."""


class PrefixMap:
    """Bounded map of prefix blocks to engines; a wrong entry only costs prefill time."""

    def __init__(self, blocks_limit: int = BLOCKS_LIMIT) -> None:
        """Create an empty map.

        Args:
            blocks_limit: Maximum number of blocks to keep.
        """
        self._blocks_limit = blocks_limit
        self._servers_by_hash: OrderedDict[int, dict[str, int]] = OrderedDict()
        self._event_losses_by_server: dict[str, int] = {}
        self._next_by_server: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of blocks in the map."""
        return len(self._servers_by_hash)

    def on_page(self, server_id: str, page: CachePage) -> None:
        """Apply a page of an engine's events; events applied before change nothing.

        Missing sequence numbers count as lost events.

        Args:
            server_id: Identifier of the engine.
            page: The events.
        """
        expected = self._next_by_server.get(server_id, page.first_retained)
        if page.first_retained > expected:
            self.on_events_lost(server_id)
            expected = page.first_retained
        for event in page.events:
            if event.sequence < expected:
                continue
            if event.sequence > expected:
                self.on_events_lost(server_id)
            expected = event.sequence + 1
            for block in event.hashes:
                if event.is_stored:
                    self.store(server_id, block)
                else:
                    self._evict(server_id, block)
        if page.next_sequence > expected:
            self.on_events_lost(server_id)
        self._next_by_server[server_id] = max(expected, page.next_sequence)

    def on_events_lost(self, server_id: str) -> None:
        """Lower the confidence in everything stored for an engine.

        Args:
            server_id: Identifier of the engine.
        """
        self._event_losses_by_server[server_id] = self._event_losses_by_server.get(server_id, 0) + 1

    def on_restart(self, server_id: str) -> None:
        """Count everything stored for an engine as not cached, since a restart empties its cache.

        Args:
            server_id: Identifier of the engine.
        """
        self._event_losses_by_server[server_id] = (
            self._event_losses_by_server.get(server_id, 0) + 64
        )
        self._next_by_server.pop(server_id, None)

    def retain(self, server_ids: frozenset[str]) -> None:
        """Drop the next expected event numbers of engines that are no longer configured.

        Args:
            server_ids: Identifiers of the configured engines.
        """
        for server_id in set(self._next_by_server) - server_ids:
            del self._next_by_server[server_id]

    def store(self, server_id: str, block: int) -> None:
        """Record that an engine has a block in its cache.

        Args:
            server_id: Identifier of the engine.
            block: Hash of the block.
        """
        servers = self._servers_by_hash.get(block)
        if servers is None:
            servers = self._servers_by_hash[block] = {}
            if len(self._servers_by_hash) > self._blocks_limit:
                self._servers_by_hash.popitem(last=False)
        else:
            self._servers_by_hash.move_to_end(block)
        servers.pop(server_id, None)
        servers[server_id] = self._event_losses_by_server.get(server_id, 0)
        if len(servers) > SERVERS_PER_BLOCK_LIMIT:
            del servers[next(iter(servers))]

    def _evict(self, server_id: str, block: int) -> None:
        """Record that an engine evicted a block from its cache."""
        servers = self._servers_by_hash.get(block)
        if servers is None:
            return
        servers.pop(server_id, None)
        if not servers:
            del self._servers_by_hash[block]

    def find(self, hashes: tuple[int, ...]) -> dict[str, CachedPrefix]:
        """Find the engines that have leading blocks of a prompt in their cache.

        Uses binary search over the number of leading blocks: a block is useful only together with
        all blocks before it, so an engine that has one is assumed to have those before it.

        Args:
            hashes: Chained hashes of the prompt's blocks, the first block first.

        Returns:
            The cached prefix by engine, only for engines that have one.
        """
        found: dict[str, CachedPrefix] = {}
        low, high = 0, len(hashes)
        depth = 1
        while low < high:
            servers = self._servers_by_hash.get(hashes[depth - 1])
            if servers:
                self._add_found(found, servers, depth)
                low = depth
            else:
                high = depth - 1
            depth = (low + high + 1) // 2
        return found

    def _add_found(
        self, found: dict[str, CachedPrefix], servers: dict[str, int], depth: int
    ) -> None:
        for server_id, event_losses in servers.items():
            confidence = CONFIDENCE_FACTOR_PER_EVENT_LOSS ** (
                self._event_losses_by_server.get(server_id, 0) - event_losses
            )
            if confidence >= MIN_CONFIDENCE:
                found[server_id] = CachedPrefix(depth, confidence)
