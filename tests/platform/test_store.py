"""Tests of the store client against the stand-in store: each call and each fault."""

from __future__ import annotations

import asyncio
import json
import struct

import cbor2
import pytest
import result

from dragonflycove.fleet import catalog
from dragonflycove.platform import crash_records, members, store
from dragonflycove.standins.platform import store as platform_store
from tests.fleet import test_roster
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio


class StoreAndClient:
    """A stand-in store that listens on one address, and a client of it."""

    def __init__(self) -> None:
        self.store = platform_store.PlatformStore()
        self.address = deployment.loopback()
        self.client = store.StoreClient(self.address)

    async def __aenter__(self) -> StoreAndClient:
        self.faults = await self.store.open_listener(self.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        self.store.close()


async def test_read_returns_the_records_from_an_offset() -> None:
    async with StoreAndClient() as fixture:
        for value in (1, 2, None):
            fixture.store.put("keyed.op", "config", value)
        batch = (await fixture.client.read("keyed.op", 1)).unwrap()
    assert [record.value for record in batch.records] == [b"2", None]
    assert [record.offset for record in batch.records] == [1, 2]
    assert (batch.end, batch.next_offset) == (3, 3)


async def test_read_newest_collects_all_pages_and_omits_deleted_keys(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(platform_store, "PAGE_ENTRIES", 3)
    async with StoreAndClient() as fixture:
        for number in range(8):
            fixture.store.put("keyed.servers", f"s{number}", number)
        fixture.store.put("keyed.servers", "s3", None)
        listing = (await fixture.client.read_newest("keyed.servers")).unwrap()
    assert [record.key for record in listing.records] == ["s0", "s1", "s2", "s4", "s5", "s6", "s7"]
    assert listing.end == 9


async def test_reading_deleted_records_fails_as_expired() -> None:
    async with StoreAndClient() as fixture:
        fixture.store.put("keyed.op", "config", 1)
        fixture.store.compact_topic("keyed.op")
        response = await fixture.client.read("keyed.op", 0)
    assert response.unwrap_err() is store.Failure.EXPIRED


@pytest.mark.parametrize("status", [429, 503, 500])
async def test_an_error_status_is_a_refusal_and_the_next_call_succeeds(status: int) -> None:
    async with StoreAndClient() as fixture:
        fixture.faults.refusal_status = status
        response = await fixture.client.read("keyed.op", 0)
        fixture.faults.refusal_status = 0
        retried = await fixture.client.read("keyed.op", 0)
    assert response.unwrap_err() is store.Failure.REFUSED
    assert isinstance(retried, result.Ok)


async def test_a_call_without_a_response_times_out_and_the_next_call_succeeds() -> None:
    async with StoreAndClient() as fixture:
        fixture.faults.is_unresponsive = True
        response = await fixture.client.read("keyed.op", 0)
        fixture.faults.is_unresponsive = False
        retried = await fixture.client.read("keyed.op", 0)
    assert response.unwrap_err() is store.Failure.TIMEOUT
    assert isinstance(retried, result.Ok)


async def test_a_store_that_does_not_listen_is_unreachable() -> None:
    client = store.StoreClient(deployment.loopback())
    response = await client.read("keyed.op", 0)
    assert response.unwrap_err() is store.Failure.UNREACHABLE


async def test_an_append_whose_response_is_lost_is_not_a_success() -> None:
    async with StoreAndClient() as fixture:
        fixture.faults.drops_append_responses = True
        response = await fixture.client.append("keyed.members", "n1", b"x")
    assert isinstance(response, result.Err)
    assert len(fixture.store.records_by_topic["keyed.members"]) == 1


async def test_appending_to_an_operators_topic_is_refused() -> None:
    async with StoreAndClient() as fixture:
        response = await fixture.client.append("keyed.op", "config", b"x")
    assert response.unwrap_err() is store.Failure.REFUSED


async def test_member_list_skips_undecodable_records_and_withdrawn_nodes() -> None:
    async with StoreAndClient() as fixture:
        listed = members.MemberList(fixture.address)
        own = test_roster.member(3)
        await listed.announce(own)
        fixture.store.append("keyed.members", platform_store.Record("odd", b"\xff\xff"))
        assert (await listed.read()).unwrap() == [own]
        await listed.withdraw(own.host)
        assert (await listed.read()).unwrap() == []


async def test_parse_address_rejects_text_without_ip_or_port() -> None:
    assert catalog.parse_address("1.2.3.4:5") == catalog.Address("1.2.3.4", 5)
    for text in ("1.2.3.4", ":5", "a:b"):
        with pytest.raises(ValueError, match=r".+"):
            catalog.parse_address(text)


@pytest.mark.parametrize(
    "instance",
    [
        catalog.Instance("s" * 223, 1_796_669_209_489),
        catalog.Instance("s" * 255, 1_796_669_209_489),
        catalog.Instance("\u3042" * 85, 1),
        catalog.Instance("a/b/c", 10**400),
    ],
    ids=["id_and_start", "longest_id", "utf_8", "long_start"],
)
async def test_a_crash_of_a_server_with_a_long_name_is_saved(instance: catalog.Instance) -> None:
    """Its key was longer than the store's, which ended the task that saves all crashes."""
    saved = [
        crash_records.SavedCrash(7, instance, 1e9),
        crash_records.SavedCrash(8, instance, 2e9),
        crash_records.SavedCrash(7, catalog.Instance("s1", 1), 1e9),
    ]
    async with StoreAndClient() as fixture:
        recorded = crash_records.CrashRecords(fixture.address)
        assert isinstance(await recorded.save(saved), result.Ok)
        assert sorted((await recorded.read()).unwrap()) == sorted(saved)
        await recorded.delete(saved[:1])
        assert sorted((await recorded.read()).unwrap()) == sorted(saved[1:])


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xff",
        b"\x81" * 10_000 + b"\x00",
        cbor2.dumps(10**400),
        cbor2.dumps(float("inf")),
        cbor2.dumps(float("nan")),
        cbor2.dumps([1.0]),
        b"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
    ],
    ids=["deletion", "no_cbor", "deep", "large", "infinite", "nan", "list", "long"],
)
async def test_an_odd_crash_record_does_not_hide_the_others(value: bytes) -> None:
    """Loading failed for good with one number too large, and so did the counting of crashes."""
    saved = crash_records.SavedCrash(7, catalog.Instance("s1", 1), 1e9)
    async with StoreAndClient() as fixture:
        recorded = crash_records.CrashRecords(fixture.address)
        await recorded.save([saved])
        for key in ("00000000000000ff/1/s2", "00000000000000ff/x/s2", "zz/1/s2", "0f", "0f/a", ""):
            fixture.store.append(crash_records.TOPIC, platform_store.Record(key, value))
        assert (await recorded.read()).unwrap() == [saved]


@pytest.mark.parametrize(
    "body",
    [
        b'{"entries": [{"key": "a", "value": "", "offset": 1e999}], "end": 1}',
        b'{"entries": [], "end": 1e999}',
        b'{"entries": [], "end": NaN}',
        b'{"entries": ["a"], "end": 1}',
        b'{"entries": 5, "end": 1}',
        b'{"entries": [{"key": "a", "value": 5, "offset": 1}], "end": 1}',
        b'{"entries": ' + b"[" * 100_000,
        b"[" * 100_000,
        b"[]",
        b"5",
        b"\xff",
    ],
)
async def test_a_listing_that_can_not_be_read_is_a_failure(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def exchange(*_: object) -> result.Result[bytes, store.Failure]:
        return result.Ok(body)

    client = store.StoreClient(deployment.loopback())
    monkeypatch.setattr(client, "_exchange", exchange)
    assert (await client.read_newest("keyed.op")).unwrap_err() is store.Failure.MALFORMED
    assert (await client.append("keyed.op", "k", b"")).unwrap_err() is store.Failure.MALFORMED


async def test_a_response_beyond_the_limit_is_not_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """A store in trouble sent bytes without end, and the node kept them until the call timed out."""
    monkeypatch.setattr(store, "MAX_RESPONSE_BYTES", 10_000)
    async with StoreAndClient() as fixture:
        for number in range(20):
            fixture.store.put("keyed.servers", f"s{number}", "x" * 1_000)
        read = await fixture.client.read("keyed.servers", 0)
        listed = await fixture.client.read_newest("keyed.servers")
        rest = await fixture.client.read("keyed.servers", 15)
    assert read.unwrap_err() is store.Failure.TOO_LONG
    assert listed.unwrap_err() is store.Failure.TOO_LONG
    assert len(rest.unwrap().records) == 5


@pytest.mark.parametrize("page_records", [0, 500])
async def test_a_listing_without_a_last_page_ends(
    page_records: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store, "MAX_LISTING_BYTES", 1_000_000)
    pages = 0

    async def exchange(*_: object) -> result.Result[bytes, store.Failure]:
        nonlocal pages
        pages += 1
        await asyncio.sleep(0)
        entries = [{"key": f"{pages}/{n}", "value": "", "offset": n} for n in range(page_records)]
        page = {"entries": entries, "has_more": True, "end": 1}
        return result.Ok(json.dumps(page).encode())

    client = store.StoreClient(deployment.loopback())
    monkeypatch.setattr(client, "_exchange", exchange)
    async with asyncio.timeout(5.0):
        failure = (await client.read_newest("keyed.op")).unwrap_err()
    assert failure is (store.Failure.TOO_LONG if page_records else store.Failure.MALFORMED)


READ_BODY = struct.pack(">QQ", 7, 5) + b"".join(
    struct.pack(">I", 5) + b"\x02k%d" % number + b"vv" for number in (5, 6)
)
"""Response to a read of two records."""

LISTING_BODY = json.dumps(
    {
        "entries": [{"key": f"k{n}", "value": "dnY=", "offset": n} for n in (5, 6)],
        "has_more": False,
        "end": 7,
    }
).encode()
"""Response to a listing of two records."""


def _framed(body: bytes, framing: str) -> bytes:
    if framing == "length":
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    if framing == "chunked":
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


@pytest.mark.parametrize("framing", ["length", "chunked", "unframed"])
async def test_a_response_that_is_cut_anywhere_deletes_nothing(framing: str) -> None:
    """A listing without its end would look like deletions, and a read like fewer records."""
    response = b""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    address = deployment.loopback()
    server = await asyncio.start_server(serve, address.ip, address.port)
    async with server:
        client = store.StoreClient(address)
        listing, batch = _framed(LISTING_BODY, framing), _framed(READ_BODY, framing)
        for size in range(len(listing)):
            response = listing[:size]
            assert (await client.read_newest("keyed.servers")).is_err(), response
        for size in range(len(batch)):
            response = batch[:size]
            read = await client.read("keyed.servers", 5)
            if framing != "unframed":
                assert read.is_err(), response
            elif read.is_ok():
                cut = read.unwrap()
                assert (cut.end, cut.next_offset) == (7, 5 + len(cut.records))
                assert len(cut.records) < 2
        response = listing
        assert len((await client.read_newest("keyed.servers")).unwrap().records) == 2
        client.close()
        response = batch
        assert len((await client.read("keyed.servers", 5)).unwrap().records) == 2
        client.close()
