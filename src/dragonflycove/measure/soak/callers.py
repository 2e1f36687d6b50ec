"""Callers of a soak: ask the directory, keep connections, and check what they get."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

import h11
import result

from dragonflycove.fleet import catalog
from dragonflycove.measure.soak import checks, world
from dragonflycove.transport import http1

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

DEADLINE_SECONDS = 5.0
"""Time that a caller waits for an answer."""

LOOKUP_SECONDS = 1.0
"""Time for which a caller keeps the directory's answer."""

CONNECT_SECONDS = 0.5
"""Time to open a connection on loopback to a process that runs."""

PAUSE_SECONDS = 0.15
"""Mean pause between two requests of a caller."""

LONG_PROMPT_CHANCE = 0.05
"""Share of streams whose prompt needs reservations."""

_KINDS = ("stream", "stream", "post", "look")


class Caller:
    """A caller that sends one request after the other."""

    def __init__(
        self, number: int, nodes: Sequence[world.Node], checking: checks.Checks, rng: random.Random
    ) -> None:
        """Create a caller.

        Args:
            number: Its number.
            nodes: Nodes of the deployment, for the directory.
            checking: Checks what it gets.
            rng: Generator, seeded.
        """
        self._number = number
        self._nodes = nodes
        self._checks = checking
        self._rng = rng
        self._sent = 0
        self._addresses: list[catalog.Address] = []
        self._looked_up_at = 0.0
        self._connection: http1.Connection | None = None
        self.attempt_ids: list[tuple[float, str]] = []
        """Requests with the time at which they were sent."""
        self.leaving_until = 0.0
        """Time until which the caller leaves in the middle of its requests."""

    async def run(self) -> None:
        """Send requests for ever."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / PAUSE_SECONDS))
            await self._look_up()
            asked = self._next_request()
            self._checks.on_asked(asked)
            self.attempt_ids.append((time.monotonic(), asked.attempt_id))
            leaves = time.monotonic() < self.leaving_until and self._rng.random() < 0.5
            try:
                async with asyncio.timeout(0.2 if leaves else DEADLINE_SECONDS + 1.0):
                    got = await self._ask(asked)
            except TimeoutError:
                self._drop()
                continue
            if got is not None:
                self._checks.on_got(asked.attempt_id, got)

    def _next_request(self) -> checks.Asked:
        self._sent += 1
        kind = self._rng.choice(_KINDS)
        body = self._rng.randbytes(self._rng.randint(0, 3_000)) if kind != "look" else b""
        name = f"{self._number}-{self._sent}"
        return checks.Asked(name, kind, f"o{self._number % 3}", f"/{kind}/{self._sent}?a=1", body)

    async def _look_up(self) -> None:
        if time.monotonic() - self._looked_up_at < LOOKUP_SECONDS and self._addresses:
            return
        node = self._rng.choice(list(self._nodes))
        address = catalog.Address(node.ip, world.DIRECTORY_PORT)
        opened = await http1.Connection.open(address, CONNECT_SECONDS)
        if isinstance(opened, result.Err):
            return
        connection = opened.ok_value
        target = f"/resolve?name=h.example&region=r1&zone={node.zone}".encode()
        connection.send(http1.Request(b"GET", target, ((b"host", b"x"),), b""))
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                status, _, body, whole = await _read(connection)
        except TimeoutError:
            return
        finally:
            connection.close()
        if status == 200 and whole:
            listed = json.loads(body)["addresses"]
            self._addresses = [catalog.parse_address(one) for one in listed]
            self._looked_up_at = time.monotonic()

    async def _ask(self, asked: checks.Asked) -> checks.Got | None:
        if self._connection is None or self._rng.random() < 0.1:
            self._drop()
            if not self._addresses:
                return None
            address = self._rng.choice(self._addresses)
            opened = await http1.Connection.open(address, CONNECT_SECONDS)
            if isinstance(opened, result.Err):
                self._looked_up_at = 0.0
                return None
            self._connection = opened.ok_value
        headers = [
            (b"host", b"h.example"),
            (b"x-attempt-id", asked.attempt_id.encode()),
            (b"x-deadline-ms", str(int(DEADLINE_SECONDS * 1000)).encode()),
            (b"x-api-key", f"k{asked.organisation[1:]}".encode()),
            (b"content-length", str(len(asked.body)).encode()),
        ]
        if asked.kind == "stream":
            tokens = 300_000 if self._rng.random() < LONG_PROMPT_CHANCE else 2_000
            headers.append((b"x-token-counts", f"{tokens},200".encode()))
        method = b"GET" if asked.kind == "look" else b"POST"
        request = http1.Request(method, asked.target.encode(), tuple(headers), asked.body)
        self._connection.send(request)
        status, head, body, whole = await _read(self._connection)
        signed = head is not None and head.get(b"x-server-stamp") is not None
        if not whole or not self._connection.prepare_for_reuse():
            self._drop()
        return checks.Got(status, body, whole, signed)

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


async def _read(connection: http1.Connection) -> tuple[int, http1.Head | None, bytes, bool]:
    """Read an answer as far as it comes."""
    try:
        head = await connection.read_head()
        if isinstance(head, result.Err):
            return 0, None, b"", False
        body = b""
        while (piece := await connection.read_body_chunk()) is not None:
            if isinstance(piece, result.Err):
                return head.ok_value.status, head.ok_value, body, False
            body += piece.ok_value
        return head.ok_value.status, head.ok_value, body, True
    except h11.ProtocolError:
        return 0, None, b"", False
