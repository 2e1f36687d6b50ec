"""Slow callers and slow servers, over loopback: what a node holds for them stays bounded."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
from typing import TYPE_CHECKING, Any, NamedTuple

import pytest
import result

from dragonflycove.fleet import catalog, host_settings, load_parts
from dragonflycove.fleet.memory import byte_account
from dragonflycove.gateway import (
    caller_outputs,
    caller_responses,
    callers,
    held_bytes,
    load_handling,
)
from dragonflycove.transport import http1
from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from dragonflycove.fleet import forwarding

    Serve = Callable[[forwarding.CallerRequest, caller_responses.CallerResponse], Awaitable[None]]

pytestmark = pytest.mark.asyncio

LIMIT_BYTES = 24 * 1_048_576
"""Limit of the account."""

SLOW_CALLERS = 1_000
"""Callers that open a stream and read nothing."""

MAX_GROWTH_BYTES = LIMIT_BYTES + SLOW_CALLERS * 32_768
"""Growth of the process by the account, and by parsers, tasks and one event of each connection."""

BODY_BYTES = 4_000_000
"""Body of a large request."""

EVENT = b"data: " + b"x" * 4_088 + b"\n\n"
"""An event of a stream."""

EVENTS = 192
"""Events of a stream."""

MAX_STREAM_SECONDS = 2.0
"""Time in which a caller that reads gets a stream, also beside slow ones of its organisation; callers
abandon a stream that has paused for as long."""

SERVER_PATIENCE_SECONDS = 1.0
"""Time for which the server leaves a response unread."""

HEADERS = [(b"Content-Type", b"text/event-stream"), (b"Transfer-Encoding", b"chunked")]


class _Node(NamedTuple):
    """A listener with its account."""

    held: held_bytes.HeldBytes
    address: catalog.Address
    served: list[forwarding.CallerRequest]


class _Handler:
    """Serves by a function."""

    def __init__(self, serve: Serve, served: list[forwarding.CallerRequest]) -> None:
        self._serve = serve
        self._served = served

    async def serve(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        self._served.append(request)
        await self._serve(request, response)


@contextlib.asynccontextmanager
async def _listening(serve: Serve, *, has_small_buffers: bool = True) -> AsyncIterator[_Node]:
    held = held_bytes.HeldBytes(byte_account.ByteAccount(LIMIT_BYTES))
    served: list[forwarding.CallerRequest] = []
    limits = catalog.CallerLimits(header_timeout_seconds=1.5)
    listener = callers.CallerListener(
        _Handler(serve, served),
        lambda: limits,
        callers.Accounting(held, lambda headers: dict(headers).get(b"x-api-key", b"").decode()),
    )
    address = deployment.loopback()
    await listener.listen(address)
    assert listener._server is not None  # noqa: SLF001
    for listening in listener._server.sockets:  # noqa: SLF001
        # Else the kernel takes what a test wants to see held.
        if has_small_buffers:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
    try:
        yield _Node(held, address, served)
        await _wait_until(lambda: not listener.has_connections, 5.0)
        assert held.account.held_bytes == 0
    finally:
        listener.stop_accepting()


def _connect(address: catalog.Address, data: bytes) -> socket.socket:
    """Return a connection with small buffers on which a request has been sent."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    caller.connect((address.ip, address.port))
    caller.setblocking(False)
    caller.send(data)
    return caller


def _head(key: str, length: int | None = None, method: str = "POST") -> bytes:
    framing = f"Content-Length: {length}\r\n" if length is not None else ""
    return f"{method} /x HTTP/1.1\r\nHost: h\r\nX-Api-Key: {key}\r\n{framing}\r\n".encode()


async def _receive(caller: socket.socket, seconds: float = 3.0) -> bytes:
    """Return what arrives until the connection ends or rests."""
    data = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        while True:
            async with asyncio.timeout(seconds):
                piece = await asyncio.get_running_loop().sock_recv(caller, 65_536)
            if not piece:
                break
            data += piece
            if data.endswith((b"done", b"0\r\n\r\n")):
                break
    return data


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _fill(account: byte_account.ByteAccount) -> list[int]:
    """Let other connections hold all that large responses may; returns their numbers."""
    granted = []
    for number in range(1_000_000, 1_000_100):
        verdict = account.ask(number, str(number), BODY_BYTES, byte_account.Use.RESPONSE, 0.0)
        if verdict is not byte_account.Verdict.GRANTED:
            account.close(number)
            return granted
        granted.append(number)
    raise AssertionError("no limit")


async def _wait_until(is_true: Callable[[], bool], seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while not is_true():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def _answer(_: forwarding.CallerRequest, response: caller_responses.CallerResponse) -> None:
    await response.write_complete(200, [], b"done")


async def _stream(_: forwarding.CallerRequest, response: caller_responses.CallerResponse) -> None:
    await response.start_stream(200, HEADERS, b"")
    for _number in range(EVENTS):
        # A new object for each, as from a server.
        await response.write_stream(bytes(bytearray(EVENT)))
    await response.end_stream()


async def test_a_thousand_callers_that_read_nothing_take_bounded_memory() -> None:
    async with _listening(_stream) as node:
        before = _resident_bytes()
        slow, peak = [], 0
        for number in range(SLOW_CALLERS):
            slow.append(_connect(node.address, _head(f"k{number % 8}", method="GET")))
            if number % 50 == 0:
                await asyncio.sleep(0)
        for _ in range(30):
            await asyncio.sleep(0.05)
            assert node.held.account.held_bytes <= LIMIT_BYTES
            peak = max(peak, _resident_bytes() - before)
        fast = [_connect(node.address, _head(key, method="GET")) for key in ("k0", "new")]
        started_at = asyncio.get_running_loop().time()
        streams = await asyncio.gather(*map(_receive, fast))
        assert asyncio.get_running_loop().time() - started_at <= MAX_STREAM_SECONDS
        assert all(one.endswith(b"0\r\n\r\n") for one in streams)
        for caller in [*slow, *fast]:
            caller.close()
        await _wait_until(lambda: not node.held.account.held_bytes, 10.0)
    assert peak <= MAX_GROWTH_BYTES


async def test_uploads_that_stop_midway_leave_room_for_others_and_are_freed() -> None:
    async with _listening(_answer) as node:
        before = _resident_bytes()
        loop = asyncio.get_running_loop()
        uploads = [_connect(node.address, _head(f"k{n % 4}", BODY_BYTES)) for n in range(30)]
        half = b"x" * (BODY_BYTES // 2)
        sending = [asyncio.ensure_future(loop.sock_sendall(one, half)) for one in uploads]
        await asyncio.sleep(0.4)
        small = []
        for _number in range(30):
            caller = _connect(node.address, _head("small", 100) + b"y" * 100)
            small.append(await _receive(caller))
            caller.close()
        assert _resident_bytes() - before <= MAX_GROWTH_BYTES
        assert all(one.startswith(b"HTTP/1.1 200") for one in small)
        responses = await asyncio.gather(*(_receive(one) for one in uploads))
        refused = [one for one in responses if b" 503 " in one[:20]]
        assert len(refused) == node.held.refused >= 15
        assert all(b"node_memory" in one and b"retry-after: 1" in one.lower() for one in refused)
        assert all(b" 408 " in one[:20] for one in responses if one not in refused)
        # Refused means not run.
        assert len(node.served) == len(small)
        await _wait_until(lambda: not node.held.account.held_bytes, 1.0)
        for task, upload in zip(sending, uploads, strict=True):
            task.cancel()
            upload.close()
        await asyncio.gather(*sending, return_exceptions=True)


async def test_bodies_with_and_without_a_length_arrive_whole_and_are_freed() -> None:
    async with _listening(_answer) as node:
        loop = asyncio.get_running_loop()
        body = os.urandom(1_000_000)
        chunked = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        for data in (
            _head("k", len(body)) + body,
            chunked + b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n",
        ):
            caller = _connect(node.address, b"")
            await loop.sock_sendall(caller, data)
            assert (await _receive(caller)).startswith(b"HTTP/1.1 200")
            caller.close()
        assert [one.body for one in node.served] == [body, body]
        await _wait_until(lambda: not node.held.account.held_bytes, 0.3)


async def _send_impatiently(writer: asyncio.StreamWriter) -> bool:
    """Send a response and cut it off if it stays unread; returns whether it was read."""
    writer.transport.set_write_buffer_limits(high=0)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (EVENTS * len(EVENT)))
    try:
        for _number in range(EVENTS // 4):
            writer.write(4 * EVENT)
            async with asyncio.timeout(SERVER_PATIENCE_SECONDS):
                await writer.drain()
    except TimeoutError:
        writer.transport.abort()
        return False
    return True


async def _relay(address: catalog.Address, response: caller_responses.CallerResponse) -> None:
    """Pass on a server's response as it arrives."""
    opened = await http1.Connection.open(address, 1.0)
    assert isinstance(opened, result.Ok)
    connection = opened.ok_value
    raw = connection._writer.get_extra_info("socket")  # noqa: SLF001
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    connection.send(http1.Request(b"GET", b"/", ((b"Host", b"h"),), b""))
    assert isinstance(await connection.read_head(), result.Ok)
    await response.start_stream(200, HEADERS, b"")
    while (chunk := await connection.read_body_chunk()) is not None:
        if isinstance(chunk, result.Err):
            response.abort()
            return
        await response.write_stream(chunk.ok_value)
    await response.end_stream()
    connection.close()


async def test_a_paused_callers_response_is_read_before_its_server_cuts_it_off() -> None:
    was_read: list[bool] = []

    async def send_response(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        was_read.append(await _send_impatiently(writer))
        writer.close()

    server_address = deployment.loopback()
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
    listening.bind((server_address.ip, server_address.port))
    server = await asyncio.start_server(send_response, sock=listening)
    async with _listening(lambda _, response: _relay(server_address, response)) as node:
        caller = _connect(node.address, _head("k", method="GET"))
        await _wait_until(lambda: bool(was_read), 5 * SERVER_PATIENCE_SECONDS)
        assert was_read == [True]
        assert node.held.account.held_bytes > 0
        received = await _receive(caller)
        assert received.count(b"data: ") == EVENTS
        assert received.endswith(b"0\r\n\r\n")
        await _wait_until(lambda: not node.held.account.held_bytes, 1.0)
        caller.close()
    server.close()


async def test_a_buffered_response_waits_for_room_until_others_release_it() -> None:
    was_granted: list[bool] = []

    async def buffer(
        request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        assert response.held is not None
        was_granted.append(await response.held.take(BODY_BYTES, byte_account.Use.RESPONSE))
        await _answer(request, response)

    async with _listening(buffer) as node:
        account = node.held.account
        others = _fill(account)
        caller = _connect(node.address, _head("k", method="GET"))
        await asyncio.sleep(5 * held_bytes.TICK_SECONDS)
        assert not was_granted
        for number in others:
            account.close(number)
        assert (await _receive(caller)).startswith(b"HTTP/1.1 200")
        assert was_granted == [True]
        caller.close()


async def test_room_that_is_granted_to_a_cancelled_wait_is_released() -> None:
    async with _listening(_answer) as node:
        account = node.held.account
        _, writer = await asyncio.open_connection(node.address.ip, node.address.port)
        held = node.held.open(writer.transport, lambda _: "k")
        others = _fill(account)
        task = asyncio.ensure_future(held.take(BODY_BYTES, byte_account.Use.RESPONSE))
        await asyncio.sleep(0)
        assert not task.done()
        task.cancel()
        for number in others:
            account.close(number)
        node.held.on_released()
        await asyncio.gather(task, return_exceptions=True)
        assert account.held_bytes == 0
        held.close()
        writer.close()


async def test_what_a_caller_leaves_unread_is_held_in_the_account_not_in_the_kernel() -> None:
    async with _listening(_stream, has_small_buffers=False) as node:
        caller = _connect(node.address, _head("k", method="GET"))
        # All but what the kernel may hold, and one piece that was written when it had room.
        least = EVENTS * len(EVENT) - 2 * caller_outputs.PIECE_BYTES
        await _wait_until(lambda: node.held.account.held_bytes >= least, 2.0)
        caller.close()


async def test_many_releases_at_once_are_followed_by_one_search_for_whom_to_grant(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with _listening(_answer) as node:
        account = node.held.account
        others = _fill(account)
        assert account.ask(1_000_100, "k", BODY_BYTES, byte_account.Use.RESPONSE, 0.0) is (
            byte_account.Verdict.WAIT
        )
        searched_at: list[float] = []

        def search(now: float) -> list[int]:
            searched_at.append(now)
            return []

        monkeypatch.setattr(account, "grant_waiting", search)
        for number in others:
            account.release(number, BODY_BYTES)
            node.held.on_released()
        await asyncio.sleep(0)
        assert len(others) > len(searched_at) == 1
        for number in (*others, 1_000_100):
            account.close(number)


async def test_a_complete_response_arrives_though_its_handler_fails_afterwards() -> None:
    async def fail(
        request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        await _stream(request, response)
        raise KeyError("route")

    async with _listening(fail) as node:
        caller = _connect(node.address, _head("k", method="GET"))
        assert (await _receive(caller)).endswith(b"0\r\n\r\n")
        caller.close()


async def test_a_caller_that_vanishes_frees_its_bytes_at_once() -> None:
    async with _listening(_stream) as node:
        caller = _connect(node.address, _head("k", method="GET"))
        await _wait_until(lambda: node.held.account.held_bytes > len(EVENT), 1.0)
        caller.close()
        await _wait_until(lambda: not node.held.account.held_bytes, 0.3)


async def test_a_caller_that_never_reads_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(byte_account, "MAX_STALL_SECONDS", 0.5)
    async with _listening(_stream) as node:
        caller = _connect(node.address, _head("k", method="GET"))
        await _wait_until(lambda: node.held.account.held_bytes > len(EVENT), 1.0)
        await _wait_until(lambda: not node.held.account.held_bytes, 2.0)
        received = await _receive(caller)
        assert not received.endswith(b"0\r\n\r\n")
        caller.close()


async def test_a_server_that_stops_reading_holds_one_piece_beside_the_body() -> None:
    has_ended = asyncio.Event()

    async def read_nothing(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        transport = reader._transport  # type: ignore[attr-defined] # noqa: SLF001
        transport.pause_reading()
        await has_ended.wait()
        transport.abort()

    address = deployment.loopback()
    server = await asyncio.start_server(read_nothing, address.ip, address.port)
    opened = await http1.Connection.open(address, 1.0)
    assert isinstance(opened, result.Ok)
    connection = opened.ok_value
    # Longer than what the kernel takes for a peer that doesn't read.
    body = b"x" * 16 * BODY_BYTES
    length = str(len(body)).encode()
    connection.send(
        http1.Request(b"POST", b"/", ((b"Host", b"h"), (b"Content-Length", length)), body)
    )
    await asyncio.sleep(0.3)
    transport = connection._writer.transport  # noqa: SLF001
    assert 0 < transport.get_write_buffer_size() <= 2 * http1.WRITE_PIECE_BYTES
    assert not connection.prepare_for_reuse()
    task = connection._write_task  # noqa: SLF001
    connection.close()
    has_ended.set()
    await asyncio.sleep(0.01)
    assert task is not None
    assert task.done()
    server.close()


async def test_requests_of_a_node_that_are_refused_for_bytes_have_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    settings = deployment.settings
    parts = load_parts.LoadParts(byte_account=True)

    def settings_of_small_host(*args: str) -> host_settings.HostSettings:
        own = settings(*args)  # type: ignore[arg-type]
        return own._replace(load_parts=parts, memory_bytes=byte_account.PROCESS_BYTES)

    monkeypatch.setattr(deployment, "settings", settings_of_small_host)
    async with deployment.deployed() as system:
        held = system.nodes[0]._load.held  # noqa: SLF001
        assert held is not None
        limits = {"limits": {"max_body_bytes": BODY_BYTES}}
        system.store.put("keyed.op", "config", deployment.configuration(2, **limits))
        read_limits = system.nodes[0]._caller_limits  # noqa: SLF001
        await _wait_until(lambda: read_limits().max_body_bytes == BODY_BYTES, 3.0)
        attempts = [f"f{number}" for number in range(12)]
        responses = await asyncio.gather(
            *(
                system.call("/post/x", attempt=attempt, body=bytes(BODY_BYTES))
                for attempt in attempts
            ),
            system.call("/ask/x", attempt="small"),
        )
        statuses = [one.status for one in responses]
        assert statuses[-1] == 200
        assert set(statuses) == {200, 503}
        assert held.refused == statuses.count(503)
        for attempt, status in zip(attempts, statuses, strict=False):
            assert len(system.runs(attempt)) == (status == 200)
        await _wait_until(lambda: not held.account.held_bytes, 1.0)


@pytest.mark.parametrize("is_in_use", [False, True])
async def test_responses_are_accounted_for_only_where_the_part_is_in_use(
    *, is_in_use: bool
) -> None:
    settings: host_settings.HostSettings = deployment.settings("n", deployment.loopback())
    parts = load_parts.LoadParts(byte_account=is_in_use)
    nothing: Any = None
    load = load_handling.LoadHandling(
        settings._replace(load_parts=parts), nothing, nothing, nothing, random.Random(1)
    )
    for accounting in (load.caller_accounting(nothing), load.relay_accounting(nothing)):
        assert accounting.node is load.held
        assert accounting.has_responses == is_in_use
    assert load.gauges().keys() >= {
        "dragonflycove_held_bytes",
        "dragonflycove_held_bytes_limit",
        "dragonflycove_bytes_refused",
    }
