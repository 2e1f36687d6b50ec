"""Crowds of callers that don't behave, against a real node process on a small machine.

They check only that the process lives, its memory and descriptors, and one ordinary request.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import pytest

from tests.processes import crowd

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable, Iterator

    from dragonflycove.fleet import catalog

pytestmark = [pytest.mark.asyncio, pytest.mark.processes]

LIMITS = crowd.Limits()
"""Limits of the small machine."""

FEW_DESCRIPTORS = crowd.Limits(max_fds=400)
"""The same with descriptors for 200 sockets."""

CALLERS = 60
"""Callers of a crowd whose bodies together exceed the machine's memory."""

MANY_CALLERS = 400
"""Callers of a crowd that sends less on each connection, or nothing."""

BODY = b"x" * LIMITS.max_body_bytes
"""A body of the largest legal size."""

OVERSIZE_FACTOR = 10
"""Size of a body far over the limit, as a multiple of it."""

SMALL_CHUNK = b"40\r\n" + b"x" * 64 + b"\r\n"
"""A very small chunk, of 64 bytes."""

SMALLEST_CHUNK = b"1\r\nx\r\n"
"""The smallest chunk."""

CONTROL_PATHS = {"readiness": "/readyz", "directory": "/resolve", "metrics": "/metrics"}
"""A path at each of the control ports, by name."""


def _whole() -> Iterator[bytes | memoryview]:
    yield crowd.head("/post/1", len(BODY))
    yield BODY


def _stopping_short() -> Iterator[bytes | memoryview]:
    yield crowd.head("/post/1", len(BODY))
    yield from crowd.cut(BODY[:-1])


def _large_chunk(size: int) -> Iterator[bytes | memoryview]:
    yield b"%x\r\n" % size
    yield from crowd.cut(memoryview(BODY)[:size])
    yield b"\r\n"


def _large_chunks_stopping_short() -> Iterator[bytes | memoryview]:
    yield crowd.head("/post/1", None)
    for _ in range(4):
        yield from _large_chunk(len(BODY) // 4 - 1)


def _small_chunks_stopping_short() -> Iterator[bytes | memoryview]:
    yield crowd.head("/post/1", None)
    yield from crowd.cut(SMALL_CHUNK * (len(BODY) // 64 - 1))


def _smallest_chunks_stopping_short() -> Iterator[bytes | memoryview]:
    yield crowd.head("/post/1", None)
    yield from crowd.cut(SMALLEST_CHUNK * 20_000)


def _announced_oversize() -> Iterator[bytes | memoryview]:
    yield crowd.head("/post/1", OVERSIZE_FACTOR * len(BODY))
    for _ in range(OVERSIZE_FACTOR):
        yield from crowd.cut(BODY)


def _unannounced_oversize() -> Iterator[bytes | memoryview]:
    yield crowd.head("/post/1", None)
    for _ in range(OVERSIZE_FACTOR):
        yield from _large_chunk(len(BODY))


def _pipelined() -> Iterator[bytes | memoryview]:
    yield crowd.head("/post/1", 0)
    yield from crowd.cut(crowd.head("/post/2", 64) + BODY)


def _half_a_head() -> Iterator[bytes | memoryview]:
    yield crowd.head("/post/1", 64)[:40]


async def _check_crowd(
    folder: pathlib.Path,
    pieces: Callable[[], Iterator[bytes | memoryview]],
    count: int = CALLERS,
    limits: crowd.Limits = LIMITS,
    unanswered: int = 0,
) -> None:
    """Check the bounds, and an ordinary request, while the crowd's connections stay open."""
    async with (
        crowd.running_node(folder, limits, unanswered) as node,
        crowd.Crowd(node.caller_address, count, pieces).sending(node),
    ):
        node.let_server_respond()
        await _check_ordinary_request(node)


async def _check_ordinary_request(node: crowd.NodeProcess) -> None:
    node.check_bounds()
    assert await node.get(node.caller_address, "/look/2") == 200
    node.check_bounds()


async def test_large_bodies_sent_whole_do_not_exhaust_memory(tmp_path: pathlib.Path) -> None:
    await _check_crowd(tmp_path, _whole)


async def test_large_bodies_that_a_server_leaves_unanswered_do_not_exhaust_memory(
    tmp_path: pathlib.Path,
) -> None:
    await _check_crowd(tmp_path, _whole, unanswered=CALLERS)


async def test_large_bodies_that_stop_short_do_not_exhaust_memory(tmp_path: pathlib.Path) -> None:
    await _check_crowd(tmp_path, _stopping_short)


async def test_large_chunks_that_stop_short_do_not_exhaust_memory(tmp_path: pathlib.Path) -> None:
    await _check_crowd(tmp_path, _large_chunks_stopping_short)


async def test_small_chunks_that_stop_short_do_not_exhaust_memory(tmp_path: pathlib.Path) -> None:
    await _check_crowd(tmp_path, _small_chunks_stopping_short)


async def test_chunks_of_one_byte_do_not_keep_others_from_being_served(
    tmp_path: pathlib.Path,
) -> None:
    await _check_crowd(tmp_path, _smallest_chunks_stopping_short)


async def test_announced_oversized_bodies_do_not_exhaust_memory(tmp_path: pathlib.Path) -> None:
    await _check_crowd(tmp_path, _announced_oversize)


async def test_unannounced_oversized_bodies_do_not_exhaust_memory(tmp_path: pathlib.Path) -> None:
    await _check_crowd(tmp_path, _unannounced_oversize)


async def test_pipelined_floods_do_not_exhaust_memory(tmp_path: pathlib.Path) -> None:
    await _check_crowd(tmp_path, _pipelined, MANY_CALLERS, unanswered=MANY_CALLERS)


async def test_idle_connections_do_not_exhaust_descriptors(tmp_path: pathlib.Path) -> None:
    await _check_crowd(tmp_path, lambda: iter(()), MANY_CALLERS, FEW_DESCRIPTORS)


async def test_connections_with_half_a_head_do_not_exhaust_descriptors(
    tmp_path: pathlib.Path,
) -> None:
    await _check_crowd(tmp_path, _half_a_head, MANY_CALLERS, FEW_DESCRIPTORS)


async def test_requests_without_a_response_do_not_exhaust_descriptors(
    tmp_path: pathlib.Path,
) -> None:
    await _check_crowd(
        tmp_path,
        lambda: iter([crowd.head("/post/1", 0)]),
        FEW_DESCRIPTORS.max_fds // 2,
        FEW_DESCRIPTORS,
        unanswered=FEW_DESCRIPTORS.max_fds // 4,
    )


@pytest.mark.parametrize("port", CONTROL_PATHS)
@pytest.mark.parametrize("pieces", [_stopping_short, _large_chunks_stopping_short])
async def test_bodies_sent_to_control_ports_do_not_exhaust_memory(
    tmp_path: pathlib.Path, port: str, pieces: Callable[[], Iterator[bytes | memoryview]]
) -> None:
    async with crowd.running_node(tmp_path, LIMITS) as node:
        address: catalog.Address = getattr(node, f"{port}_address")
        async with crowd.Crowd(address, CALLERS, pieces).sending(node):
            assert await node.get(address, CONTROL_PATHS[port]) == 200
            await _check_ordinary_request(node)


@pytest.mark.parametrize("pieces", [_stopping_short, _large_chunks_stopping_short])
async def test_bodies_sent_to_the_relay_port_do_not_exhaust_memory(
    tmp_path: pathlib.Path, pieces: Callable[[], Iterator[bytes | memoryview]]
) -> None:
    async with (
        crowd.running_node(tmp_path, LIMITS) as node,
        crowd.Crowd(node.relay_address, CALLERS, pieces).sending(node),
    ):
        await _check_ordinary_request(node)


async def test_transfers_that_stop_short_do_not_exhaust_memory(tmp_path: pathlib.Path) -> None:
    async with crowd.running_node(tmp_path, LIMITS) as node:
        frame = (len(BODY) * 4).to_bytes(4, "big") + BODY
        flood = crowd.Crowd(node.transfer_address, CALLERS, lambda: crowd.cut(frame))
        async with flood.sending(node):
            await _check_ordinary_request(node)


async def test_idle_connections_to_all_ports_do_not_exhaust_descriptors(
    tmp_path: pathlib.Path,
) -> None:
    async with crowd.running_node(tmp_path, FEW_DESCRIPTORS) as node:
        addresses = [getattr(node, f"{port}_address") for port in CONTROL_PATHS]
        first, second, third = (
            crowd.Crowd(address, MANY_CALLERS // 3, lambda: iter(())).sending(node)
            for address in addresses
        )
        async with first, second, third:
            node.check_bounds()
            for address, path in zip(addresses, CONTROL_PATHS.values(), strict=True):
                assert await node.get(address, path) == 200
            await _check_ordinary_request(node)


async def test_a_single_body_of_the_largest_size_is_served(tmp_path: pathlib.Path) -> None:
    async with crowd.running_node(tmp_path, LIMITS) as node:
        assert await node.send(_whole()) == 200
        chunks = itertools.chain(
            [crowd.head("/post/1", None)], _large_chunk(len(BODY)), [b"0\r\n\r\n"]
        )
        assert await node.send(chunks) == 200
        chunk_count = len(BODY) // 64
        small_chunks = crowd.cut(SMALL_CHUNK * chunk_count)
        pieces = itertools.chain([crowd.head("/post/1", None)], small_chunks, [b"0\r\n\r\n"])
        assert await node.send(pieces) == 200
        node.check_bounds()
