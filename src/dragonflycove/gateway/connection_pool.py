"""Keeps idle connections to backend servers for reuse."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import result

from dragonflycove.transport import http1

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, forwarding

CONNECT_TIMEOUT_SECONDS = 0.4
"""Timeout of opening a connection; a running server accepts within a few milliseconds."""

REACHABILITY_TIMEOUT_SECONDS = 0.1
"""Timeout of a reachability probe; running servers accept sooner, also in other zones."""

MAX_IDLE_SECONDS = 4.0
"""Idle time after which a connection is not reused; servers close idle connections."""

IDLE_MARGIN_SECONDS = 0.5
"""Minimum time left of a server's stated idle timeout for a connection to be reused."""

MAX_IDLE_CONNECTIONS = 4
"""Maximum idle connections to one server; servers accept a few hundred from all nodes."""


class ConnectionPool:
    """Idle connections to backend servers, by address."""

    def __init__(self, source_ip: str | None = None) -> None:
        """Create an empty pool.

        Args:
            source_ip: Local IP address to connect from; None for the system's choice.
        """
        self._source_ip = source_ip
        self._idle_by_address: dict[catalog.Address, list[http1.Connection]] = {}
        self.opened = 0
        """Connections opened so far, failed attempts included."""

    async def take(
        self, address: catalog.Address, *, fresh: bool, connect_seconds: float
    ) -> result.Result[http1.Connection, str]:
        """Return a connection with no request in flight, an idle one if possible.

        Args:
            address: Address of the server.
            fresh: Whether it must be new; for requests that can't be retried on stale connections.
            connect_seconds: Upper limit of the timeout for opening a connection.

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
        return await http1.Connection.open(
            address, min(CONNECT_TIMEOUT_SECONDS, connect_seconds), self._source_ip
        )

    async def is_reachable(self, address: catalog.Address) -> bool:
        """Whether a server accepts a connection now.

        Args:
            address: The server.
        """
        opened = await http1.Connection.open(address, REACHABILITY_TIMEOUT_SECONDS, self._source_ip)
        if isinstance(opened, result.Err):
            return False
        opened.ok_value.close()
        return True

    def put(
        self,
        address: catalog.Address,
        connection: http1.Connection,
        response_head: forwarding.ResponseHead,
    ) -> None:
        """Keep a connection after a complete response if it can be reused; close it otherwise.

        Args:
            address: The server.
            connection: The connection.
            response_head: Head of the response; states the server's idle timeout.
        """
        connection.idle_timeout_seconds = response_head.idle_seconds
        idle = self._idle_by_address.setdefault(address, [])
        if (
            response_head.closes
            or len(idle) >= MAX_IDLE_CONNECTIONS
            or not connection.prepare_for_reuse()
        ):
            connection.close()
            return
        idle.append(connection)

    def discard(self, address: catalog.Address) -> None:
        """Close the idle connections to a server that has ended.

        Args:
            address: The server.
        """
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections that can't be reused any more; called at intervals."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle_by_address.items()):
            usable = []
            for connection in idle:
                if _is_usable(connection, now):
                    usable.append(connection)
                else:
                    connection.close()
            if usable:
                self._idle_by_address[address] = usable
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()


def _is_usable(connection: http1.Connection, now: float) -> bool:
    """Whether an idle connection can be reused."""
    idle_limit_seconds = MAX_IDLE_SECONDS
    if connection.idle_timeout_seconds is not None:
        idle_limit_seconds = min(
            idle_limit_seconds, connection.idle_timeout_seconds - IDLE_MARGIN_SECONDS
        )
    return connection.is_idle() and now - connection.idle_since < idle_limit_seconds
