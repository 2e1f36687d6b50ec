"""Serves a stand-in's HTTP interface on a real socket."""

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

SHUTDOWN_GRACE_SECONDS = 1
"""Time for open requests to complete after SIGTERM."""

LISTEN_BACKLOG_CONNECTIONS = 1024
"""Maximum number of connections that wait to be accepted."""

KEEP_ALIVE_TIMEOUT_SECONDS = 60
"""Time after which an idle connection is closed."""


class Standin:
    """A stand-in's HTTP interface with its control endpoints for faults and recorded activity."""

    def __init__(
        self,
        routes: list[routing.BaseRoute],
        activity: Callable[[], object],
        switches_type: type[faults.Switches] = faults.Switches,
        apply: Callable[[faults.Switches], None] = lambda _: None,
        run: Callable[[], contextlib.AbstractAsyncContextManager[None]] | None = None,
        down_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Create the interface.

        Args:
            routes: Routes of the stand-in.
            activity: Returns what the stand-in has executed so far, as values for JSON.
            switches_type: Type of the stand-in's fault switches.
            apply: Applies the switches that only this kind of stand-in has.
            run: Context manager for background tasks, open while the stand-in is served.
            down_seconds: Returns the time for which to refuse connections once `went_down` is set.
        """
        self.connections = connections.ConnectionRegistry()
        self._activity = activity
        self._switches_type = switches_type
        self._apply = apply
        self.run = run or contextlib.nullcontext
        self.down_seconds = down_seconds
        self.went_down = asyncio.Event()
        control: list[routing.BaseRoute] = [
            routing.Route("/_standin/faults", self._put_faults, methods=["PUT"]),
            routing.Route("/_standin/books", self._get_activity, methods=["GET"]),
        ]
        app = applications.Starlette(routes=[*control, *routes])
        self.middleware = faults.FaultMiddleware(app, self.connections, down_seconds)

    @property
    def app(self) -> types.ASGIApp:
        """The ASGI application."""
        return self.middleware

    def set_switches(
        self, switches: faults.Switches, client: connections.Client | None = None
    ) -> None:
        """Replace all switches.

        Args:
            switches: The new switches.
            client: Client that sent them; `silence_open_connections` does not affect its connection.
        """
        self.middleware.set(switches, client)
        self._apply(switches)

    async def _put_faults(self, request: requests.Request) -> responses.Response:
        """Replace all switches by those in the body; absent ones are off."""
        try:
            switches = msgspec.json.decode(await request.body(), type=self._switches_type)
        except msgspec.MsgspecError as error:
            return responses.JSONResponse({"error": str(error)}, 400)
        self.set_switches(switches, request.scope["client"])
        return responses.JSONResponse({})

    async def _get_activity(self, _: requests.Request) -> responses.Response:
        """Return what the stand-in has executed so far."""
        return json_response(self._activity())


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to its process and stops without polling."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stop = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture no signals, so that the process's own handlers stay."""
        yield

    async def main_loop(self) -> None:
        """Wait for the stop event; uvicorn's own loop polls."""
        await self._stop.wait()

    def refuse_connections(self) -> None:
        """Stop listening at once; `serve` then ends open requests and returns."""
        for server in getattr(self, "servers", ()):
            server.close()
        self.should_exit = True
        self._stop.set()


class _Listener:
    """Serves a stand-in on one port; refuses connections while the stand-in is down."""

    def __init__(self, standin: Standin, address: str, grace_seconds: int) -> None:
        self._standin = standin
        self._grace_seconds = grace_seconds
        self._host, _, port = address.rpartition(":")
        if int(port):
            # SO_REUSEPORT, as used below, would let a second stand-in take the same port unnoticed.
            socket.create_server((self._host, int(port))).close()
        # Bound but not listening, so that the port stays reserved while connections are refused.
        self._placeholder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._placeholder.bind((self._host, int(port)))
        self._port = self._placeholder.getsockname()[1]
        self._stop = asyncio.Event()

    @property
    def address(self) -> str:
        """Listen address, `a.b.c.d:port`."""
        return f"{self._host}:{self._port}"

    def stop(self) -> None:
        """Make `run` end."""
        self._stop.set()

    async def run(self, ready: asyncio.Event) -> None:
        """Serve until `stop` is called; stop listening while the stand-in is down.

        Args:
            ready: Set once connections are accepted.
        """
        with self._placeholder:
            while not self._stop.is_set():
                server = self._server()
                task = asyncio.create_task(server.serve(sockets=[self._listen()]))
                ready.set()
                await self._wait_until_stopped_or_down()
                server.refuse_connections()
                await task
                await self._wait_until_up()

    async def _wait_until_stopped_or_down(self) -> None:
        """Wait until `stop` is called or the stand-in goes down."""
        waits = [self._stop.wait(), self._standin.went_down.wait()]
        tasks = [asyncio.create_task(wait) for wait in waits]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        self._standin.went_down.clear()

    async def _wait_until_up(self) -> None:
        """Wait until the stand-in is up again or `stop` is called."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._standin.down_seconds()):
                await self._stop.wait()

    def _listen(self) -> socket.socket:
        """Open the listening socket."""
        listener = socket.create_server(
            (self._host, self._port), backlog=LISTEN_BACKLOG_CONNECTIONS, reuse_port=True
        )
        listener.setblocking(False)
        return listener

    def _server(self) -> _Server:
        """Return a new server; one can't be started again after it has stopped."""
        config = uvicorn.Config(
            self._standin.app,
            http=self._standin.connections.protocol(),
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="critical",
            access_log=False,
            date_header=False,
            server_header=False,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_SECONDS,
            timeout_graceful_shutdown=self._grace_seconds,
        )
        return _Server(config)


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> responses.Response:
    """Return a JSON response.

    Args:
        value: Value to encode.
        status: HTTP status.
        headers: Additional headers.

    Returns:
        The response.
    """
    body = msgspec.json.encode(value)
    return responses.Response(body, status, headers, media_type="application/json")


@contextlib.asynccontextmanager
async def serve(
    standin: Standin, address: str = "127.0.0.1:0", grace_seconds: int = 0
) -> AsyncIterator[str]:
    """Serve a stand-in while the context is open.

    Args:
        standin: The stand-in.
        address: Listen address, `a.b.c.d:port`; port 0 selects a free one.
        grace_seconds: Time for open requests to complete when the context closes.

    Yields:
        The listen address, `a.b.c.d:port`.
    """
    listener = _Listener(standin, address, grace_seconds)
    ready = asyncio.Event()
    async with standin.run():
        task = asyncio.create_task(listener.run(ready))
        try:
            await ready.wait()
            yield listener.address
        finally:
            listener.stop()
            await task
