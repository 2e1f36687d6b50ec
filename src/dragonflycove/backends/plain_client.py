"""Client of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypedDict

import result

from dragonflycove.transport import exchange, sessions

if TYPE_CHECKING:
    import aiohttp


class PlainResponse(NamedTuple):
    """An answer of a plain service, of any status."""

    status: int
    """HTTP status."""

    headers: tuple[tuple[str, str], ...]
    """Headers in the order in which they came."""

    body: bytes
    """The body."""


class NotSent(NamedTuple):
    """No connection could be made, so the call did not run."""

    reason: str
    """One sentence for logs."""


class MayHaveRun(NamedTuple):
    """The call was sent, or part of it, and no whole answer came."""

    reason: str
    """One sentence for logs."""

    timed_out: bool
    """Whether the answer did not come in time; otherwise the connection broke."""


PlainError = NotSent | MayHaveRun
"""Why a call has no answer."""


class PlainLoad(NamedTuple):
    """Load of a plain service."""

    measured_at: float
    """When it was measured, Unix seconds by the service's clock."""

    running: int
    """Calls running then."""


class _WireLoad(TypedDict):
    """Load as a plain service sends it."""

    measured_at: float
    running: int


class PlainClient:
    """Calls plain services; it sends each call at most once."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Create the client inside a running loop.

        Args:
            session: Where reused connections come from; stays the caller's to close.
        """
        self._session = session
        self._fresh_session = sessions.open_unpooled()

    async def close(self) -> None:
        """Close the connections that the client has made itself."""
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
        """Send one call.

        Args:
            address: The plain service, `a.b.c.d:port`.
            method: HTTP method.
            path: Path and query, beginning with `/`.
            headers: Headers to send.
            body: The body; empty for none.
            timeout_seconds: Bound on the whole call.
            fresh_connection: Whether to use a connection that has carried no other call.

        Returns:
            The answer whatever its status, or what is known of the call without one.
        """
        session = self._fresh_session if fresh_connection else self._session
        request = exchange.Request(method, f"http://{address}{path}", body or None, headers)
        answer = await exchange.exchange(session, request, timeout_seconds)
        if isinstance(answer, result.Ok):
            reply = answer.ok_value
            return result.Ok(PlainResponse(reply.status, reply.headers, reply.body))
        error = answer.err_value
        if isinstance(error, exchange.NotExecuted):
            return result.Err(NotSent(error.reason))
        return result.Err(MayHaveRun(error.reason, error.cause is exchange.Cause.TIMEOUT))

    async def load(
        self, address: str, timeout_seconds: float
    ) -> result.Result[PlainLoad, exchange.ExchangeError]:
        """Read the load of a plain service.

        Args:
            address: The plain service, `a.b.c.d:port`.
            timeout_seconds: Bound on the whole call.

        Returns:
            The load, or why there is none.
        """
        request = exchange.Request("GET", f"http://{address}/v1/load")
        answer = await exchange.exchange_json(self._session, request, _WireLoad, timeout_seconds)
        return answer.map(lambda wire: PlainLoad(wire["measured_at"], wire["running"]))
