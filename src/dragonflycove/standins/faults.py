"""Fault switches that every stand-in has, applied around its HTTP interface."""

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
"""Paths that the faults leave alone."""


class Switches(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults of any stand-in; a count is how many of the next requests it strikes, -1 for all."""

    match: str = ""
    """Only requests whose `METHOD path` begins with this are struck."""

    outage: bool = False
    """Every request gets 503 and does not run."""

    refuse: int = 0
    """Requests that get 503 and do not run."""

    delay_seconds: float = 0.0
    """How long a request waits before it runs."""

    cut_before: int = 0
    """Requests whose connection is cut and that do not run."""

    cut_after: int = 0
    """Requests that run and whose connection is cut in place of the answer."""

    silent_before: int = 0
    """Requests that do not run and get no answer, on a connection that stays open."""

    silent_after: int = 0
    """Requests that run and get no answer, on a connection that stays open."""

    silence_open_connections: bool = False
    """Connections that are open when the switch is set carry nothing any more."""


class FaultMiddleware:
    """ASGI middleware that strikes requests with the faults that are switched on."""

    def __init__(
        self,
        app: types.ASGIApp,
        registry: connections.ConnectionRegistry,
        down_seconds: Callable[[], float],
    ) -> None:
        """Create the gate with all faults off.

        Args:
            app: The stand-in's interface.
            registry: Its open connections.
            down_seconds: Returns how long every request's connection is to be cut.
        """
        self._app = app
        self._registry = registry
        self._down_seconds = down_seconds
        self.switches = Switches()

    def set(self, switches: Switches, client: connections.Client | None = None) -> None:
        """Replace all switches.

        Args:
            switches: The new ones.
            client: Other end of the connection that brought them, which is never silenced.
        """
        self.switches = switches
        if switches.silence_open_connections:
            self._registry.silence_all(client)

    async def __call__(self, scope: types.Scope, receive: types.Receive, send: types.Send) -> None:
        """Pass a request on, or strike it."""
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
        """Run a request that the switches match."""
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
        """Tell whether the switches are for this request."""
        return f"{scope['method']} {scope['path']}".startswith(self.switches.match)

    def _consume(self, name: str) -> bool:
        """Use up one of a counted fault, and tell whether there was one."""
        count: int = getattr(self.switches, name)
        if count > 0:
            setattr(self.switches, name, count - 1)
        return count != 0

    def _guard(self, client: connections.Client, send: types.Send) -> types.Send:
        """Return a `send` that stops for good once the connection is silent."""

        async def guarded(message: types.Message) -> None:
            if self._registry.is_silenced(client):
                await asyncio.Event().wait()
            await send(message)

        return guarded


async def _discard(message: types.Message) -> None:
    """Take the place of `send` and send nothing."""


async def _wait_for_disconnect(receive: types.Receive) -> None:
    """Wait until the other end has closed the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass
