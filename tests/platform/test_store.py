"""The store's client against the stand-in, one case for each call and fault."""

from __future__ import annotations

import pytest
import result

from dragonflycove.fleet import catalog
from dragonflycove.platform import members, store
from dragonflycove.standins.platform import store as platform_store
from tests.fleet import test_roster
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio


class Opened:
    """A store with one door, and a client of it."""

    def __init__(self) -> None:
        self.store = platform_store.PlatformStore()
        self.address = deployment.loopback()
        self.client = store.StoreClient(self.address)

    async def __aenter__(self) -> Opened:
        self.faults = await self.store.open_door(self.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        self.store.close()


async def test_records_are_read_from_an_offset_on() -> None:
    async with Opened() as opened:
        for value in (1, 2, None):
            opened.store.put("keyed.op", "config", value)
        batch = (await opened.client.read("keyed.op", 1)).unwrap()
    assert [record.value for record in batch.records] == [b"2", None]
    assert [record.offset for record in batch.records] == [1, 2]
    assert (batch.end, batch.next_offset) == (3, 3)


async def test_the_newest_of_each_key_come_in_pages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(platform_store, "PAGE_ENTRIES", 3)
    async with Opened() as opened:
        for number in range(8):
            opened.store.put("keyed.servers", f"s{number}", number)
        opened.store.put("keyed.servers", "s3", None)
        listing = (await opened.client.read_newest("keyed.servers")).unwrap()
    assert [record.key for record in listing.records] == ["s0", "s1", "s2", "s4", "s5", "s6", "s7"]
    assert listing.end == 9


async def test_deleted_history_is_told() -> None:
    async with Opened() as opened:
        opened.store.put("keyed.op", "config", 1)
        opened.store.forget_history("keyed.op")
        answer = await opened.client.read("keyed.op", 0)
    assert answer.unwrap_err() is store.Failure.EXPIRED


@pytest.mark.parametrize("status", [429, 503, 500])
async def test_a_refusal_is_told(status: int) -> None:
    async with Opened() as opened:
        opened.faults.refusal_status = status
        answer = await opened.client.read("keyed.op", 0)
        opened.faults.refusal_status = 0
        again = await opened.client.read("keyed.op", 0)
    assert answer.unwrap_err() is store.Failure.REFUSED
    assert isinstance(again, result.Ok)


async def test_silence_ends_the_call_and_its_connection() -> None:
    async with Opened() as opened:
        opened.faults.is_silent = True
        answer = await opened.client.read("keyed.op", 0)
        opened.faults.is_silent = False
        again = await opened.client.read("keyed.op", 0)
    assert answer.unwrap_err() is store.Failure.TIMEOUT
    assert isinstance(again, result.Ok)


async def test_a_store_that_is_not_there_is_told() -> None:
    client = store.StoreClient(deployment.loopback())
    answer = await client.read("keyed.op", 0)
    assert answer.unwrap_err() is store.Failure.UNREACHABLE


async def test_a_lost_answer_is_no_success() -> None:
    async with Opened() as opened:
        opened.faults.loses_answers = True
        answer = await opened.client.append("keyed.members", "n1", b"x")
    assert isinstance(answer, result.Err)
    assert len(opened.store.records_by_topic["keyed.members"]) == 1


async def test_the_operators_topics_may_not_be_written() -> None:
    async with Opened() as opened:
        answer = await opened.client.append("keyed.op", "config", b"x")
    assert answer.unwrap_err() is store.Failure.REFUSED


async def test_nodes_are_listed_and_foreign_records_passed_over() -> None:
    async with Opened() as opened:
        listed = members.MemberList(opened.address)
        own = test_roster.member(3)
        await listed.announce(own)
        opened.store.append("keyed.members", platform_store.Record("odd", b"\xff\xff"))
        assert (await listed.read()).unwrap() == [own]
        await listed.withdraw(own.host)
        assert (await listed.read()).unwrap() == []


async def test_addresses() -> None:
    assert catalog.parse_address("1.2.3.4:5") == catalog.Address("1.2.3.4", 5)
    for text in ("1.2.3.4", ":5", "a:b"):
        with pytest.raises(ValueError, match=r".+"):
            catalog.parse_address(text)
