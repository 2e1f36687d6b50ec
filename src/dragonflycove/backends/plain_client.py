"""HTTP client of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypedDict

import result

from dragonflycove.transport import exchange, sessions

if TYPE_CHECKING:
    import aiohttp


class PlainResponse(NamedTuple):
    """HTTP response of a plain service, whatever its status."""

    status: int
    """HTTP status code."""

    headers: tuple[tuple[str, str], ...]
    """Headers in the order received."""

    body: bytes
    """Body of the response."""


class NotSent(NamedTuple):
    """No connection could be opened, so the call certainly did not run."""

    reason: str
    """Description for logs."""


class MayHaveRun(NamedTuple):
    """At least part of the call was sent, but no complete response arrived."""

    reason: str
    """Description for logs."""

    timed_out: bool
    """`True` if the response missed the timeout, `False` if the connection was reset or closed."""


PlainError = NotSent | MayHaveRun
"""Error of a call without a response."""


class PlainLoad(NamedTuple):
    """Load of a plain service at one point in time."""

    measured_at: float
    """Time of measurement, Unix seconds by the service's clock."""

    running: int
    """Number of calls running."""


class _WireLoad(TypedDict):
    """JSON object of `PlainLoad`."""

    measured_at: float
    running: int


class PlainClient:
    """Calls plain services; sends each call at most once and never retries."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Create the client; an event loop must be running.

        Args:
            session: Pooled session for calls that may reuse a connection. The client doesn't
                close it.
        """
        self._session = session
        self._fresh_session = sessions.open_unpooled()

    async def close(self) -> None:
        """Close the client's own session, which opens the fresh connections."""
        await self._fresh_session.close()

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout_seconds: float,
        fresh_connection: bool,
    ) -> result.Result[PlainResponse, PlainError]:
        """Send a call once.

        Args:
            address: The plain service, `a.b.c.d:port`.
            method: HTTP method.
            path: Path and query, beginning with `/`.
            headers: Headers to send.
            body: Body to send; empty for none.
            timeout_seconds: Timeout of the whole call.
            fresh_connection: Whether to use a connection that has carried no other call.

        Returns:
            The response whatever its status, or whether the call may have run without one.
        """
        session = self._fresh_session if fresh_connection else self._session
        request = exchange.Request(method, f"http://{address}{path}", body or None, headers)
        exchanged = await exchange.exchange(session, request, timeout_seconds)
        if isinstance(exchanged, result.Ok):
            response = exchanged.ok_value
            return result.Ok(PlainResponse(response.status, response.headers, response.body))
        error = exchanged.err_value
        if isinstance(error, exchange.NotExecuted):
            return result.Err(NotSent(error.reason))
        return result.Err(MayHaveRun(error.reason, error.cause is exchange.Cause.TIMEOUT))

    async def load(
        self, address: str, timeout_seconds: float
    ) -> result.Result[PlainLoad, exchange.ExchangeError]:
        """Fetch the load report of a plain service.

        Args:
            address: The plain service, `a.b.c.d:port`.
            timeout_seconds: Timeout of the whole call.

        Returns:
            The load, or the error.
        """
        request = exchange.Request("GET", f"http://{address}/v1/load")
        exchanged = await exchange.exchange_json(self._session, request, _WireLoad, timeout_seconds)
        return exchanged.map(lambda wire: PlainLoad(wire["measured_at"], wire["running"]))
