"""Servers that state how many requests a second they take from all nodes together."""

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

pytestmark = pytest.mark.asyncio

NODES = 6
"""Nodes of the fleet; three of them are hubs."""

ENGINES = 4
"""Engines of the fleet."""

CONTACT_SECONDS = 3.0
"""Time after a server first stated its limit from which the limit binds the fleet."""

WINDOW_SECONDS = 4.0
"""Window in which requests to a server are counted."""

OVERAGE = 1.5
"""Requests of a window that the platform tolerates, as a multiple of what the limit allows."""

TOLERANCE = 5
"""Requests of a window that the platform tolerates in addition."""

LEARN_SECONDS = 1.5
"""Time in which all nodes learn of a limit, also after lost datagrams."""

REFUSAL_SECONDS = 0.5
"""Time within which a request is refused that can't be served within its latency target."""


@contextlib.asynccontextmanager
async def _fleet(
    limits: Iterable[str], *, nodes: int = NODES, service: str = "svc"
) -> AsyncIterator[deployment.Deployment]:
    """Run nodes before as many servers of a service as there are limits; empty for none."""
    async with deployment.deployed(nodes) as system:
        for number, limit in enumerate(limits):
            server = await system.add_server(f"l{number}", service)
            server.stated_limit = limit
        for name in ("e1", "e2") if service == "svc" else ("p1", "p2"):
            await system.remove_server(name)
        system.beat()
        await asyncio.sleep(LEARN_SECONDS)
        yield system


async def _ask(
    system: deployment.Deployment,
    seconds: float,
    per_second: float,
    path: str = "/ask/fine",
    nodes: Iterable[int] = range(NODES),
) -> list[deployment.CallerResult]:
    """Send requests to nodes in turn at an even rate, without resends; return their responses."""
    calls = []
    turns = itertools.cycle(nodes)
    method = b"GET" if path.startswith("/look/") else b"POST"
    for number in range(int(seconds * per_second)):
        call = system.call(
            path, node=next(turns), attempt=f"q{number}", body=b"%d" % number, method=method
        )
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(1 / per_second)
    return await asyncio.gather(*calls)


def _most_in_window(system: deployment.Deployment, server_id: str, start: float) -> int:
    """Return the most requests that a server got in one window that begins at `start` or later."""
    times = [at for at in system.server_by_id[server_id].arrival_times if at >= start]
    return max(
        (sum(first <= at < first + WINDOW_SECONDS for at in times) for first in times), default=0
    )


def _allowed(limit: float) -> float:
    return OVERAGE * limit * WINDOW_SECONDS + TOLERANCE


def _served(responses: Iterable[deployment.CallerResult]) -> int:
    return sum(one.status == 200 and one.is_complete for one in responses)


@pytest.mark.parametrize(
    ("path", "service"), [("/ask/fine", "svc"), ("/look/fine", "plain"), ("/post/fine", "plain")]
)
async def test_callers_at_all_nodes_stay_within_the_limits_of_all_servers(
    path: str, service: str
) -> None:
    async with _fleet(["1"] * ENGINES, service=service) as system:
        start = asyncio.get_running_loop().time()
        await _ask(system, 9.0, 40.0, path)
        most = [_most_in_window(system, one, start + CONTACT_SECONDS) for one in _ids(ENGINES)]
    assert max(most) <= _allowed(1.0)


async def test_callers_are_served_up_to_the_limits_and_the_rest_refused_at_once() -> None:
    async with _fleet(["2"] * ENGINES) as system:
        await _ask(system, 3.0, 20.0)
        loop = asyncio.get_running_loop()
        refusal_seconds: list[float] = []
        responses: list[deployment.CallerResult] = []

        async def ask_until_served(number: int) -> None:
            until = loop.time() + 4.0
            for attempt in range(2):
                started_at = loop.time()
                response = await system.call(
                    "/ask/more",
                    node=(number + attempt) % NODES,
                    attempt=f"t{number}-{attempt}",
                    body=b"%d" % number,
                )
                responses.append(response)
                if response.status == 200:
                    return
                refusal_seconds.append(loop.time() - started_at)
                retry_after = float(response.headers["retry-after"])
                assert retry_after > 0
                # Callers wait for a third of the time that they have left at most.
                await asyncio.sleep(min(retry_after, (until - loop.time()) / 3))

        asked = []
        for number in range(200):
            asked.append(asyncio.ensure_future(ask_until_served(number)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*asked)
    assert _served(responses) >= 0.9 * 2.0 * ENGINES * 10.0
    assert {one.status for one in responses} == {200, 503}
    assert max(refusal_seconds) <= REFUSAL_SECONDS


async def test_a_refused_caller_that_returns_when_told_is_served() -> None:
    async with _fleet(["2"] * ENGINES) as system:
        await _ask(system, 3.0, 20.0)
        kept = []

        async def ask_twice(number: int) -> None:
            deadline_ms = 9_000
            first = await system.call(
                "/ask/twice",
                node=number % NODES,
                attempt=f"x{number}",
                body=b"%d" % number,
                deadline_ms=deadline_ms,
            )
            retry_after = float(first.headers.get("retry-after", "0"))
            # Callers wait for a third of the time that they have left at most.
            if first.status != 503 or retry_after > 4.0 / 3:
                return
            await asyncio.sleep(retry_after)
            again = await system.call(
                "/ask/twice",
                node=(number + 1) % NODES,
                attempt=f"y{number}",
                body=b"%d" % number,
                deadline_ms=deadline_ms,
            )
            kept.append(again.status)

        asked = []
        for number in range(160):
            asked.append(asyncio.ensure_future(ask_twice(number)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*asked)
    assert len(kept) >= 15
    assert kept.count(200) >= 0.9 * len(kept)


async def test_requests_go_to_servers_without_a_limit_while_there_are_some() -> None:
    async with _fleet(["0.5", "0.5", "", ""]) as system:
        start = asyncio.get_running_loop().time()
        responses = await _ask(system, 9.0, 20.0)
        most = [_most_in_window(system, one, start + CONTACT_SECONDS) for one in _ids(2)]
    assert max(most) <= _allowed(0.5)
    assert _served(responses) == len(responses)


async def test_retries_and_resumes_count_towards_the_limit() -> None:
    async with _fleet(["1"] * ENGINES) as system:
        start = asyncio.get_running_loop().time()
        for server in system.server_by_id.values():
            server.faults.extend([server_faults.Fault.TRUNCATED, server_faults.Fault.RESET] * 40)
        await _ask(system, 9.0, 20.0)
        most = [_most_in_window(system, one, start + CONTACT_SECONDS) for one in _ids(ENGINES)]
    assert max(most) <= _allowed(1.0)


async def test_a_limit_that_is_lifted_binds_no_more() -> None:
    async with _fleet(["1"] * ENGINES) as system:
        await _ask(system, 4.0, 20.0)
        for server in system.server_by_id.values():
            server.stated_limit = ""
        await _ask(system, 4.0, 20.0)
        responses = await _ask(system, 3.0, 20.0)
    assert _served(responses) == len(responses)


async def test_a_limit_that_falls_binds_from_then_on() -> None:
    async with _fleet(["20"] * ENGINES) as system:
        await _ask(system, 3.0, 30.0)
        for server in system.server_by_id.values():
            server.stated_limit = "0.5"
        changed_at = asyncio.get_running_loop().time()
        await _ask(system, 9.0, 30.0)
        most = [_most_in_window(system, one, changed_at + CONTACT_SECONDS) for one in _ids(ENGINES)]
    assert max(most) <= _allowed(0.5)


async def test_a_malformed_limit_leaves_the_known_one_in_force() -> None:
    async with _fleet(["1"] * ENGINES) as system:
        start = asyncio.get_running_loop().time()
        await _ask(system, 3.0, 20.0)
        for server in system.server_by_id.values():
            server.stated_limit = "plenty"
        await _ask(system, 7.0, 30.0)
        most = [_most_in_window(system, one, start + CONTACT_SECONDS) for one in _ids(ENGINES)]
    assert max(most) <= _allowed(1.0)


async def test_a_node_that_has_just_started_keeps_to_limits_that_others_have_learned() -> None:
    async with _fleet(["1"] * ENGINES) as system:
        await _ask(system, 4.0, 20.0, nodes=range(NODES - 1))
        start = asyncio.get_running_loop().time()
        asking = asyncio.ensure_future(_ask(system, 9.0, 20.0, nodes=range(NODES - 1)))
        for _ in range(4):
            await system.restart_node(NODES - 1)
            calls = [system.call("/ask/new", node=NODES - 1, body=b"%d" % n) for n in range(12)]
            await asyncio.gather(*calls)
        await asking
        most = [_most_in_window(system, one, start) for one in _ids(ENGINES)]
    assert max(most) <= _allowed(1.0)


async def test_nodes_that_lose_their_first_hub_keep_to_the_limits() -> None:
    async with _fleet(["1"] * ENGINES) as system:
        await _ask(system, 4.0, 20.0)
        start = asyncio.get_running_loop().time()
        asking = asyncio.ensure_future(_ask(system, 9.0, 40.0, nodes=range(2, NODES)))
        for number in (0, 1, 0, 1):
            await system.restart_node(number)
            await asyncio.sleep(1.0)
        await asking
        most = [_most_in_window(system, one, start) for one in _ids(ENGINES)]
    assert max(most) <= _allowed(1.0)


async def test_nodes_that_are_cut_off_from_each_other_share_the_limits() -> None:
    async with _fleet(["1"] * ENGINES) as system:
        await _ask(system, 4.0, 20.0)
        for number in range(NODES):
            system.cut_off(number)
        start = asyncio.get_running_loop().time()
        await _ask(system, 9.0, 60.0)
        most = [_most_in_window(system, one, start) for one in _ids(ENGINES)]
    assert max(most) <= _allowed(1.0)


async def test_a_limit_below_one_lets_single_requests_through() -> None:
    async with _fleet(["0.25"] * ENGINES) as system:
        start = asyncio.get_running_loop().time()
        responses = await _ask(system, 12.0, 10.0)
        most = [_most_in_window(system, one, start + CONTACT_SECONDS) for one in _ids(ENGINES)]
    assert max(most) <= _allowed(0.25)
    assert _served(responses) >= 0.9 * 0.25 * ENGINES * 12.0


async def test_split_prompts_leave_out_helpers_with_a_limit() -> None:
    async with _fleet(["1", "1", "", "", "", ""]) as system:
        await _ask(system, 3.0, 20.0)
        limited = {str(system.address_by_id[one]) for one in _ids(2)}
        headers = {"X-Token-Counts": "120000,100"}
        for number in range(6):
            await system.call("/review/long", attempt=f"r{number}", headers=headers, node=number)
        helpers = [
            helper.partition("/")[0]
            for number in range(6)
            for run in system.runs(f"r{number}")
            for helper in run.headers.get("x-helpers", "").split(",")
        ]
    assert [one for one in helpers if one]
    assert not limited.intersection(helpers)


def _ids(count: int) -> list[str]:
    return [f"l{number}" for number in range(count)]
