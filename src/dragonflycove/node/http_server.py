"""Serves an ASGI application over HTTP."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Iterator

KEEP_ALIVE_TIMEOUT_SECONDS = 30
"""Time after which an idle connection of a caller is closed."""

LISTEN_BACKLOG = 1024
"""Maximum number of connections waiting to be accepted."""

SHUTDOWN_TIMEOUT_SECONDS = 5
"""Time for responses in flight to finish when the server stops."""


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers; the daemon has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Replace uvicorn's signal handling by nothing."""
        yield


class HttpServer:
    """A listening socket and the ASGI application that it serves."""

    def __init__(self, app: Any, address: str) -> None:
        """Bind the socket and listen; connections wait until `run`.

        Args:
            app: The ASGI application.
            address: IPv4 address and port, `a.b.c.d:port`.

        Raises:
            OSError: The address cannot be bound.
        """
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, int(port)))
        # Connections made before `run` wait in the backlog instead of being refused.
        self._socket.listen(LISTEN_BACKLOG)
        self._server = _Server(
            uvicorn.Config(
                app,
                log_config=None,
                access_log=False,
                lifespan="off",
                timeout_keep_alive=KEEP_ALIVE_TIMEOUT_SECONDS,
                timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_SECONDS,
            )
        )

    @property
    def address(self) -> str:
        """Address of the listening socket, `a.b.c.d:port`."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    async def run(self) -> None:
        """Serve until `stop` is called."""
        await self._server.serve(sockets=[self._socket])

    def stop(self) -> None:
        """Stop listening and let responses finish; `run` returns afterwards."""
        self._server.should_exit = True
