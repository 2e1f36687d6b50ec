"""Crash counts and times of rest of requests that another node serves."""

from __future__ import annotations

import asyncio

import pytest

from dragonflycove.standins.platform import server_faults
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio

NODES = 3
"""Nodes of the fleet."""

ENGINES = 10
"""Servers of the fleet, more than any test may crash."""

MAX_CRASHES = 3
"""Servers that a request may crash before it is refused."""

LEARN_SECONDS = 1.5
"""Time in which all nodes learn of servers and losses."""

BAD = "/ask/bad"
"""Path of the request that crashes engines."""

TOLERANCE = 2
"""Requests that may arrive from a node in a time of rest."""


# A silent server's crash is noticed beside the next attempt, so more may be lost meanwhile.
@pytest.mark.parametrize(
    ("mode", "max_crashes"),
    [
        (server_faults.CrashMode.RESET, MAX_CRASHES),
        (server_faults.CrashMode.SILENT, 2 * MAX_CRASHES),
    ],
    ids=["reset", "silent"],
)
async def test_servers_that_a_relayed_request_crashes_count_at_all_nodes(
    mode: server_faults.CrashMode, max_crashes: int
) -> None:
    async with deployment.deployed(NODES) as system:
        for number in range(ENGINES):
            await system.add_crashing_server(f"c{number}", BAD, mode)
        for name in ("e1", "e2"):
            await system.remove_server(name)
        system.beat()
        await asyncio.sleep(LEARN_SECONDS)
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        for number in range(6):
            await system.call(BAD, attempt=f"f{number}")
        await asyncio.sleep(LEARN_SECONDS)
        crashes = len(system.crash_times_by_path[BAD])
        refused = [await system.call(BAD, node=n, attempt=f"r{n}") for n in range(NODES)]
        assert len(system.crash_times_by_path[BAD]) == crashes
    assert MAX_CRASHES <= crashes <= max_crashes
    assert [one.status for one in refused] == [503] * NODES
    assert all(float(one.headers["retry-after"]) > 100 for one in refused)


async def test_rest_that_servers_ask_of_a_serving_node_is_kept_and_told_to_callers() -> None:
    async with deployment.deployed(NODES) as system:
        system.beat()
        await asyncio.sleep(LEARN_SECONDS)
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        await system.call("/look/w", attempt="w")
        for server_id in ("p1", "p2"):
            server = system.server_by_id[server_id]
            server.turns_away, server.stated_rest = True, "5"
            server.arrivals_by_sender.clear()
        responses = []
        for number in range(20):
            responses.append(await system.call("/look/x", attempt=f"a{number}"))
            await asyncio.sleep(0.05)
        arrivals = [
            sum(
                one.sender_ip == settings.ip for one in system.server_by_id[name].arrivals_by_sender
            )
            for settings in system.settings
            for name in ("p1", "p2")
        ]
    assert {one.status for one in responses} == {503}
    assert max(arrivals) <= 1 + TOLERANCE
    assert all(float(one.headers["retry-after"]) > 3 for one in responses[-10:])
