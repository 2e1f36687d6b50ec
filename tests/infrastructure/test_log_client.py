"""Malformed responses of the log, host list and weight store leave the outcome unknown."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from dragonflycove.infrastructure import host_list_client, log_client, weight_store_client
from dragonflycove.transport import exchange, sessions

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import aiohttp
    import result

    Call = Callable[[aiohttp.ClientSession, str], Awaitable[result.Result[Any, Any]]]

CALLS: dict[str, Call] = {
    "append": lambda session, address: log_client.LogClient(session, address).append("s", [{}], 5),
    "read": lambda session, address: log_client.LogClient(session, address).read("s", 0, 9, 0, 5),
    "hosts": lambda session, address: host_list_client.HostListClient(session, address).fetch(5),
    "weights": lambda session, address: weight_store_client.WeightStoreClient(
        session, address
    ).fetch("w", 5),
}
"""Client calls by name."""

BODIES = [
    b"",
    b"<html>",
    b"[]",
    b"{}",
    b'{"first_offset":"0","count":1}',
    b'{"first_retained":0,"next":1,"records":[{"offset":0,"appended_at":1.0,"value":[]}]}',
    b'{"read_at":1.0,"hosts":[{"name":"a","zone":"z","address":"x","peer_address":"y","state":"?"}]}',
    b'{"name":"w","units":null}',
]
"""Bodies of a response with status 200 that are malformed for every call."""


@pytest.mark.asyncio
@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("body", BODIES)
async def test_a_malformed_response_leaves_the_outcome_unknown(name: str, body: bytes) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with listener, sessions.open_unpooled() as session:
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        error = (await CALLS[name](session, address)).err()
    assert isinstance(error, exchange.OutcomeUnknown)
    assert error.cause is exchange.Cause.MALFORMED
