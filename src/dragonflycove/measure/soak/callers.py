"""Callers of a soak: look up nodes, send requests over kept connections, record responses."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

import h11
import result

from dragonflycove.fleet import catalog
from dragonflycove.measure.soak import checks, node_process
from dragonflycove.transport import http1

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

CALLER_DEADLINE_SECONDS = 5.0
"""Deadline that a caller sets for each request."""

LOOKUP_TTL_SECONDS = 1.0
"""Time after which a caller repeats its directory lookup."""

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout of connecting and of directory lookups; all processes are on loopback."""

MEAN_INTERVAL_SECONDS = 0.15
"""Mean of the random time between a response and the caller's next request."""

LONG_PROMPT_SHARE = 0.05
"""Fraction of streams whose prompt is long enough to need KV cache reservations at helpers."""

SLOW_READ_SECONDS = 0.3
"""Pause of a caller that reads slowly before each part of a body."""

SHARED_PART = "common"
"""Id of the part that all prompts begin with."""

_KINDS = ("stream", "stream", "post", "look")


class Caller:
    """A caller that sends one request at a time."""

    def __init__(
        self,
        number: int,
        nodes: Sequence[node_process.Node],
        checker: checks.Checker,
        rng: random.Random,
    ) -> None:
        """Create a caller.

        Args:
            number: Number of the caller, from 0.
            nodes: Nodes whose directory the caller asks for addresses.
            checker: Records requests and responses.
            rng: Seeded random generator.
        """
        self._number = number
        self._nodes = nodes
        self._checker = checker
        self._rng = rng
        self._sent = 0
        self._addresses: list[catalog.Address] = []
        self._looked_up_at = 0.0
        self._connection: http1.Connection | None = None
        self.sent_requests: list[tuple[float, str]] = []
        """Times and ids of the requests sent; times of the monotonic clock."""
        self.cancelling_until = 0.0
        """Time of the monotonic clock until which the caller cancels half of its requests."""
        self.reading_slowly_until = 0.0
        """Time of the monotonic clock until which it pauses before each part that it reads."""

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_INTERVAL_SECONDS))
            await self._look_up()
            sent = self._next_request()
            self._checker.on_sent(sent)
            self.sent_requests.append((time.monotonic(), sent.attempt_id))
            cancels = time.monotonic() < self.cancelling_until and self._rng.random() < 0.5
            try:
                async with asyncio.timeout(0.2 if cancels else CALLER_DEADLINE_SECONDS + 1.0):
                    response = await self._send(sent)
            except TimeoutError:
                self._close_connection()
                continue
            if response is not None:
                self._checker.on_response(sent.attempt_id, response)

    def _next_request(self) -> checks.SentRequest:
        self._sent += 1
        kind = self._rng.choice(_KINDS)
        body = self._rng.randbytes(self._rng.randint(0, 3_000)) if kind != "look" else b""
        name = f"{self._number}-{self._sent}"
        return checks.SentRequest(
            name, kind, f"o{self._number % 3}", f"/{kind}/{self._sent}?a=1", body
        )

    async def _look_up(self) -> None:
        if time.monotonic() - self._looked_up_at < LOOKUP_TTL_SECONDS and self._addresses:
            return
        node = self._rng.choice(list(self._nodes))
        address = catalog.Address(node.ip, node_process.DIRECTORY_PORT)
        opened = await http1.Connection.open(address, CONNECT_TIMEOUT_SECONDS)
        if isinstance(opened, result.Err):
            return
        connection = opened.ok_value
        target = f"/resolve?name=h.example&region=r1&zone={node.zone}".encode()
        connection.send(http1.Request(b"GET", target, ((b"host", b"x"),), b""))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                status, _, body, is_complete = await _read_response(connection)
        except TimeoutError:
            return
        finally:
            connection.close()
        if status == 200 and is_complete:
            listed = json.loads(body)["addresses"]
            self._addresses = [catalog.parse_address(one) for one in listed]
            self._looked_up_at = time.monotonic()

    async def _send(self, sent: checks.SentRequest) -> checks.ReceivedResponse | None:
        if self._connection is None or self._rng.random() < 0.1:
            self._close_connection()
            if not self._addresses:
                return None
            address = self._rng.choice(self._addresses)
            opened = await http1.Connection.open(address, CONNECT_TIMEOUT_SECONDS)
            if isinstance(opened, result.Err):
                self._looked_up_at = 0.0
                return None
            self._connection = opened.ok_value
        headers = [
            (b"host", b"h.example"),
            (b"x-attempt-id", sent.attempt_id.encode()),
            (b"x-deadline-ms", str(int(CALLER_DEADLINE_SECONDS * 1000)).encode()),
            (b"x-api-key", f"k{sent.organisation[1:]}".encode()),
            (b"content-length", str(len(sent.body)).encode()),
        ]
        if sent.kind == "stream":
            tokens = 300_000 if self._rng.random() < LONG_PROMPT_SHARE else 2_000
            headers.append((b"x-token-counts", f"{tokens},200".encode()))
            prefix = f"{SHARED_PART}:40,{sent.organisation}:100,own{sent.attempt_id}:1860"
            headers.append((b"x-prompt-prefix", prefix.encode()))
        method = b"GET" if sent.kind == "look" else b"POST"
        request = http1.Request(method, sent.target.encode(), tuple(headers), sent.body)
        self._connection.send(request)
        pause = SLOW_READ_SECONDS if time.monotonic() < self.reading_slowly_until else 0.0
        status, head, body, is_complete = await _read_response(self._connection, pause)
        is_signed = head is not None and head.get(b"x-server-stamp") is not None
        if not is_complete or not self._connection.prepare_for_reuse():
            self._close_connection()
        return checks.ReceivedResponse(status, body, is_complete, is_signed)

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


async def _read_response(
    connection: http1.Connection, pause_seconds: float = 0.0
) -> tuple[int, http1.Head | None, bytes, bool]:
    """Read a response to its end or to an error, with a pause before each part of its body.

    Returns:
        Status (0 without a head), head, received body, and whether the response is complete.
    """
    try:
        head = await connection.read_head()
        if isinstance(head, result.Err):
            return 0, None, b"", False
        body = b""
        while (chunk := await connection.read_body_chunk()) is not None:
            if isinstance(chunk, result.Err):
                return head.ok_value.status, head.ok_value, body, False
            await asyncio.sleep(pause_seconds)
            body += chunk.ok_value
        return head.ok_value.status, head.ok_value, body, True
    except h11.ProtocolError:
        return 0, None, b"", False
