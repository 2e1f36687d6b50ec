"""Serves an HTTP application until told to stop."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Iterator

KEEP_ALIVE_SECONDS = 30
"""Time for which an idle connection of a caller stays open, seconds."""

LISTEN_BACKLOG = 1024
"""Connections that wait to be accepted."""

GRACE_SECONDS = 5
"""Time for responses under way when the server stops, seconds."""


class _Server(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers as they are."""
        yield


class HttpServer:
    """One listening socket and the application behind it."""

    def __init__(self, app: Any, address: str) -> None:
        """Bind the socket.

        Args:
            app: The ASGI application.
            address: IP address and port.

        Raises:
            OSError: The address cannot be bound.
        """
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, int(port)))
        # Connections that come before `run` wait instead of being refused.
        self._socket.listen(LISTEN_BACKLOG)
        self._server = _Server(
            uvicorn.Config(
                app,
                log_config=None,
                access_log=False,
                lifespan="off",
                timeout_keep_alive=KEEP_ALIVE_SECONDS,
                timeout_graceful_shutdown=GRACE_SECONDS,
            )
        )

    @property
    def address(self) -> str:
        """Where it listens, `a.b.c.d:port`."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    async def run(self) -> None:
        """Serve until `stop` is called."""
        await self._server.serve(sockets=[self._socket])

    def stop(self) -> None:
        """Stop listening, let responses end and return from `run`."""
        self._server.should_exit = True
