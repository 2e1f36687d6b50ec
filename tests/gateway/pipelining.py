"""Callers that send requests behind others, drawn by seeds, and the listeners that serve them."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
from typing import TYPE_CHECKING, Any, NamedTuple, cast

import h11

from dragonflycove.fleet import catalog, relaying, roster
from dragonflycove.fleet.memory import byte_account
from dragonflycove.gateway import callers, held_bytes, relay_codec, relay_listener
from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

    from dragonflycove.fleet import forwarding
    from dragonflycove.gateway import caller_responses

    Serve = Callable[[forwarding.CallerRequest, caller_responses.CallerResponse], Awaitable[None]]

TIMEOUT_SECONDS = 10.0
"""Timeout of an answer; none takes as long."""

MAX_WAIT_SECONDS = 0.03
"""Time after which a drawn wait for the other side ends, as that may be waiting as well."""

MAX_BODY_BYTES = 400_000
"""Limit of a body; more than is read of pipelined requests while one is served."""

ACCOUNT_BYTES = 24 * 1_048_576
"""Limit of the account of held bytes."""

RELAYED = b"%s: %s" % relay_codec.encode(
    relaying.RelayedRequest("other", 1, 1, "svc", None, 0.0, has_started=False)
)
"""Header by which another node relays a request."""

LENGTHS = (0, 1, 2, 100, 4_096, 65_535, 65_536, 65_537, 200_000, 262_144, MAX_BODY_BYTES)
"""Lengths of bodies, of which some are drawn as they are."""


class Sent(NamedTuple):
    """A request that a caller sends."""

    attempt_id: str
    method: bytes
    target: bytes
    body: bytes
    data: bytes
    """The request as sent."""

    def answer(self) -> bytes:
        """Return the body of its answer."""
        return b"%s %d" % (self.attempt_id.encode(), len(self.body))


def make_request(
    attempt_id: str, body: bytes = b"", *headers: bytes, sizes: tuple[int, ...] = ()
) -> Sent:
    """Return a request; its body is sent in chunks if there are sizes of them."""
    method, target = (b"POST", b"/report/") if body or sizes else (b"GET", b"/look/")
    target += attempt_id.encode()
    lines = [method + b" " + target + b" HTTP/1.1", b"Host: h", *headers]
    lines.append(b"X-Attempt-Id: " + attempt_id.encode())
    data = body
    if sizes:
        lines.append(b"Transfer-Encoding: chunked")
        data = _chunked(body, sizes)
    elif body:
        lines.append(b"Content-Length: %d" % len(body))
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return Sent(attempt_id, method, target, body, head + data)


def _chunked(body: bytes, sizes: tuple[int, ...]) -> bytes:
    """Return a body in chunks of sizes that repeat."""
    data, start, number = bytearray(), 0, 0
    while start < len(body):
        chunk = body[start : start + sizes[number % len(sizes)]]
        data += b"%x\r\n" % len(chunk) + chunk + b"\r\n"
        start, number = start + len(chunk), number + 1
    return bytes(data) + b"0\r\n\r\n"


def recorded(length: int, first: int = 0) -> bytes:
    """Return a part of a recorded session of HTTP messages."""
    message = (
        b"GET /look/%d HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: recorded-%d\r\n\r\n"
        b"POST /report/%d HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok\r\n0\r\n\r\n"
    )
    count = length // 100 + 2
    session = b"".join(message % (number, number, number) for number in range(count))
    return session[first : first + length]


class Handler:
    """Serves requests by a function, in place of the node or of a relaying node's server."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.served: list[tuple[str, bytes, bytes, bytes]] = []

    async def serve(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        self.served.append((request.attempt_id, request.method, request.target, request.body))
        await self._serve(request, response)

    async def serve_relayed(
        self,
        request: forwarding.CallerRequest,
        _: relaying.RelayedRequest,
        response: caller_responses.CallerResponse,
    ) -> None:
        await self.serve(request, response)


class Node(NamedTuple):
    """A listener, and what it uses."""

    listener: callers.CallerListener
    handler: Handler
    address: catalog.Address


class Kind(enum.Enum):
    """Which listener is used."""

    PLAIN = "plain"
    ACCOUNTED = "accounted"
    """One that accounts for held bytes."""
    RELAY = "relay"
    """The one for requests that other nodes relay; it accounts for held bytes."""


def _relay_listener(
    handler: Handler, limits: catalog.CallerLimits, accounting: callers.Accounting
) -> tuple[callers.CallerListener, catalog.Address]:
    """Return a listener for relayed requests, which knows the relaying node, and its address."""
    address = deployment.loopback()
    nodes = roster.Roster(roster.Member("own", 1, "z1", "r1", address, address, cores=1.0))
    other = nodes.own._replace(host="other")
    now = asyncio.get_running_loop().time()
    nodes.mark_running(other, now, is_ready=True, is_leaving=False)
    settings = deployment.settings("own", address)
    relays = relay_listener.RelayListener(
        settings, nodes, cast("Any", handler), lambda: limits, accounting
    )
    return relays.connections, settings.relay_address


@contextlib.asynccontextmanager
async def listening(serve: Serve, kind: Kind = Kind.PLAIN, **seconds: float) -> AsyncIterator[Node]:
    """Run a listener; further arguments are limits of times."""
    held = held_bytes.HeldBytes(byte_account.ByteAccount(ACCOUNT_BYTES))
    accounting = callers.Accounting(held, lambda _: "k")
    limits = catalog.CallerLimits(max_body_bytes=MAX_BODY_BYTES, **seconds)
    handler = Handler(serve)
    if kind is Kind.RELAY:
        listener, address = _relay_listener(handler, limits, accounting)
    else:
        is_accounted = kind is Kind.ACCOUNTED
        listener = callers.CallerListener(
            handler, lambda: limits, accounting if is_accounted else None
        )
        address = deployment.loopback()
    await listener.listen(address)
    try:
        yield Node(listener, handler, address)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while listener.has_connections:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        assert (listener.active, held.account.held_bytes) == (0, 0)
    finally:
        listener.stop_accepting()


class Caller:
    """A caller's connection, on which several requests may be outstanding."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT)
        self.answers: list[tuple[int, bytes]] = []
        """Statuses and bodies of the answers so far."""
        self.is_last = False
        """Whether the last answer announced the end of the connection."""

    @classmethod
    async def connect(cls, address: catalog.Address) -> Caller:
        """Return an open connection."""
        return cls(*await asyncio.open_connection(address.ip, address.port))

    async def send(self, data: bytes) -> None:
        """Send bytes as far as the peer reads them."""
        self._writer.write(data)
        await self._writer.drain()

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()

    async def read(self) -> tuple[int, bytes]:
        """Return status and body of the next answer."""
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        self._parser.send(h11.Request(method=b"GET", target=b"/", headers=[("Host", "h")]))
        self._parser.send(h11.EndOfMessage())
        status, body = 0, b""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                event = self._parser.next_event()
                if event is h11.NEED_DATA:
                    self._parser.receive_data(await self._reader.read(65_536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                    self.is_last = (b"connection", b"close") in event.headers
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self.answers.append((status, body))
                    return status, body


def answer_of(request: forwarding.CallerRequest) -> bytes:
    return b"%s %d" % (request.attempt_id.encode(), len(request.body))


async def answer(
    request: forwarding.CallerRequest, response: caller_responses.CallerResponse
) -> None:
    await response.write_complete(200, [], answer_of(request))


def as_served(sent: list[Sent]) -> list[tuple[str, bytes, bytes, bytes]]:
    return [(one.attempt_id, one.method, one.target, one.body) for one in sent]


class Sequence:
    """A drawn sequence of requests, packets, pauses and answers."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.sent = [self._draw_request(number) for number in range(self._rng.randint(2, 7))]
        """The requests, in the order in which they are sent."""
        self._sent_packets = 0
        self._answered = 0
        self._served = 0

    def _draw_request(self, number: int) -> Sent:
        rng = self._rng
        length = rng.choice((0, rng.choice(LENGTHS), rng.randrange(600), rng.randrange(40_000)))
        body = recorded(length, rng.randrange(100))
        headers = [RELAYED, b"Expect: 100-continue"] if rng.random() < 0.1 else [RELAYED]
        is_chunked = length < 70_000 and rng.random() < 0.5
        sizes = tuple(rng.choice((100, 1_000, 30_000)) for _ in range(3)) if is_chunked else ()
        return make_request(f"a{number}", body, *headers, sizes=sizes)

    def _packets(self) -> Iterator[tuple[int, bytes]]:
        """Yield packets, and how many answers must have been read before each is sent."""
        rng, packet, needed = self._rng, b"", 0
        for number, one in enumerate(self.sent):
            if rng.random() < 0.3:
                if packet:
                    yield needed, packet
                packet, needed = b"", number
            size = len(one.data)
            near = [rng.randrange(size) for _ in range(rng.randrange(3))]
            early = [rng.randrange(min(size, 300)) for _ in range(rng.randrange(4))]
            start = 0
            for cut in sorted({*near, *early}):
                yield needed, packet + one.data[start:cut]
                packet, start = b"", cut
            packet += one.data[start:]
        yield needed, packet

    async def send(self, caller: Caller) -> None:
        """Send the requests."""
        for needed, packet in self._packets():
            while len(caller.answers) < needed:  # noqa: ASYNC110
                await asyncio.sleep(0)
            await caller.send(packet)
            self._sent_packets += 1
            await self._pause()

    async def serve(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        """Answer a request before, while or after further bytes arrive."""
        self._served += 1
        await self._pause()
        answer = answer_of(request)
        if self._rng.random() < 0.5:
            await response.write_complete(200, [], answer)
        else:
            await response.start_stream(200, [(b"Transfer-Encoding", b"chunked")], answer[:1])
            await self._pause()
            await response.write_stream(answer[1:])
            await response.end_stream()
        self._answered += 1

    async def _pause(self) -> None:
        """Wait for nothing, some turns of the loop, a while, or the other side."""
        kind = self._rng.randrange(6)
        if kind == 1:
            for _ in range(self._rng.randrange(1, 6)):
                await asyncio.sleep(0)
        elif kind == 2:
            await asyncio.sleep(self._rng.uniform(0.001, 0.008))
        elif kind == 3:
            await self._wait_for_change(lambda: self._sent_packets)
        elif kind == 4:
            await self._wait_for_change(lambda: self._answered)
        elif kind == 5:
            await self._wait_for_change(lambda: self._served)

    async def _wait_for_change(self, count: Callable[[], int]) -> None:
        before = count()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                while count() == before:  # noqa: ASYNC110
                    await asyncio.sleep(0)

    async def play(self, address: catalog.Address) -> list[tuple[int, bytes]]:
        """Send the requests on a connection, and return the answers."""
        caller = await Caller.connect(address)
        sending = asyncio.ensure_future(self.send(caller))
        try:
            for _ in self.sent:
                await caller.read()
            await sending
        finally:
            sending.cancel()
            caller.close()
        return caller.answers

    def expected(self) -> list[tuple[int, bytes]]:
        """Return the answers that belong to the requests."""
        return [(200, one.answer()) for one in self.sent]
