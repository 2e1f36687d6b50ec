"""What servers state of themselves in their responses: limits, rest, and that they leave."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import leaving_servers, server_limits, server_rests
from dragonflycove.gateway import head_watch, leaving_exchange, limit_exchange, limit_watch

if TYPE_CHECKING:
    from dragonflycove.fleet import roster
    from dragonflycove.gateway import connection_pool, peer_socket


class ServerStatements:
    """The statements that this node knows, and the tasks that hear and exchange them."""

    def __init__(
        self,
        nodes: roster.Roster,
        pool: connection_pool.ConnectionPool,
        datagram_socket: peer_socket.PeerSocket,
    ) -> None:
        """Create the parts; `run` starts their tasks.

        Args:
            nodes: This node and the others.
            pool: Connections to servers.
            datagram_socket: Socket to the other nodes.
        """
        self.limits = server_limits.ServerLimits()
        """Requests a second that servers take from all nodes."""
        self.rests = server_rests.ServerRests()
        """Servers that want no requests from this node for a time."""
        self.leaving = leaving_servers.LeavingServers()
        """Servers that leave."""
        self._limit_exchange = limit_exchange.LimitExchange(nodes, self.limits, datagram_socket)
        self._leaving_exchange = leaving_exchange.LeavingExchange(
            nodes, self.leaving, pool, datagram_socket
        )
        limits_watch = limit_watch.LimitWatch(self.limits, self._limit_exchange)
        self.heads = head_watch.HeadWatch(limits_watch, self.rests, self._leaving_exchange)
        """Hears the statements of response heads."""

    async def run(self) -> None:
        """Exchange statements with the other nodes; runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            for exchange in (self._limit_exchange, self._leaving_exchange):
                group.create_task(exchange.run())

    def discard_expired(self, now: float) -> None:
        """Discard statements that don't hold any more.

        Args:
            now: Loop time.
        """
        self.limits.discard_expired(now)
        self.rests.discard_expired(now)
        self.leaving.discard_expired(now)

    def gauges(self) -> dict[str, float]:
        """Return the numbers of servers with each statement, by the metrics' names."""
        return {
            "dragonflycove_limited_servers": len(self.limits),
            "dragonflycove_resting_servers": len(self.rests),
            "dragonflycove_leaving_servers": len(self.leaving),
        }
