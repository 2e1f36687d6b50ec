"""aiohttp client sessions, and a middleware that disables aiohttp's own retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import client_middlewares

READ_BUFFER_BYTES = 262_144
"""Read buffer of one connection."""

SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Headers that aiohttp would add by itself; requests are sent with the given headers only."""

IDLE_TIMEOUT_SECONDS = 2.0
"""Time after which an idle connection is closed instead of reused.

A network fault that silently drops packets affects all idle connections to an address. If the
timeout of calls is at least as long, only the first call fails on such a connection: by the time
it times out, the others have expired.
"""


class SendOnce:
    """Client middleware that prevents aiohttp from sending a request a second time.

    aiohttp retries GET, PUT, DELETE and other idempotent methods when the connection closes
    without a response, even on a new connection. Whether to retry is the calling code's decision.
    """

    def __init__(self) -> None:
        """Create the middleware for a single request."""
        self._error: aiohttp.ClientError | OSError | None = None

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: client_middlewares.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request; on a second call, raise the error of the first one again.

        Args:
            request: The request.
            handler: Next handler of the middleware chain, which sends the request.

        Returns:
            The response.

        Raises:
            aiohttp.ClientError: The request failed.
            OSError: The connection failed.
        """
        if self._error is not None:
            raise self._error
        try:
            return await handler(request)
        except (aiohttp.ClientError, OSError) as error:
            self._error = error
            raise


def connect_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Return timeouts that limit only the time to get a connection.

    Args:
        seconds: Timeout for getting a connection.

    Returns:
        The timeouts for a request.
    """
    return aiohttp.ClientTimeout(total=None, connect=seconds, sock_connect=seconds)


def open_pooled(idle_seconds: float = IDLE_TIMEOUT_SECONDS) -> aiohttp.ClientSession:
    """Open a session that reuses connections; must be called inside a running event loop.

    Args:
        idle_seconds: Time after which an idle connection is closed instead of reused.

    Returns:
        The session; the caller closes it.
    """
    return _open(aiohttp.TCPConnector(limit=0, keepalive_timeout=idle_seconds))


def open_unpooled() -> aiohttp.ClientSession:
    """Open a session with a new connection per request; must be called inside a running event loop.

    Returns:
        The session; the caller closes it.
    """
    return _open(aiohttp.TCPConnector(limit=0, force_close=True))


def _open(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    """Open a session that leaves headers and bodies unchanged and stores no cookies."""
    return aiohttp.ClientSession(
        connector=connector,
        read_bufsize=READ_BUFFER_BYTES,
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
