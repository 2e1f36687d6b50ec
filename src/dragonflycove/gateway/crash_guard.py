"""Keeps requests that crash backend servers from being sent on, over all nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.gateway import crash_exchange, crash_store, crash_watch
from dragonflycove.platform import crash_records
from dragonflycove.quarantine import crash_counts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dragonflycove.fleet import catalog, roster, store_view
    from dragonflycove.gateway import connection_pool, peer_socket


class CrashGuard:
    """What this node knows of crashes, and the tasks that learn, exchange and save it."""

    def __init__(
        self,
        nodes: roster.Roster,
        datagram_socket: peer_socket.PeerSocket,
        pool: connection_pool.ConnectionPool,
        view: store_view.StoreView,
        store_address: catalog.Address,
        reaches: Callable[[str, float], Awaitable[bool]],
    ) -> None:
        """Create the parts; `run` starts their tasks.

        Args:
            nodes: This node and the others.
            datagram_socket: Socket to the other nodes.
            pool: Connections to servers.
            view: Servers as this node knows them.
            store_address: Address of the store.
            reaches: Finds out whether this node reaches any server, after one of a service was
                lost at a loop time.
        """
        self.counts = crash_counts.CrashCounts()
        """Servers that requests have crashed."""
        self._exchange = crash_exchange.CrashExchange(nodes, self.counts, datagram_socket)
        self.watch = crash_watch.CrashWatch(
            self.counts, self._exchange, pool, view, nodes.is_first_hub, reaches
        )
        """Finds out whether servers have ended that gave no complete response."""
        self._store = crash_store.CrashStore(
            crash_records.CrashRecords(store_address), self.counts, nodes
        )

    @property
    def store_calls(self) -> int:
        """Calls made to the store."""
        return self._store.calls

    def is_suspect(self, fingerprint: int) -> bool:
        """Whether a request has crashed a server.

        Args:
            fingerprint: The request's fingerprint.
        """
        return self.counts.crash_count(fingerprint, asyncio.get_running_loop().time()) > 0

    async def run(self) -> None:
        """Learn, exchange and save crashes; runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            for part in (self._exchange, self.watch, self._store):
                group.create_task(part.run())
