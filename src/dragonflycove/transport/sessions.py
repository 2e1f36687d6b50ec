"""Client sessions and the guard against the HTTP library's own repeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import client_middlewares

READ_BUFFER_BYTES = 262_144
"""Bytes that a session buffers from one connection."""

ADDED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Headers that aiohttp would add to a caller's own."""

IDLE_SECONDS = 2.0
"""Time after which an unused connection is not used again.

When connections go silent, every idle one to the same address is lost. With a call's time-out at
least this long, the first call that finds out is also the last, since the others are too old then.
"""


class SendOnce:
    """Client middleware that keeps aiohttp from sending a request a second time.

    aiohttp sends GET, PUT, DELETE and other idempotent methods again when the connection closes
    without an answer, also on a new connection. Whether to send again is the caller's decision.
    """

    def __init__(self) -> None:
        """Create the guard of one request."""
        self._error: aiohttp.ClientError | OSError | None = None

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: client_middlewares.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request, or raise the first error again at the second call.

        Args:
            request: The request.
            handler: Sends it.

        Returns:
            The response.
        """
        if self._error is not None:
            raise self._error
        try:
            return await handler(request)
        except (aiohttp.ClientError, OSError) as error:
            self._error = error
            raise


def connect_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Return time-outs that bound nothing but the time to get a connection.

    Args:
        seconds: The bound.

    Returns:
        The time-outs.
    """
    return aiohttp.ClientTimeout(total=None, connect=seconds, sock_connect=seconds)


def open_pooled(idle_seconds: float = IDLE_SECONDS) -> aiohttp.ClientSession:
    """Open a session that keeps connections for reuse; call it inside a running loop.

    Args:
        idle_seconds: Time after which an unused connection is not used again.

    Returns:
        The session; the caller closes it.
    """
    return _open(aiohttp.TCPConnector(limit=0, keepalive_timeout=idle_seconds))


def open_unpooled() -> aiohttp.ClientSession:
    """Open a session that makes a connection for each request; call it inside a running loop.

    Returns:
        The session; the caller closes it.
    """
    return _open(aiohttp.TCPConnector(limit=0, force_close=True))


def _open(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    """Open a session that passes headers and bodies through and keeps no cookies."""
    return aiohttp.ClientSession(
        connector=connector,
        read_bufsize=READ_BUFFER_BYTES,
        skip_auto_headers=ADDED_HEADERS,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
