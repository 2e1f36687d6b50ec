"""A node that knows no configuration yet doesn't deny requests by limits that nobody stated."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from dragonflycove.gateway import daemon
from tests import ports
from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.asyncio

RESPONSE_TIMEOUT_SECONDS = 10.0
"""Timeout of a response; no test waits as long."""

BODY_BYTES = 5_000_000
"""Size of a body above the default limit."""

HEAD_BYTES = 40_000
"""Size of a head above the default limit."""


@contextlib.asynccontextmanager
async def _connected() -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect to a node without a store."""
    own = deployment.settings("n9", deployment.loopback(), ip=f"127.{deployment.NODE_BLOCK}.9.9")
    node = daemon.Daemon(own, "/nonexistent", metrics_port=ports.free_port())
    await node.start()
    try:
        assert own.caller_address is not None
        reader, writer = await asyncio.open_connection(
            own.caller_address.ip, own.caller_address.port
        )
        yield reader, writer
        writer.close()
    finally:
        node.close()


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_a_long_body_before_the_first_configuration_is_not_denied(is_chunked: bool) -> None:
    async with _connected() as (reader, writer), asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
        framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: 5000000"
        head = b"POST /ask/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n" + framing
        body = b"x" * BODY_BYTES
        if is_chunked:
            body = b"%x\r\n" % BODY_BYTES + body + b"\r\n0\r\n\r\n"
        writer.write(head + b"\r\n\r\n" + body)
        response = await reader.read(65_536)
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after:" in response.lower()


async def test_a_long_head_before_the_first_configuration_is_not_denied() -> None:
    async with _connected() as (reader, writer), asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
        writer.write(b"GET /look/x HTTP/1.1\r\nHost: h.example\r\nX-Long: " + b"x" * HEAD_BYTES)
        response = await reader.read(65_536)
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after:" in response.lower()
