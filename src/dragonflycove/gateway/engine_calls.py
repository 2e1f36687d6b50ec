"""Calls to engines beside the requests of callers: orders and load reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.platform import requests

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog
    from dragonflycove.gateway import connection_pool, head_watch
    from dragonflycove.transport import http1

ENGINE_TIMEOUT_SECONDS = 0.6
"""Timeout of a call to an engine; a running one responds within milliseconds."""

MAX_RESPONSE_BYTES = 65_536
"""Maximum size of an engine's response to a call; they have some hundred bytes."""


class EngineResponse(NamedTuple):
    """Response of an engine to a call."""

    status: int
    """HTTP status code."""

    body: bytes
    """Complete body."""


class EngineCalls:
    """Calls engines over the connections that requests use as well."""

    def __init__(self, pool: connection_pool.ConnectionPool, heads: head_watch.HeadWatch) -> None:
        """Create without calls.

        Args:
            pool: Connections to engines.
            heads: Hears what engines' responses state of the engines.
        """
        self._heads = heads
        self._pool = pool

    async def call(
        self, server: catalog.BackendServer, request: http1.Request, *, fresh: bool = False
    ) -> EngineResponse | None:
        """Send a call to an engine.

        Args:
            server: The engine.
            request: The encoded call.
            fresh: Whether it must not use a kept connection.

        Returns:
            The response; None if none came within `ENGINE_TIMEOUT_SECONDS`.
        """
        address = server.address
        connection: http1.Connection | None = None
        try:
            async with asyncio.timeout(ENGINE_TIMEOUT_SECONDS):
                taken = await self._pool.take(
                    address, fresh=fresh, connect_seconds=ENGINE_TIMEOUT_SECONDS
                )
                if isinstance(taken, result.Err):
                    return None
                connection = taken.ok_value
                connection.send(request)
                response = await connection.read_response(MAX_RESPONSE_BYTES)
                if isinstance(response, result.Err):
                    return None
                head = requests.decode_response_head(response.ok_value[0])
                self._heads.on_any_head(server, head)
                self._pool.put(address, connection, head)
                connection = None
                return EngineResponse(head.status, response.ok_value[1])
        except TimeoutError:
            return None
        finally:
            if connection is not None:
                connection.close()
