"""Connections over which nodes fetch store records from each other."""

from __future__ import annotations

import asyncio
import struct

import pytest

from dragonflycove.fleet import store_view
from dragonflycove.gateway import peer_transfer, store_follower
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio


async def test_a_request_that_announces_megabytes_is_not_read() -> None:
    """Whoever connected could have a node keep 32 MB for each connection."""
    follower = store_follower.StoreFollower(
        deployment.loopback(), store_view.StoreView(), lambda: 1.0
    )
    server = peer_transfer.TransferServer(follower, max_connections=4)
    address = deployment.loopback()
    await server.listen(address)
    try:
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        writer.write(struct.pack(">I", 1_000_000))
        async with asyncio.timeout(peer_transfer.TRANSFER_TIMEOUT_SECONDS / 2):
            assert await reader.read() == b""
        writer.close()
        nothing = peer_transfer.TopicRequest(-1)
        fetched = await peer_transfer.fetch(address, peer_transfer.Request(nothing, nothing))
        assert fetched.unwrap().servers.records == ()
    finally:
        server.close()
