"""One node that reads the store."""

from __future__ import annotations

import asyncio

import pytest

from dragonflycove.fleet import store_view
from dragonflycove.gateway import store_follower
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
