"""Entries of other writers among those of the servers: nodes go on reading and serving."""

from __future__ import annotations

import asyncio
import itertools
import json
from typing import TYPE_CHECKING

import cbor2
import loguru
import pytest

from dragonflycove.standins.platform import store as platform_store
from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import Iterator

pytestmark = pytest.mark.asyncio

APPLY_SECONDS = 2.0
"""Time in which a new server must be in use (`drain_ms`)."""

ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1,
}
"""Entry of a server at an address where none listens."""

NUMBERS = (0, -1, 0.5, 1e15, 1e300, 10**400, -(10**400), "1e999", "NaN", "-Infinity", True, "8", [])
"""Values of numeric fields; texts stand in the JSON without quotes."""

ODD_KEYS = ("", "a\nb", "a\0b", " ", "k" * 255, "p1", "e1", "\u0301", "/", "=?&")
"""Keys of the first entries; two are those of running servers, which write theirs again."""

ADDRESSES = (
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999999",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:",
    "127.0.0.1",
    "127.0.0.1:1_0",
    "[::1]:80",
    "::1:80",
    "fe80::1%lo:80",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "224.0.0.1:80",
    "localhost:80",
    "",
    ["127.0.0.1", 80],
)


def _encode(**changes: object) -> bytes:
    return json.dumps(ENTRY | changes).encode()


def _with_raw(field: str, value: object) -> bytes:
    text = value if isinstance(value, str) else json.dumps(value)
    return json.dumps(ENTRY | {field: "@"}).replace('"@"', text).encode()


def _odd_values() -> dict[str, bytes]:
    """Return odd entries by a name."""
    deep = b"[" * 100_000
    values = {
        "open_brackets": deep,
        "deep_list": deep + b"]" * 100_000,
        "deep_object": b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
        "deep_field": _with_raw("version", "[" * 900 + "]" * 900),
        "deep_address": _with_raw("address", "[" * 50_000 + "]" * 50_000),
        "no_json": b"\xff\xfe\x00",
        "byte_order_mark": b"\xef\xbb\xbf" + _encode(),
        "utf16": json.dumps(ENTRY).encode("utf-16"),
        "scalar": b"5",
        "long_digits": b"1" * 10_000,
        "repeated_fields": b'{"slots": 8, ' + _encode()[1:-1] + b', "slots": 0}',
        "surrogate": _encode(zone="\ud800"),
        "nul": _encode(service="pl\0ain"),
        "long_text": _encode(version="v" * 200_000),
    }
    for field in ("slots", "cold_remaining_ms", "born", "sequence"):
        for number in NUMBERS:
            values[f"{field}={str(number)[:12]}"] = _with_raw(field, number)
    for address in ADDRESSES:
        values[f"address={str(address)[:24]}"] = _encode(address=address)
    return values


@pytest.fixture(name="exceptions")
def _exceptions() -> Iterator[list[str]]:
    """Collect the log lines with exceptions of all nodes."""
    lines: list[str] = []
    sink = loguru.logger.add(lines.append, level="DEBUG", format="{message}\n{exception}")
    yield lines
    loguru.logger.remove(sink)


async def _check_service(system: deployment.Deployment, attempt: str) -> None:
    for path, method in (("/look/x", b"GET"), ("/post/x", b"POST"), ("/ask/x", b"POST")):
        response = await system.call(path, method=method, attempt=f"{attempt}{path[1]}")
        assert (response.status, response.is_complete) == (200, True), (attempt, path)


def _names(system: deployment.Deployment) -> set[str]:
    view = system.nodes[0]._store_view  # noqa: SLF001
    now = asyncio.get_running_loop().time()
    return {
        one.instance.server_id
        for service in ("plain", "svc")
        for one in view.usable_servers(service, now)
    }


def _tracebacks(lines: list[str]) -> list[str]:
    return [line for line in lines if "Traceback" in line or "cause=exception" in line]


@pytest.mark.parametrize("service", ["plain", "svc"])
async def test_an_odd_entry_ends_no_task_and_the_next_good_entry_is_used(
    service: str, exceptions: list[str]
) -> None:
    """One entry that can't be read ended the process that followed the list, or its reading."""
    async with deployment.deployed() as system:
        system.beat()
        for number, (name, value) in enumerate(_odd_values().items()):
            text = value.replace(b'"service": "plain"', b'"service": "%s"' % service.encode())
            key = ODD_KEYS[number] if number < len(ODD_KEYS) else f"odd{number}"
            record = platform_store.Record(key, text)
            system.store.append("keyed.servers", record)
            if number % 10 == 0:
                await asyncio.sleep(0.5)
                await _check_service(system, name)
                assert _tracebacks(exceptions) == [], name
        await system.add_server("good", service)
        async with asyncio.timeout(APPLY_SECONDS):
            for pause in itertools.repeat(0.02):
                if "good" in _names(system):
                    break
                await asyncio.sleep(pause)
        for number in range(20):
            await _check_service(system, f"end{number}")
        await system.restart_node(0)
        await _check_service(system, "restarted")
    assert _tracebacks(exceptions) == []


MEMBER = ["odd", 1, "z1", "r1", ["127.0.0.1", 9], ["127.0.0.1", 9], 1.0]
"""Record of a node; host, start, zone, region, addresses and cores by position."""


@pytest.mark.parametrize(
    "changes",
    [
        {4: ["127.0.0.1", 70_000]},
        {4: ["127.0.0.1", -1]},
        {4: ["127.0.0.1", 0]},
        {4: ["nowhere", 9]},
        {4: ["", 9]},
        {4: ["::1", 9]},
        {4: ["255.255.255.255", 9]},
        {5: ["127.0.0.1", 70_000]},
        {5: ["no\r\nwhere", 9]},
        {1: 10**30},
        {1: -1},
        {6: float("nan")},
        {6: float("inf")},
        {6: -1.0},
        {0: ""},
        {0: "\0"},
        {0: "x" * 10_000},
        {2: "nowhere"},
    ],
)
async def test_an_odd_entry_among_the_nodes_ends_no_task(
    changes: dict[int, object], exceptions: list[str]
) -> None:
    """The same for the list by which nodes find each other."""
    member = [changes.get(index, value) for index, value in enumerate(MEMBER)]
    async with deployment.deployed() as system:
        system.store.append("keyed.members", platform_store.Record("odd", cbor2.dumps(member)))
        await system.add_node()
        await asyncio.sleep(0.7)
        for node in range(2):
            response = await system.call("/look/x", method=b"GET", node=node, attempt=f"a{node}")
            assert response.status == 200
            assert await system.readiness(node) == 200
            assert await system.directory(node)
    assert _tracebacks(exceptions) == []
