"""Which engines are believed to hold which prompt prefixes in their cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

BLOCKS_LIMIT = 65_536
"""Most prefix blocks remembered; the least recently used are forgotten first."""

SERVERS_PER_BLOCK_LIMIT = 4
"""Most engines remembered for one block; the oldest are forgotten first."""

CONFIDENCE_FACTOR_PER_LOSS = 0.5
"""Factor by which a gap in an engine's events lowers the trust in what came before it."""

MIN_CONFIDENCE = 0.2
"""Trust below which a block counts as not cached."""


class CacheEvent(NamedTuple):
    """One event of an engine's prefix cache."""

    sequence: int
    """Number of the event."""
    is_stored: bool
    """Whether the blocks were stored; otherwise they were evicted."""
    hashes: tuple[int, ...]
    """Hashes of the blocks."""


class CachePage(NamedTuple):
    """Some events of an engine's prefix cache, in order."""

    first: int
    """Number of the first event that the engine still keeps."""
    next: int
    """Number of the event that follows the page."""
    events: tuple[CacheEvent, ...]
    """The events."""


class CachedPrefix(NamedTuple):
    """What an engine is believed to hold of a prompt."""

    blocks: int
    """Leading blocks."""
    confidence: float
    """Trust in that, from 0 to 1."""


class PrefixMap:
    """Bounded map of prefix blocks to engines; wrong entries cost time and nothing else."""

    def __init__(self, blocks_limit: int = BLOCKS_LIMIT) -> None:
        """Create an empty map.

        Args:
            blocks_limit: Most blocks to remember.
        """
        self._blocks_limit = blocks_limit
        self._servers_by_hash: OrderedDict[int, dict[str, int]] = OrderedDict()
        self._losses_by_server: dict[str, int] = {}
        self._next_by_server: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of blocks remembered."""
        return len(self._servers_by_hash)

    def on_page(self, server_id: str, page: CachePage) -> None:
        """Take in events of an engine; events seen before change nothing.

        Args:
            server_id: The engine.
            page: The events.
        """
        expected = self._next_by_server.get(server_id, page.first)
        if page.first > expected:
            self.on_events_lost(server_id)
            expected = page.first
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
        if page.next > expected:
            self.on_events_lost(server_id)
        self._next_by_server[server_id] = max(expected, page.next)

    def on_events_lost(self, server_id: str) -> None:
        """Lower the trust in all that is known of an engine.

        Args:
            server_id: The engine.
        """
        self._losses_by_server[server_id] = self._losses_by_server.get(server_id, 0) + 1

    def on_restart(self, server_id: str) -> None:
        """Forget all that is known of an engine; its cache is empty.

        Args:
            server_id: The engine.
        """
        self._losses_by_server[server_id] = self._losses_by_server.get(server_id, 0) + 64
        self._next_by_server.pop(server_id, None)

    def retain(self, server_ids: frozenset[str]) -> None:
        """Forget engines that are no longer configured.

        Args:
            server_ids: The engines that stay.
        """
        for server_id in set(self._next_by_server) - server_ids:
            del self._next_by_server[server_id]

    def store(self, server_id: str, block: int) -> None:
        """Remember that an engine holds a block.

        Args:
            server_id: The engine.
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
        servers[server_id] = self._losses_by_server.get(server_id, 0)
        if len(servers) > SERVERS_PER_BLOCK_LIMIT:
            del servers[next(iter(servers))]

    def _evict(self, server_id: str, block: int) -> None:
        servers = self._servers_by_hash.get(block)
        if servers is None:
            return
        servers.pop(server_id, None)
        if not servers:
            del self._servers_by_hash[block]

    def find(self, hashes: tuple[int, ...]) -> dict[str, CachedPrefix]:
        """Find the engines that hold leading blocks of a prompt.

        The depth is searched by halving, as a block is only useful together with all before it.

        Args:
            hashes: Chained hashes of the prompt's blocks.

        Returns:
            What each engine is believed to hold; engines with nothing are left out.
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
        for server_id, losses in servers.items():
            confidence = CONFIDENCE_FACTOR_PER_LOSS ** (
                self._losses_by_server.get(server_id, 0) - losses
            )
            if confidence >= MIN_CONFIDENCE:
                found[server_id] = CachedPrefix(depth, confidence)
