"""Servers that say in their responses that they leave, before the store's records do."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

import pytest

from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

pytestmark = pytest.mark.asyncio

NODES = 4
"""Nodes of the fleet."""

DRAIN_SECONDS = 2.0
"""Time after a response that says so from which a server gets no further requests."""

PATHS = ("/ask/fine", "/look/fine", "/post/fine")


@contextlib.asynccontextmanager
async def _fleet(nodes: int = NODES) -> AsyncIterator[deployment.Deployment]:
    async with deployment.deployed(nodes) as system:
        await system.add_server("e3")
        await system.add_server("p3", "plain")
        system.beat()
        yield system


async def _ask(
    system: deployment.Deployment,
    seconds: float,
    nodes: Iterable[int] = range(NODES),
    paths: Iterable[str] = PATHS,
    prefix: str = "q",
) -> list[deployment.CallerResult]:
    """Send 30 requests a second to nodes in turn, without resends; return their responses."""
    calls = []
    turns, kinds = itertools.cycle(nodes), itertools.cycle(paths)
    for number in range(int(seconds * 30)):
        path, attempt = next(kinds), f"{prefix}{number}"
        method = b"GET" if path.startswith("/look/") else b"POST"
        body = b"" if method == b"GET" else attempt.encode()
        call = system.call(path, node=next(turns), attempt=attempt, body=body, method=method)
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(1 / 30)
    return await asyncio.gather(*calls)


def _served(responses: Iterable[deployment.CallerResult]) -> int:
    return sum(one.status == 200 and one.is_complete for one in responses)


async def test_a_server_that_leaves_gets_no_further_requests_and_none_is_lost() -> None:
    async with _fleet() as system:
        await _ask(system, 0.5, prefix="before")
        leaving = [system.server_by_id[one] for one in ("e1", "p1")]
        for server in leaving:
            server.is_leaving = True
        told_at = asyncio.get_running_loop().time()
        responses = await _ask(system, 6.0)
        for server in leaving:
            late = [at for at in server.arrival_times if at > told_at + DRAIN_SECONDS]
            assert [at for at in server.arrival_times if at > told_at]
            assert not late
    assert _served(responses) == len(responses)


async def test_the_other_nodes_hear_from_one_that_a_server_leaves() -> None:
    async with _fleet() as system:
        leaving = [system.server_by_id[one] for one in ("e1", "p1")]
        for server in leaving:
            server.is_leaving = True
        await _ask(system, 2.0, nodes=[0])
        counts = [len(server.arrivals_by_sender) for server in leaving]
        await _ask(system, 3.0, nodes=range(1, NODES), prefix="r")
        assert [len(server.arrivals_by_sender) for server in leaving] == counts


async def test_a_node_that_starts_later_hears_that_a_server_leaves() -> None:
    async with _fleet(3) as system:
        leaving = [system.server_by_id[one] for one in ("e1", "p1")]
        for server in leaving:
            server.is_leaving = True
        await _ask(system, 2.0, nodes=range(3))
        await system.restart_node(2)
        await asyncio.sleep(DRAIN_SECONDS)
        counts = [len(server.arrivals_by_sender) for server in leaving]
        await _ask(system, 2.0, nodes=[2], prefix="r")
        assert [len(server.arrivals_by_sender) for server in leaving] == counts


async def test_a_refusal_says_as_well_that_a_server_leaves() -> None:
    async with _fleet() as system:
        for one in ("e1", "p1"):
            system.server_by_id[one].is_leaving = system.server_by_id[one].turns_away = True
        told_at = asyncio.get_running_loop().time()
        responses = await _ask(system, 5.0)
        for one in ("e1", "p1"):
            times = system.server_by_id[one].arrival_times
            assert times
            assert not [at for at in times if at > told_at + DRAIN_SECONDS]
    assert _served(responses) == len(responses)


async def test_a_later_response_without_the_word_does_not_end_a_leaving() -> None:
    async with _fleet() as system:
        leaving = [system.server_by_id[one] for one in ("e1", "p1")]
        for server in leaving:
            server.is_leaving = True
        await _ask(system, 1.0)
        for server in leaving:
            server.is_leaving = False
        told_at = asyncio.get_running_loop().time()
        await _ask(system, 4.0, prefix="r")
        for server in leaving:
            assert not [at for at in server.arrival_times if at > told_at + DRAIN_SECONDS]


async def test_a_new_start_ends_a_leaving() -> None:
    async with _fleet() as system:
        for one in ("e1", "p1"):
            system.server_by_id[one].is_leaving = True
        await _ask(system, 1.0)
        for one, service in (("e1", "svc"), ("p1", "plain")):
            system.server_by_id[one].is_leaving = False
            system.register(one, service, born=2)
        await asyncio.sleep(1.5)
        counts = [len(system.server_by_id[one].runs) for one in ("e1", "p1")]
        responses = await _ask(system, 3.0, prefix="r")
        assert all(
            len(system.server_by_id[one].runs) > count
            for one, count in zip(("e1", "p1"), counts, strict=True)
        )
    assert _served(responses) == len(responses)


async def test_a_running_stream_of_a_server_that_leaves_is_finished_there() -> None:
    async with _fleet(2) as system:
        for server in system.server_by_id.values():
            server.events, server.event_seconds, server.is_leaving = 40, 0.06, True
        response = await system.call("/ask/long", attempt="s1", deadline_ms=5_000)
        assert response.status == 200
        assert response.is_complete
        assert len(system.runs("s1")) == 1
