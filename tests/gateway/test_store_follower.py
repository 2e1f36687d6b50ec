"""One node that reads the store."""

from __future__ import annotations

import asyncio
import json

import pytest
import result

from dragonflycove.fleet import store_view
from dragonflycove.gateway import peer_transfer, store_follower
from dragonflycove.platform import store as store_client
from dragonflycove.standins.platform import store as platform_store
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio

RECORDS_PER_READ = 1_024
"""Maximum number of records in the store's response to a read."""


async def test_a_read_that_returns_a_part_of_the_records_is_not_up_to_date() -> None:
    """Other nodes adopt the time of the last complete read, and read nothing themselves."""
    store = platform_store.PlatformStore()
    address = deployment.loopback()
    await store.open_listener(address)
    follower = store_follower.StoreFollower(address, store_view.StoreView(), lambda: 1.0)
    position = follower.servers
    now = asyncio.get_running_loop().time()
    try:
        await follower._read_once(position, now)  # noqa: SLF001
        for _ in range(RECORDS_PER_READ):
            store.put("keyed.servers", "s1", {})
        store.put("keyed.servers", "s2", {})
        await follower._read_once(position, now + 1.0)  # noqa: SLF001
        assert position.fresh_as_of == now
        await follower._read_once(position, now + 2.0)  # noqa: SLF001
        assert position.fresh_as_of == now + 2.0
    finally:
        store.close()


async def test_records_that_are_too_long_for_one_response_are_listed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_client, "MAX_RESPONSE_BYTES", 10_000)
    store = platform_store.PlatformStore()
    address = deployment.loopback()
    await store.open_listener(address)
    follower = store_follower.StoreFollower(address, store_view.StoreView(), lambda: 1.0)
    position = follower.servers
    now = asyncio.get_running_loop().time()
    try:
        await follower._read_once(position, now)  # noqa: SLF001
        for number in range(20):
            store.put("keyed.servers", "s1", {"x": f"{number}" * 1_000})
        assert await follower._read_once(position, now + 1.0)  # noqa: SLF001
    finally:
        store.close()
    assert position.next_offset == 20
    assert position.fresh_as_of == now + 1.0


class SlowClient:
    """Stands for the client of the store; its responses arrive when the test lets them."""

    def __init__(self, batch: store_client.Batch) -> None:
        self._batch = batch
        self.is_answered = asyncio.Event()

    async def read(self, *_: object) -> result.Result[store_client.Batch, store_client.Failure]:
        await self.is_answered.wait()
        return result.Ok(self._batch)

    async def read_newest(
        self, _: str
    ) -> result.Result[store_client.Listing, store_client.Failure]:
        return result.Ok(store_client.Listing((), 0))


async def test_a_late_response_does_not_restore_a_server_whose_removal_is_known() -> None:
    """Another node's list of all keys, without the removed one, overtakes a read of the store."""
    entry = {"service": "svc", "address": "127.0.0.1:1", "zone": "z1", "version": "v1"}
    entry |= {"slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1}
    written = store_client.Record("s1", json.dumps(entry).encode(), 0)
    client = SlowClient(store_client.Batch((written,), 3, 1))
    follower = store_follower.StoreFollower(
        deployment.loopback(), store_view.StoreView(), lambda: 1.0
    )
    follower._client_by_topic["keyed.servers"] = client  # type: ignore[assignment] # noqa: SLF001
    position = follower.servers
    now = asyncio.get_running_loop().time()
    await follower._read_once(position, now)  # noqa: SLF001
    late = asyncio.ensure_future(follower._read_once(position, now))  # noqa: SLF001
    await asyncio.sleep(0)
    all_keys = peer_transfer.TopicResponse((), 3, 0.0)
    assert follower.merge(position, peer_transfer.TopicRequest(-1), all_keys, 2, now)
    client.is_answered.set()
    assert await late
    assert follower.view.usable_servers("svc", now) == []
    assert position.next_offset == 3


async def test_the_time_that_a_transfer_takes_counts_to_the_age_of_its_records() -> None:
    follower = store_follower.StoreFollower(
        deployment.loopback(), store_view.StoreView(), lambda: 1.0
    )
    position = follower.operators
    requested_at = asyncio.get_running_loop().time()
    await asyncio.sleep(0.3)
    response = peer_transfer.TopicResponse((), 3, 0.5)
    request = peer_transfer.TopicRequest(-1)
    assert follower.merge(position, request, response, 2, requested_at)
    assert position.fresh_as_of <= requested_at - 0.5
