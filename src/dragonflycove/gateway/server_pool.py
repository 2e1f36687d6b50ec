"""Open connections to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import result

from dragonflycove.transport import http1

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, forwarding

CONNECT_SECONDS = 0.4
"""Time to open a connection; it takes a few milliseconds to a server that runs."""

REACH_SECONDS = 0.1
"""Time for a server that runs to accept a connection, across availability zones too."""

IDLE_SECONDS = 4.0
"""Idle time after which a connection is not used again; servers close theirs after a time-out."""

IDLE_MARGIN_SECONDS = 0.5
"""Time before a server's stated time-out at which its connection is no longer used."""

MOST_IDLE = 4
"""Idle connections kept to one server; servers accept a few hundred from all nodes."""


class ServerPool:
    """Idle connections by address."""

    def __init__(self) -> None:
        """Create an empty pool."""
        self._idle_by_address: dict[catalog.Address, list[http1.Connection]] = {}
        self.opened = 0
        """Connections opened."""

    async def take(
        self, address: catalog.Address, *, fresh: bool, connect_seconds: float
    ) -> result.Result[http1.Connection, str]:
        """Return a connection that carries nothing.

        Args:
            address: The server.
            fresh: Whether it must be new, so that it can't have gone stale.
            connect_seconds: Longest time to open one, seconds.

        Returns:
            The connection, or why there is none.
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle_by_address.get(address, [])
        while idle and not fresh:
            connection = idle.pop()
            if _is_usable(connection, now):
                return result.Ok(connection)
            connection.close()
        self.opened += 1
        return await http1.Connection.open(address, min(CONNECT_SECONDS, connect_seconds))

    async def is_reachable(self, address: catalog.Address) -> bool:
        """Whether a server accepts a connection.

        Args:
            address: The server.
        """
        opened = await http1.Connection.open(address, REACH_SECONDS)
        if isinstance(opened, result.Err):
            return False
        opened.ok_value.close()
        return True

    def put(
        self,
        address: catalog.Address,
        connection: http1.Connection,
        answer: forwarding.ResponseHead,
    ) -> None:
        """Keep a connection after a complete answer, if it can carry another request.

        Args:
            address: The server.
            connection: The connection.
            answer: Head of the answer.
        """
        connection.idle_timeout_seconds = answer.idle_seconds
        idle = self._idle_by_address.setdefault(address, [])
        if answer.closes or len(idle) >= MOST_IDLE or not connection.prepare_for_reuse():
            connection.close()
            return
        idle.append(connection)

    def sweep(self) -> None:
        """Close the connections that will not be used again."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            for connection in idle:
                if _is_usable(connection, now):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()


def _is_usable(connection: http1.Connection, now: float) -> bool:
    """Whether an idle connection can still carry a request."""
    limit = IDLE_SECONDS
    if connection.idle_timeout_seconds is not None:
        limit = min(limit, connection.idle_timeout_seconds - IDLE_MARGIN_SECONDS)
    return connection.is_idle() and now - connection.idle_since < limit
