"""Nodes that stop while callers send requests and read responses."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
from typing import TYPE_CHECKING

import pytest

from dragonflycove.gateway import caller_responses, callers, daemon
from tests import ports
from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import NoReturn

    from dragonflycove.fleet import catalog, forwarding

pytestmark = pytest.mark.asyncio

DRAIN_SECONDS = 0.3
"""Minimum drain time of the nodes in these tests."""

GRACE_SECONDS = 4.0
"""Grace time of the nodes in these tests."""

SMALL_BUFFER_BYTES = 4_096
"""Size of the socket buffers between a node and a caller that reads slowly."""

LARGE_BODY = b"x" * 60_000
"""Response body that fits into the node's own write buffer but not into small socket buffers."""

SLOW_SECONDS = 1.0
"""Time after which a slow caller begins to read."""

READ_TIMEOUT_SECONDS = 6.0
"""Time after which a caller gives up."""

QUICK_COUNT = 64
"""Requests by whose times a node expects further ones to be answered before it ends."""

REQUEST = (
    b"GET /look/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: k1\r\nX-Attempt-Id: a1\r\n"
    b"X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
)
"""A caller's complete request."""


class _LargeResponses:
    """Responds to each request with a large body."""

    async def serve(
        self, _: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        await response.write_complete(200, [], LARGE_BODY)


class _Process:
    """The process of a node; its connections end with it."""

    def __init__(self, node: daemon.Daemon, writers: list[asyncio.StreamWriter]) -> None:
        bounds = node._settings.bounds._replace(grace_seconds=GRACE_SECONDS)  # noqa: SLF001
        node.settings.current = node.settings.current._replace(bounds=bounds)
        self.node = node
        self._writers = writers

    async def stop(self) -> float:
        """Stop the node and end its process; returns the seconds that the stop took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await self.node.stop()
        own = (
            self.node._settings.caller_address,
            self.node._settings.relay_address,
        )  # noqa: SLF001
        for writer in self._writers:
            is_open = writer.get_extra_info("socket").fileno() >= 0
            if is_open and writer.get_extra_info("sockname") in own:
                writer.transport.abort()
        return loop.time() - started_at


@pytest.fixture
def accepted(monkeypatch: pytest.MonkeyPatch) -> list[asyncio.StreamWriter]:
    """Return the list of the connections that are opened, which have small send buffers."""
    monkeypatch.setattr(daemon, "MIN_DRAIN_SECONDS", DRAIN_SECONDS)
    writers: list[asyncio.StreamWriter] = []
    set_options: Callable[[asyncio.StreamWriter], None] = callers.http1.set_socket_options

    def set_options_and_record(writer: asyncio.StreamWriter) -> None:
        set_options(writer)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        writers.append(writer)

    monkeypatch.setattr(callers.http1, "set_socket_options", set_options_and_record)
    return writers


def _connect(address: catalog.Address | None) -> socket.socket:
    """Open a caller's connection with a small receive buffer."""
    assert address is not None
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    raw.connect((address.ip, address.port))
    raw.setblocking(False)
    return raw


async def _read_to_end(raw: socket.socket) -> bytes:
    """Return all bytes that a caller receives until its connection ends in any way."""
    loop = asyncio.get_running_loop()
    received = b""
    try:
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            while data := await loop.sock_recv(raw, 65_536):
                received += data
    except OSError:
        pass
    finally:
        raw.close()
    return received


async def test_a_stop_delivers_a_response_that_its_caller_reads_slowly(
    accepted: list[asyncio.StreamWriter],
) -> None:
    async with deployment.deployed() as system:
        process = _Process(system.nodes[0], accepted)
        process.node._callers._handler = _LargeResponses()  # noqa: SLF001
        caller = _connect(system.settings[0].caller_address)
        caller.send(REQUEST)
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(process.stop())
        await asyncio.sleep(SLOW_SECONDS)
        received = await _read_to_end(caller)
        await stopping
    assert received.count(b"x") == len(LARGE_BODY)


async def test_a_stop_delivers_the_last_response_of_a_connection_that_its_caller_reads_slowly(
    accepted: list[asyncio.StreamWriter],
) -> None:
    async with deployment.deployed() as system:
        process = _Process(system.nodes[0], accepted)
        process.node._callers._handler = _LargeResponses()  # noqa: SLF001
        caller = _connect(system.settings[0].caller_address)
        await asyncio.sleep(0.05)
        stopping = asyncio.ensure_future(process.stop())
        await asyncio.sleep(0.05)
        caller.send(REQUEST)
        await asyncio.sleep(1.5 * callers.LINGER_SECONDS)
        received = await _read_to_end(caller)
        await stopping
    assert received.count(b"x") == len(LARGE_BODY)


async def test_a_request_that_arrives_as_idle_connections_are_closed_gets_a_response(
    accepted: list[asyncio.StreamWriter], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(callers, "MIN_IDLE_SECONDS", 0.0, raising=False)
    async with deployment.deployed() as system:
        caller = _connect(system.settings[0].caller_address)
        await asyncio.sleep(0.1)
        caller.send(REQUEST)
        system.nodes[0]._callers.close_idle()  # noqa: SLF001
        received = await asyncio.get_running_loop().sock_recv(caller, 65_536)
        caller.close()
    assert received.endswith(b"done a1")


async def test_a_request_soon_after_the_last_response_of_a_stop_gets_a_response(
    accepted: list[asyncio.StreamWriter],
) -> None:
    async with deployment.deployed() as system:
        for name in ("e1", "e2"):
            system.server_by_id[name].event_seconds = 0.2
        process = _Process(system.nodes[0], accepted)
        address = system.settings[0].caller_address
        assert address is not None
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        headers = {"Host": "h.example", "X-Api-Key": "k1", "X-Token-Counts": "1000,100"}
        exchange = deployment.exchange_on(reader, writer, b"POST", "/ask/x", headers)
        asking = asyncio.ensure_future(exchange)
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(process.stop())
        stream = await asking
        await asyncio.sleep(0.2)
        response = await deployment.exchange_on(reader, writer, b"GET", "/look/x", headers)
        writer.close()
        await stopping
    assert (stream.is_complete, "connection" in stream.headers) == (True, False)
    assert (response.status, response.is_complete) == (200, True)
    assert response.headers["connection"] == "close"


class _WatchedListener(callers.CallerListener):
    """Calls a function when a stop first sees no active request, and tells of one for a while."""

    on_inactive: Callable[[], None] | None = None
    """The function; None if it has been called."""

    turns_left = 0
    """How often an active request is told of after that."""

    def __getattribute__(self, name: str) -> object:
        value = super().__getattribute__(name)
        if name != "active" or value:
            return value
        if self.on_inactive is not None:
            call, self.on_inactive = self.on_inactive, None
            call()
        elif self.turns_left:
            self.turns_left -= 1
        return 1 if self.turns_left else 0


@pytest.mark.parametrize("turns", range(6))
async def test_a_connection_that_opens_at_the_end_of_a_stop_gets_a_response(
    accepted: list[asyncio.StreamWriter], monkeypatch: pytest.MonkeyPatch, turns: int
) -> None:
    monkeypatch.setattr(daemon, "STOP_POLL_SECONDS", 0.0)
    opened = asyncio.get_running_loop().create_future()
    async with deployment.deployed() as system:
        process = _Process(system.nodes[0], accepted)

        def connect() -> None:
            opened.set_result(_connect(system.settings[0].caller_address))
            opened.result().send(REQUEST)

        listener = process.node._callers  # noqa: SLF001
        listener.__class__ = _WatchedListener
        stopping = asyncio.ensure_future(process.stop())
        await asyncio.sleep(0.01)
        listener.turns_left = turns  # type: ignore[attr-defined]
        listener.on_inactive = connect  # type: ignore[attr-defined]
        received = await _read_to_end(await opened)
        await stopping
    assert received.endswith(b"done a1")


@pytest.mark.parametrize("stall_seconds", [0.0, 0.5])
async def test_requests_that_wait_for_a_server_as_the_grace_time_ends_get_a_response(
    accepted: list[asyncio.StreamWriter], stall_seconds: float
) -> None:
    async with deployment.deployed() as system:
        process = _Process(system.nodes[0], accepted)
        for number in range(QUICK_COUNT):
            await system.call("/post/x", attempt=f"quick{number}")
        for server in system.server_by_id.values():
            server.fall_silent(2 * GRACE_SECONDS)
        stopping = asyncio.ensure_future(process.stop())
        loop = asyncio.get_running_loop()
        # The event loop gets no processor time until after the stop should have ended.
        loop.call_later(GRACE_SECONDS - 0.9, time.sleep, stall_seconds)
        calls = []
        for number in range(6):
            call = system.call("/post/x", attempt=f"a{number}", deadline_ms=9_000)
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(0.35)
        responses = await asyncio.gather(*calls)
        duration = await stopping
    assert [(one.status, one.is_complete) for one in responses] == [(504, True)] * 6
    assert duration < GRACE_SECONDS - daemon.STOP_MARGIN_SECONDS + 0.4


async def _never_place(_: object) -> NoReturn:
    """Let a request wait for a server without end."""
    await asyncio.Event().wait()
    raise AssertionError


@pytest.mark.parametrize("receiving", [0, 1])
async def test_a_request_that_was_not_passed_on_before_the_end_of_a_stop_may_be_repeated(
    accepted: list[asyncio.StreamWriter], receiving: int
) -> None:
    async with deployment.deployed(nodes=2) as system:
        await asyncio.sleep(1.0)  # Both nodes know each other then.
        process = _Process(system.nodes[0], accepted)
        for number in range(3):
            await system.call("/post/x", attempt=f"quick{number}")
        system.cut_from_servers(1, deployment.CutMode.REFUSED)
        placer = process.node._forwarder._attempt_placer  # noqa: SLF001
        placer._request_placer.place = _never_place  # type: ignore[method-assign] # noqa: SLF001
        call = system.call("/post/x", node=receiving, attempt="a1", deadline_ms=9_000)
        calling = asyncio.ensure_future(call)
        await asyncio.sleep(0.3)
        await process.stop()
        response = await calling
        relayed = system.nodes[1]._relay_sender.relayed  # noqa: SLF001
    assert (response.status, response.is_complete) == (503, True)
    assert system.runs("a1") == []
    assert relayed == receiving


async def test_a_request_that_a_stop_leaves_no_time_for_is_refused(
    accepted: list[asyncio.StreamWriter],
) -> None:
    async with deployment.deployed() as system:
        process = _Process(system.nodes[0], accepted)
        for name in ("e1", "e2"):
            system.server_by_id[name].event_seconds = GRACE_SECONDS
        asking = asyncio.ensure_future(system.call("/ask/x", deadline_ms=9_000))
        await system.wait_for_run()
        stopping = asyncio.ensure_future(process.stop())
        await asyncio.sleep(GRACE_SECONDS - 1.4)
        address = system.settings[0].caller_address
        assert address is not None
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        await asyncio.sleep(0.6)
        headers = {"Host": "h.example", "X-Api-Key": "k1", "X-Attempt-Id": "a2"}
        response = await deployment.exchange_on(reader, writer, b"POST", "/post/x", headers)
        writer.close()
        await stopping
        await asking
    assert (response.status, response.is_complete) == (503, True)
    assert response.headers["connection"] == "close"
    assert system.runs("a2") == []


@pytest.mark.parametrize("path", ["/post/x", "/look/x"])
async def test_requests_that_a_stopping_node_serves_for_another_one_all_get_a_response(
    accepted: list[asyncio.StreamWriter], path: str
) -> None:
    async with deployment.deployed(nodes=3) as system:
        await asyncio.sleep(1.0)  # All nodes know each other then.
        process = _Process(system.nodes[1], accepted)
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        stopping: asyncio.Task[float] | None = None
        calls = []
        for number in range(150):
            calls.append(asyncio.ensure_future(system.call(path, attempt=f"a{number}")))
            await asyncio.sleep(0.02)
            if number == 50:
                stopping = asyncio.ensure_future(process.stop())
        responses = await asyncio.gather(*calls)
        assert stopping is not None
        await stopping
        relayed = system.nodes[0]._relay_sender.relayed  # noqa: SLF001
    assert relayed >= 100
    assert [(one.status, one.is_complete) for one in responses] == [(200, True)] * 150


async def test_a_stop_waits_for_a_stream_that_another_node_serves(
    accepted: list[asyncio.StreamWriter],
) -> None:
    async with deployment.deployed(nodes=2) as system:
        await asyncio.sleep(1.0)  # Both nodes know each other then.
        for name in ("e1", "e2"):
            system.server_by_id[name].event_seconds = 0.3
        process = _Process(system.nodes[0], accepted)
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        asking = asyncio.ensure_future(system.call("/ask/x", deadline_ms=9_000))
        await system.wait_for_run()
        await process.stop()
        response = await asking
    assert (response.status, response.is_complete) == (200, True)


async def test_a_stop_goes_on_after_further_signals(
    accepted: list[asyncio.StreamWriter],
) -> None:
    loop = asyncio.get_running_loop()
    async with deployment.deployed() as system:
        for name in ("e1", "e2"):
            system.server_by_id[name].event_seconds = 0.3
        system.nodes[0].close()
        node = daemon.Daemon(system.settings[0], "/nonexistent", metrics_port=ports.free_port())
        running = asyncio.ensure_future(node.run())
        system.nodes[0] = node
        await asyncio.sleep(0.1)
        await system.wait_ready(0)
        asking = asyncio.ensure_future(system.call("/ask/x", deadline_ms=9_000))
        await system.wait_for_run()
        for one in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            os.kill(os.getpid(), one)
            await asyncio.sleep(0.2)
        response = await asking
        status = await running
        for one in (signal.SIGTERM, signal.SIGHUP):
            loop.remove_signal_handler(one)
    assert (response.status, response.is_complete) == (200, True)
    assert status == daemon.EXIT_OK


async def test_a_node_that_is_stopped_as_it_starts_serves_what_its_callers_send(
    accepted: list[asyncio.StreamWriter],
) -> None:
    loop = asyncio.get_running_loop()
    async with deployment.deployed() as system:
        system.nodes[0].close()
        node = daemon.Daemon(system.settings[0], "/nonexistent", metrics_port=ports.free_port())
        system.nodes[0] = node
        running = asyncio.ensure_future(node.run())
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.1)
        response = await system.call("/look/x", method=b"GET")
        status = await running
        for one in (signal.SIGTERM, signal.SIGHUP):
            loop.remove_signal_handler(one)
    assert response.is_complete
    assert response.headers["connection"] == "close"
    assert status == daemon.EXIT_OK
