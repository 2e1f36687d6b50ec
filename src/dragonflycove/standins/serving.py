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

SHUTDOWN_GRACE_SECONDS = 1
"""Time for open requests to end once a stand-in is told to stop."""

LISTEN_BACKLOG_CONNECTIONS = 1024
"""Connections that wait to be accepted."""

KEEP_ALIVE_TIMEOUT_SECONDS = 60
"""Time after which an unused connection is closed."""


class Standin:
    """A stand-in's HTTP interface with its faults and books."""

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
            routes: Its routes.
            books: Returns what the stand-in has recorded, as what JSON can hold.
            switches_type: Type of its switches.
            apply: Applies the switches that are the stand-in's own.
            run: Context in which it runs, for what it does by itself.
            down_seconds: Returns how long it will refuse connections, once `went_down` is set.
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
            switches: The new ones.
            client: Other end of the connection that brought them, which is never silenced.
        """
        self.middleware.set(switches, client)
        self._apply(switches)

    async def _put_faults(self, request: requests.Request) -> responses.Response:
        """Replace all switches by those in the body."""
        try:
            switches = msgspec.json.decode(await request.body(), type=self._switches_type)
        except msgspec.MsgspecError as error:
            return responses.JSONResponse({"error": str(error)}, 400)
        self.set_switches(switches, request.scope["client"])
        return responses.JSONResponse({})

    async def _get_activity(self, _: requests.Request) -> responses.Response:
        """Give what the stand-in has recorded."""
        return json_response(self._activity())


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to whoever runs it, and stops at once."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stop = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield

    async def main_loop(self) -> None:
        """Wait for the stop instead of polling for it."""
        await self._stop.wait()

    def refuse_connections(self) -> None:
        """Stop listening now; the rest of the stop follows."""
        for listening in getattr(self, "servers", ()):
            listening.close()
        self.should_exit = True
        self._stop.set()


class _Listener:
    """Serves a stand-in on one port, and refuses connections while the stand-in is down."""

    def __init__(self, standin: Standin, address: str, grace_seconds: int) -> None:
        self._standin = standin
        self._grace_seconds = grace_seconds
        self._host, _, port = address.rpartition(":")
        if int(port):
            # Port sharing, as used below, would let a second stand-in take the same port unnoticed.
            socket.create_server((self._host, int(port))).close()
        # Bound but not listening: the port stays taken while connections to it are refused.
        self._placeholder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._placeholder.bind((self._host, int(port)))
        self._port = self._placeholder.getsockname()[1]
        self._stop = asyncio.Event()

    @property
    def address(self) -> str:
        """Where it listens, `a.b.c.d:port`."""
        return f"{self._host}:{self._port}"

    def stop(self) -> None:
        """Let `run` end."""
        self._stop.set()

    async def run(self, ready: asyncio.Event) -> None:
        """Serve until told to stop.

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
        """Wait until there is a reason not to serve."""
        reasons = [self._stop.wait(), self._standin.went_down.wait()]
        tasks = [asyncio.create_task(reason) for reason in reasons]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        self._standin.went_down.clear()

    async def _wait_until_up(self) -> None:
        """Wait until the stand-in is up."""
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
        """Return a new server."""
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
