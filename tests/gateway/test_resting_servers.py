"""Servers that turn requests away and ask the node for rest."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

import pytest

from dragonflycove.standins.platform import server_faults
from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from dragonflycove.standins.platform import server as platform_server

pytestmark = pytest.mark.asyncio

NODES = 4
"""Nodes of the fleet."""

NOTICE_SECONDS = 0.5
"""Time after a response that asks for rest from which the rest binds its node."""

TOLERANCE = 2
"""Requests that may arrive from a node in a time of rest."""

REFUSAL_SECONDS = 0.5
"""Time within which a request is refused that can't be served."""

PATHS = ("/ask/fine", "/look/fine", "/post/fine")


@contextlib.asynccontextmanager
async def _fleet(nodes: int = NODES) -> AsyncIterator[deployment.Deployment]:
    async with deployment.deployed(nodes) as system:
        for number in range(3, 5):
            await system.add_server(f"e{number}")
        await system.add_server("p3", "plain")
        system.beat()
        yield system


async def _call(
    system: deployment.Deployment,
    path: str,
    node: int,
    attempt: str,
    headers: dict[str, str] | None = None,
    deadline_ms: int = 3_000,
) -> deployment.CallerResult:
    method = b"GET" if path.startswith("/look/") else b"POST"
    body = b"" if method == b"GET" else attempt.encode()
    return await system.call(
        path,
        node=node,
        attempt=attempt,
        body=body,
        method=method,
        headers=headers,
        deadline_ms=deadline_ms,
    )


async def _ask(
    system: deployment.Deployment,
    seconds: float,
    per_second: float = 40.0,
    paths: Iterable[str] = PATHS,
    prefix: str = "q",
) -> list[deployment.CallerResult]:
    """Send requests to all nodes in turn, without resends; return their responses."""
    calls = []
    turns = itertools.cycle(range(len(system.nodes)))
    kinds = itertools.cycle(paths)
    for number in range(int(seconds * per_second)):
        call = _call(system, next(kinds), next(turns), f"{prefix}{number}")
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(1 / per_second)
    return await asyncio.gather(*calls)


def _served(responses: Iterable[deployment.CallerResult]) -> int:
    return sum(one.status == 200 and one.is_complete for one in responses)


def _most_in_rest(server: platform_server.PlatformServer, until: float = float("inf")) -> int:
    """Return the most requests that arrived from one node in a time of rest that it was asked for."""
    return max(
        (
            sum(
                arrival.sender_ip == rest.sender_ip
                and rest.at + NOTICE_SECONDS < arrival.at < min(until, rest.at + float(rest.stated))
                for arrival in server.arrivals_by_sender
            )
            for rest in server.rest_requests
        ),
        default=0,
    )


def _turn_away(system: deployment.Deployment, ids: Iterable[str], stated: str) -> None:
    for server_id in ids:
        system.server_by_id[server_id].turns_away = True
        system.server_by_id[server_id].stated_rest = stated


@pytest.mark.parametrize("stated", ["3", "1.5", "0.75", "86400"])
async def test_servers_get_no_requests_from_a_node_that_they_asked_for_rest(stated: str) -> None:
    async with _fleet() as system:
        _turn_away(system, ["e1", "p1"], stated)
        responses = await _ask(system, 7.0)
        servers = [system.server_by_id[one] for one in ("e1", "p1")]
        assert all(len(server.rest_requests) >= NODES for server in servers)
        assert max(_most_in_rest(server) for server in servers) <= TOLERANCE
    assert _served(responses) == len(responses)


async def test_a_server_that_asks_for_rest_and_recovers_at_once_is_left_alone_all_the_same() -> (
    None
):
    async with _fleet() as system:
        _turn_away(system, ["e1", "p1"], "3")
        await _ask(system, 0.5)
        for server in system.server_by_id.values():
            server.turns_away = False
        responses = await _ask(system, 4.0, prefix="r")
        servers = [system.server_by_id[one] for one in ("e1", "p1")]
        assert all(server.rest_requests for server in servers)
        assert max(_most_in_rest(server) for server in servers) <= TOLERANCE
    assert _served(responses) == len(responses)


async def test_a_shorter_rest_does_not_end_a_longer_one() -> None:
    async with _fleet() as system:
        _turn_away(system, ["e1", "p1"], "4")
        first = asyncio.ensure_future(_ask(system, 1.0))
        await asyncio.sleep(0.2)
        _turn_away(system, ["e1", "p1"], "0.5")
        await first
        for server in system.server_by_id.values():
            server.turns_away = False
        await _ask(system, 4.0, prefix="r")
        servers = [system.server_by_id[one] for one in ("e1", "p1")]
        assert max(_most_in_rest(server) for server in servers) <= TOLERANCE


@pytest.mark.parametrize("stated", ["0", "soon", "-3", "nan", "inf", "1e9"])
async def test_a_rest_of_zero_or_without_a_number_of_seconds_changes_nothing(stated: str) -> None:
    async with _fleet() as system:
        _turn_away(system, ["e1", "p1"], stated)
        await _ask(system, 1.0)
        for server in system.server_by_id.values():
            server.turns_away = False
        responses = await _ask(system, 2.0, prefix="r")
        runs = {run.attempt_id for run in system.server_by_id["p1"].runs}
    assert _served(responses) == len(responses)
    assert runs


@pytest.mark.parametrize("path", PATHS)
async def test_requests_are_refused_at_once_if_all_servers_rest_and_served_when_told(
    path: str,
) -> None:
    async with _fleet(2) as system:
        ids = [one for one in system.server_by_id if one[0] == ("e" if "ask" in path else "p")]
        _turn_away(system, ids, "4")
        await _ask(system, 1.5, paths=[path], prefix="before")
        for server in system.server_by_id.values():
            server.turns_away = False
        loop = asyncio.get_running_loop()

        async def ask_twice(number: int) -> int | None:
            started_at = loop.time()
            first = await _call(system, path, number % 2, f"t{number}", deadline_ms=9_000)
            if first.status == 200:
                return None
            assert loop.time() - started_at < REFUSAL_SECONDS
            assert first.status == 503
            await asyncio.sleep(float(first.headers["retry-after"]))
            return (await _call(system, path, number % 2, f"u{number}")).status

        statuses = await asyncio.gather(*(ask_twice(number) for number in range(40)))
        for server_id in ids:
            assert _most_in_rest(system.server_by_id[server_id]) <= TOLERANCE
    returned = [status for status in statuses if status is not None]
    assert len(returned) >= 20
    assert returned.count(200) >= 0.9 * len(returned)


async def test_retries_and_resumes_count_as_requests_in_a_time_of_rest() -> None:
    async with _fleet() as system:
        _turn_away(system, ["e1", "p1"], "3")
        await _ask(system, 0.5)
        for server_id, server in system.server_by_id.items():
            server.turns_away = False
            if server_id not in ("e1", "p1"):
                server.faults.extend([server_faults.Fault.TRUNCATED, server_faults.Fault.RESET] * 9)
        await _ask(system, 3.0, prefix="r")
        servers = [system.server_by_id[one] for one in ("e1", "p1")]
        assert max(_most_in_rest(server) for server in servers) <= TOLERANCE


async def test_a_resting_server_helps_no_split_prompts() -> None:
    async with _fleet(2) as system:
        _turn_away(system, ["e1"], "5")
        await _ask(system, 1.0, paths=["/ask/fine"])
        told = {one.sender_ip for one in system.server_by_id["e1"].rest_requests}
        nodes = [number for number in range(2) if system.settings[number].ip in told]
        address = str(system.address_by_id["e1"])
        headers = {"X-Token-Counts": "120000,100"}
        calls = [
            _call(system, "/review/long", nodes[number % len(nodes)], f"r{number}", headers)
            for number in range(6)
        ]
        await asyncio.gather(*calls)
        helpers = [
            helper.partition("/")[0]
            for number in range(6)
            for run in system.runs(f"r{number}")
            for helper in run.headers.get("x-helpers", "").split(",")
        ]
    assert [one for one in helpers if one]
    assert address not in helpers


async def test_a_server_that_rested_is_let_in_again_by_single_requests() -> None:
    async with _fleet(2) as system:
        ids = ["p1", "p2", "p3"]
        _turn_away(system, ids, "1.5")
        await _ask(system, 1.0, paths=["/look/fine"], prefix="before")
        last = {one: len(system.server_by_id[one].arrivals_by_sender) for one in ids}
        ends = [
            rest.at + float(rest.stated)
            for one in ids
            for rest in system.server_by_id[one].rest_requests
        ]
        await asyncio.sleep(max(ends) - asyncio.get_running_loop().time() + 0.1)
        # All still turn requests away, which one request a node and server finds out.
        await asyncio.gather(
            *(_call(system, "/look/fine", number % 2, f"z{number}") for number in range(60))
        )
        for one in ids:
            arrivals = system.server_by_id[one].arrivals_by_sender[last[one] :]
            for ip in {arrival.sender_ip for arrival in arrivals}:
                assert sum(arrival.sender_ip == ip for arrival in arrivals) <= TOLERANCE


async def test_a_new_start_of_a_server_ends_its_rest() -> None:
    async with _fleet() as system:
        _turn_away(system, ["p1"], "86400")
        await _ask(system, 1.0, paths=["/look/fine"])
        system.server_by_id["p1"].turns_away = False
        system.register("p1", "plain", born=2)
        await asyncio.sleep(1.5)
        count = len(system.server_by_id["p1"].runs)
        await _ask(system, 2.0, paths=["/look/fine"], prefix="n")
        assert len(system.server_by_id["p1"].runs) > count
