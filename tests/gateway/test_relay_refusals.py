"""Refusals that a node's relay listener writes without stating that they are its own."""

from __future__ import annotations

import asyncio

import pytest

from dragonflycove.fleet import catalog
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio

UNREACHED_SECONDS = 0.6
"""Time after which a node knows that it reaches no server."""

PATHS = ("/look/x", "/post/x", "/ask/x")

STATUSES = (400, 408, 413, 431)
"""Statuses of responses to requests that are malformed, late or too long."""


async def _call_beside(system: deployment.Deployment, path: str) -> deployment.CallerResult:
    """Call a node that reaches no server; return the response."""
    system.cut_from_servers(0, deployment.CutMode.RESET)
    for warming in ("/ask/w", "/look/w"):
        await system.call(warming, attempt=f"w{warming}")
    await asyncio.sleep(UNREACHED_SECONDS)
    return await system.call(path, body=b"longer than a byte")


async def _refuse_all(system: deployment.Deployment, number: int, status: int) -> asyncio.Server:
    """Let a node refuse all relayed requests as its listener does below its handler."""
    system.nodes[number]._relays.connections.stop_accepting()  # noqa: SLF001

    async def refuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %d \r\nContent-Length: 0\r\nConnection: close\r\n\r\n" % status)
        await writer.drain()
        writer.close()

    address = system.settings[number].relay_address
    return await asyncio.start_server(refuse, address.ip, address.port)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", PATHS)
async def test_an_unmarked_refusal_of_another_node_is_not_passed_on(path: str, status: int) -> None:
    async with deployment.deployed(2) as system:
        system.beat()
        async with await _refuse_all(system, 1, status):
            response = await _call_beside(system, path)
        runs = system.runs()
    assert response.status in (502, 503, 504)
    assert not runs


@pytest.mark.parametrize("path", PATHS)
async def test_a_refusal_by_another_node_s_limits_is_not_passed_on(path: str) -> None:
    async with deployment.deployed(2) as system:
        system.beat()
        limits = catalog.CallerLimits(max_body_bytes=1)
        system.nodes[1]._relays.connections._limits = lambda: limits  # noqa: SLF001
        response = await _call_beside(system, path)
        runs = system.runs()
    assert response.status in (502, 503, 504)
    assert not runs
