"""Fault switches common to all stand-ins, and the middleware that applies them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from starlette import responses

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette import types

    from dragonflycove.standins import connections

CONTROL_PREFIX = "/_standin/"
"""Prefix of the control paths, which faults don't affect, except `silence_open_connections`."""


class Switches(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults of any stand-in; the integers are numbers of requests still to fail, -1 for all."""

    match: str = ""
    """Faults apply only to requests whose `METHOD path` starts with this."""

    outage: bool = False
    """Every request gets 503 and is not executed."""

    refuse: int = 0
    """Number of requests that get 503 with a retry-after and are not executed."""

    delay_seconds: float = 0.0
    """Delay of each request before it is executed."""

    cut_before: int = 0
    """Number of requests that are not executed and whose connection is closed at once."""

    cut_after: int = 0
    """Number of requests that are executed and whose connection is closed without a response."""

    silent_before: int = 0
    """Number of requests that are not executed and get no response; the connection stays open."""

    silent_after: int = 0
    """Number of requests that are executed and get no response; the connection stays open."""

    silence_open_connections: bool = False
    """Stop sending on all connections that are open when the switch is set."""


class FaultMiddleware:
    """ASGI middleware that applies the faults that are switched on."""

    def __init__(
        self,
        app: types.ASGIApp,
        registry: connections.ConnectionRegistry,
        down_seconds: Callable[[], float],
    ) -> None:
        """Create the middleware with all faults off.

        Args:
            app: The stand-in's ASGI application.
            registry: The stand-in's open connections.
            down_seconds: Returns for how long the stand-in is down; each request's connection
                is closed at once while that is above 0.
        """
        self._app = app
        self._registry = registry
        self._down_seconds = down_seconds
        self.switches = Switches()

    def set(self, switches: Switches, client: connections.Client | None = None) -> None:
        """Replace all switches.

        Args:
            switches: The new switches.
            client: Client that sent them; `silence_open_connections` does not affect its connection.
        """
        self.switches = switches
        if switches.silence_open_connections:
            self._registry.silence_all(client)

    async def __call__(self, scope: types.Scope, receive: types.Receive, send: types.Send) -> None:
        """Pass a request to the application, or apply a fault to it."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        client: connections.Client = scope["client"]
        if self._registry.is_silenced(client):
            await _wait_for_disconnect(receive)
            return
        guarded = self._guard(client, send)
        if scope["path"].startswith(CONTROL_PREFIX):
            await self._app(scope, receive, guarded)
        elif self._down_seconds() > 0:
            self._registry.reset(client)
            await _wait_for_disconnect(receive)
        elif self._matches(scope):
            await self._apply_faults(scope, receive, guarded)
        else:
            await self._app(scope, receive, guarded)

    async def _apply_faults(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Handle a request that the switches match; at most one counted fault applies."""
        client: connections.Client = scope["client"]
        if self.switches.delay_seconds > 0:
            await asyncio.sleep(self.switches.delay_seconds)
        if self.switches.outage or self._consume("refuse"):
            refusal = responses.JSONResponse({"ran": "not_run"}, 503, {"Retry-After": "1"})
            await refusal(scope, receive, send)
        elif self._consume("cut_before"):
            self._registry.reset(client)
            await _wait_for_disconnect(receive)
        elif self._consume("silent_before"):
            await _wait_for_disconnect(receive)
        elif self._consume("cut_after"):
            await self._app(scope, receive, _discard)
            self._registry.reset(client)
            await _wait_for_disconnect(receive)
        elif self._consume("silent_after"):
            await self._app(scope, receive, _discard)
            await _wait_for_disconnect(receive)
        else:
            await self._app(scope, receive, send)

    def _matches(self, scope: types.Scope) -> bool:
        """Return whether the faults apply to this request."""
        return f"{scope['method']} {scope['path']}".startswith(self.switches.match)

    def _consume(self, name: str) -> bool:
        """Decrement the count of a fault, unless it is 0 or -1; return whether it was not 0."""
        count: int = getattr(self.switches, name)
        if count > 0:
            setattr(self.switches, name, count - 1)
        return count != 0

    def _guard(self, client: connections.Client, send: types.Send) -> types.Send:
        """Return a `send` that blocks forever once sending on the connection is stopped."""

        async def guarded(message: types.Message) -> None:
            if self._registry.is_silenced(client):
                await asyncio.Event().wait()
            await send(message)

        return guarded


async def _discard(message: types.Message) -> None:
    """Replace `send` and discard the message."""


async def _wait_for_disconnect(receive: types.Receive) -> None:
    """Wait until the client has closed the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass
