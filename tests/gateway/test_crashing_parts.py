"""Parts of prompts that crash every server that begins to answer, in requests that are all unlike."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

import pytest

from dragonflycove.standins.platform.server_faults import CrashMode
from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.asyncio

NODES = 6
"""Nodes of the fleet; three of them are hubs."""

ENGINES = 12
"""Servers of the fleet; each returns a second after its crash."""

PATH = "/ask/chat"
"""Path of all requests."""

ALLOWED_LATE = 3
"""Requests with a crashing part that may reach servers later than the contact time."""

CONTACT_SECONDS = 3.0
"""Time after the fifth crash from which such requests are limited."""

LEARN_SECONDS = 1.5
"""Time in which all nodes learn of a loss, also after lost datagrams."""

SOUND_SHARE = 0.5
"""Share of the sound requests beside them that are served at the first attempt."""


@contextlib.asynccontextmanager
async def _fleet(
    *parts: str, mode: CrashMode = CrashMode.RESET
) -> AsyncIterator[deployment.Deployment]:
    """Run nodes before servers that some parts of prompts crash."""
    async with deployment.deployed(NODES) as system:
        system.crashing_parts.update(parts)
        for number in range(ENGINES):
            await system.add_crashing_server(f"c{number}", "/none", mode)
        for name in ("e1", "e2"):
            await system.remove_server(name)
        system.beat()
        await asyncio.sleep(LEARN_SECONDS)
        yield system


_numbers = itertools.count()


async def _ask(
    system: deployment.Deployment, *parts: str, node: int | None = None
) -> deployment.CallerResult:
    """Send a request that is unlike all others but for some parts of its prompt."""
    number = next(_numbers)
    listed = ",".join(f"{part}:200" for part in (*parts, f"own{number}"))
    return await system.call(
        PATH,
        node=number % NODES if node is None else node,
        attempt=f"u{number}",
        body=b"%d" % number,
        headers={"X-Prompt-Prefix": listed, "X-Token-Counts": "1000,100"},
    )


async def _crash(
    system: deployment.Deployment, seconds: float, *parts: str, per_second: float = 8.0
) -> None:
    """Send requests with some parts to all nodes in turn."""
    calls = []
    for _ in range(int(seconds * per_second)):
        calls.append(asyncio.ensure_future(_ask(system, *parts)))
        await asyncio.sleep(1 / per_second)
    await asyncio.gather(*calls)


async def _ask_sound(system: deployment.Deployment, seconds: float, *parts: str) -> list[bool]:
    """Send requests with some parts at intervals; return whether each was served."""
    calls = []
    for _ in range(int(seconds * 10)):
        calls.append(asyncio.ensure_future(_ask(system, *parts)))
        await asyncio.sleep(0.1)
    return [one.status == 200 and one.is_complete for one in await asyncio.gather(*calls)]


def _times(system: deployment.Deployment) -> list[float]:
    return system.crash_times_by_path["/none"]


def _late(times: list[float]) -> int:
    """Return how many servers crashed later than the contact time after the fifth."""
    return sum(at > times[4] + CONTACT_SECONDS for at in times[5:]) if len(times) > 5 else 0


@pytest.mark.parametrize("mode", list(CrashMode))
async def test_a_crashing_part_is_refused_at_all_nodes(mode: CrashMode) -> None:
    async with _fleet("bad", mode=mode) as system:
        await _crash(system, 8.0, "aa", "bad")
        times = _times(system)
    assert len(times) >= 3
    assert _late(times) <= ALLOWED_LATE


async def test_a_crashing_part_that_comes_at_all_nodes_at_once_is_refused() -> None:
    async with _fleet("bad") as system:
        for _ in range(8):
            await asyncio.gather(*(_ask(system, "aa", "bad", node=n) for n in range(NODES)))
            await asyncio.sleep(1.0)
        times = _times(system)
    assert _late(times) <= ALLOWED_LATE


async def test_sound_requests_with_the_same_caller_and_other_parts_are_served() -> None:
    async with _fleet("bad") as system:
        crashing = asyncio.ensure_future(_crash(system, 11.0, "aa", "bad"))
        await _ask_sound(system, 6.0, "aa", "cc")
        served = await _ask_sound(system, 5.0, "aa", "cc")
        await crashing
        times = _times(system)
    assert _late(times) <= ALLOWED_LATE
    assert sum(served) >= SOUND_SHARE * len(served)


async def test_sound_requests_without_traffic_before_are_served() -> None:
    async with _fleet("bad") as system:
        await _crash(system, 6.0, "aa", "bad")
        crashing = asyncio.ensure_future(_crash(system, 5.0, "aa", "bad"))
        served = await _ask_sound(system, 5.0, "aa", "cc")
        await crashing
        times = _times(system)
    assert _late(times) <= ALLOWED_LATE
    assert sum(served) >= SOUND_SHARE * len(served)


async def test_two_crashing_parts_at_once_are_both_refused() -> None:
    async with _fleet("bad", "worse") as system:
        crashing = [
            asyncio.ensure_future(_crash(system, 9.0, "aa", "bad", per_second=5.0)),
            asyncio.ensure_future(_crash(system, 9.0, "aa", "worse", per_second=5.0)),
        ]
        served = await _ask_sound(system, 9.0, "aa", "cc")
        await asyncio.gather(*crashing)
        times = _times(system)
    assert _late(times) <= ALLOWED_LATE
    assert sum(served[-40:]) >= SOUND_SHARE * 40


async def test_a_part_that_was_answered_before_it_crashes_servers_is_refused() -> None:
    async with _fleet() as system:
        assert all(await _ask_sound(system, 1.0, "aa", "bad"))
        system.crashing_parts.add("bad")
        crashing = asyncio.ensure_future(_crash(system, 9.0, "aa", "bad"))
        served = await _ask_sound(system, 9.0, "aa", "cc")
        await crashing
        times = _times(system)
    assert _late(times) <= ALLOWED_LATE
    assert sum(served[-30:]) >= SOUND_SHARE * 30


async def test_nodes_restarted_in_turn_still_refuse_a_crashing_part() -> None:
    async with _fleet("bad") as system:
        await _crash(system, 4.0, "aa", "bad")
        before = len(_times(system))
        for number in range(NODES):
            await system.restart_node(number)
            await asyncio.sleep(LEARN_SECONDS)
        await _crash(system, 2.0, "aa", "bad")
        times = _times(system)
    assert len(times) == before


async def test_nodes_that_all_lost_power_still_refuse_a_crashing_part() -> None:
    async with _fleet("bad") as system:
        await _crash(system, 4.0, "aa", "bad")
        before = len(_times(system))
        await asyncio.sleep(LEARN_SECONDS)
        await asyncio.gather(*(system.restart_node(number) for number in range(NODES)))
        await asyncio.sleep(LEARN_SECONDS)
        await _crash(system, 2.0, "aa", "bad")
        times = _times(system)
    assert len(times) == before


async def test_a_node_that_was_cut_off_learns_of_a_crashing_part() -> None:
    async with _fleet("bad") as system:
        system.cut_off(NODES - 1)
        for _ in range(3):
            await asyncio.gather(*(_ask(system, "aa", "bad", node=n) for n in range(NODES - 1)))
            await asyncio.sleep(0.5)
        before = len(_times(system))
        system.reconnect(NODES - 1)
        await asyncio.sleep(2 * LEARN_SECONDS)
        await _ask(system, "aa", "bad", node=NODES - 1)
        times = _times(system)
    assert len(times) == before >= 3


async def test_parts_are_not_refused_for_servers_that_end_by_themselves() -> None:
    async with _fleet() as system:
        for server in system.server_by_id.values():
            server.event_seconds = 0.2
        asking = asyncio.ensure_future(_ask_sound(system, 6.0, "aa", "new"))
        await asyncio.sleep(0.7)
        for number in range(ENGINES // 2):
            system.server_by_id[f"c{number}"].crash()
        served = await asking
    assert all(served[-30:])
    assert sum(served) >= 0.8 * len(served)


async def test_a_waiting_request_with_a_crashing_part_is_refused_at_once() -> None:
    async with deployment.deployed() as system:
        for server in system.server_by_id.values():
            server.event_seconds = 0.4
        running = [
            asyncio.ensure_future(system.call(PATH, attempt=f"s{n}", body=b"%d" % n))
            for n in range(16)
        ]
        await asyncio.sleep(0.3)
        headers = {"X-Prompt-Prefix": "aa:100,bad:200,own:200"}
        waiting = asyncio.ensure_future(system.call(PATH, attempt="waiting", headers=headers))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        system.tell_part_crashes("bad", ["x1", "x2", "x3"])
        response = await asyncio.wait_for(waiting, 0.3)
        await asyncio.gather(*running)
        assert system.runs("waiting") == []
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 500
