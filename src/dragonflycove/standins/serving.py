"""Runs a stand-in's interface on a real socket."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

import msgspec
import uvicorn
from starlette import applications, requests, responses, routing

from dragonflycove.standins import connections, faults

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from starlette import types

GRACE_SECONDS = 1
"""Time for open requests to end once a stand-in is told to stop."""

LISTEN_BACKLOG = 1024
"""Connections that wait to be accepted."""


class Standin:
    """A stand-in's HTTP interface with its faults and books."""

    def __init__(
        self,
        routes: list[routing.BaseRoute],
        books: Callable[[], object],
        switches_type: type[faults.Switches] = faults.Switches,
        apply: Callable[[faults.Switches], None] = lambda _: None,
        run: Callable[[], contextlib.AbstractAsyncContextManager[None]] | None = None,
        is_down: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create the interface.

        Args:
            routes: Its routes.
            books: Returns what the stand-in has recorded, as what JSON can hold.
            switches_type: Type of its switches.
            apply: Applies the switches that are the stand-in's own.
            run: Context in which it runs, for what it does by itself.
            is_down: Tells whether the connection of every request is to be cut.
        """
        self.connections = connections.Connections()
        self._books = books
        self._switches_type = switches_type
        self._apply = apply
        self.run = run or contextlib.nullcontext
        control: list[routing.BaseRoute] = [
            routing.Route("/_standin/faults", self._put_faults, methods=["PUT"]),
            routing.Route("/_standin/books", self._get_books, methods=["GET"]),
        ]
        app = applications.Starlette(routes=[*control, *routes])
        self.gate = faults.FaultGate(app, self.connections, is_down)

    @property
    def app(self) -> types.ASGIApp:
        """The ASGI application."""
        return self.gate

    def set_switches(
        self, switches: faults.Switches, client: connections.Client | None = None
    ) -> None:
        """Replace all switches.

        Args:
            switches: The new ones.
            client: Other end of the connection that brought them, which is never silenced.
        """
        self.gate.set(switches, client)
        self._apply(switches)

    async def _put_faults(self, request: requests.Request) -> responses.Response:
        """Replace all switches by those in the body."""
        try:
            switches = msgspec.json.decode(await request.body(), type=self._switches_type)
        except msgspec.MsgspecError as error:
            return responses.JSONResponse({"error": str(error)}, 400)
        self.set_switches(switches, request.scope["client"])
        return responses.JSONResponse({})

    async def _get_books(self, _: requests.Request) -> responses.Response:
        """Give what the stand-in has recorded."""
        return json_response(self._books())


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to whoever runs it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> responses.Response:
    """Return a JSON answer.

    Args:
        value: What to encode.
        status: HTTP status.
        headers: Further headers.

    Returns:
        The answer.
    """
    body = msgspec.json.encode(value)
    return responses.Response(body, status, headers, media_type="application/json")


@contextlib.asynccontextmanager
async def serving(
    standin: Standin, address: str = "127.0.0.1:0", grace_seconds: int = 0
) -> AsyncIterator[str]:
    """Serve a stand-in as long as the context lasts.

    Args:
        standin: The stand-in.
        address: Where to listen, `a.b.c.d:port`; port 0 takes a free one.
        grace_seconds: Time for open requests to end when the context ends.

    Yields:
        Where it listens, `a.b.c.d:port`.
    """
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    listener.setblocking(False)
    config = uvicorn.Config(
        standin.app,
        http=standin.connections.protocol(),
        ws="none",
        lifespan="off",
        log_config=None,
        log_level="critical",
        access_log=False,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=grace_seconds,
    )
    server = _Server(config)
    async with standin.run():
        task = asyncio.create_task(server.serve(sockets=[listener]))
        try:
            yield f"{host}:{listener.getsockname()[1]}"
        finally:
            server.should_exit = True
            await task
