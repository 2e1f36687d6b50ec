"""Requests that crash every server that runs them, sent again at any node of the fleet."""

from __future__ import annotations

import asyncio

import pytest

from dragonflycove.standins.platform.server_faults import CrashMode, Fault
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio

NODES = 6
"""Nodes of the fleet; three of them are hubs."""

ENGINES = 12
"""Servers of the fleet, more than any test may crash."""

MAX_CRASHES = 3
"""Servers that a request may crash before it is refused."""

ALLOWED_RETRIES = 3
"""Retries that may reach servers later than `CONTACT_SECONDS` after the third crash."""

CONTACT_SECONDS = 3.0
"""Time after the third crash from which retries are limited."""

RESEND_SECONDS = 0.1
"""Time between a response and the caller's next resend."""

LEARN_SECONDS = 1.5
"""Time in which all nodes learn of a loss, also after lost datagrams."""

BAD = "/ask/bad"
"""Path of the request that crashes engines."""


async def _fleet(
    system: deployment.Deployment,
    path: str = BAD,
    mode: CrashMode = CrashMode.RESET,
    service: str = "svc",
    comeback: deployment.Comeback = deployment.Comeback.NEW_ID,
) -> None:
    """Replace a service's servers by ones that a request crashes, and wait until nodes know them."""
    for number in range(ENGINES):
        await system.add_crashing_server(f"c{number}", path, mode, service, comeback=comeback)
    for name in ("e1", "e2") if service == "svc" else ("p1", "p2"):
        await system.remove_server(name)
    system.beat()
    await asyncio.sleep(LEARN_SECONDS)


async def _resend(
    system: deployment.Deployment,
    rounds: int,
    path: str = BAD,
    *,
    leave_after_seconds: float = 5.0,
) -> None:
    """Send a request to each node in turn."""
    for number in range(rounds * len(system.nodes)):
        method = b"GET" if path.startswith("/look/") else b"POST"
        try:
            async with asyncio.timeout(leave_after_seconds):
                await system.call(
                    path, node=number % len(system.nodes), attempt=f"f{number}", method=method
                )
        except TimeoutError:
            pass
        await asyncio.sleep(RESEND_SECONDS)


def _late_crashes(times: list[float]) -> int:
    """Return how many servers crashed later than the contact time after the third."""
    return sum(at > times[2] + CONTACT_SECONDS for at in times[3:])


@pytest.mark.parametrize("mode", [CrashMode.RESET, CrashMode.CLOSE])
async def test_a_crashing_request_sent_to_each_node_in_turn_crashes_three_servers(
    mode: CrashMode,
) -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system, mode=mode)
        await _resend(system, rounds=2)
        times = system.crash_times_by_path[BAD]
    assert len(times) == MAX_CRASHES


@pytest.mark.parametrize("path", ["/post/bad", "/look/bad"])
async def test_a_crashing_call_sent_to_each_node_in_turn_crashes_three_servers(path: str) -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system, path, service="plain")
        await _resend(system, rounds=2, path=path)
        times = system.crash_times_by_path[path]
    assert len(times) == MAX_CRASHES


async def test_losses_seen_by_different_nodes_at_the_same_moment_add_up() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system, "/post/bad", service="plain")
        await asyncio.gather(
            *(system.call("/post/bad", node=node, attempt=f"s{node}") for node in range(3))
        )
        assert len(system.crash_times_by_path["/post/bad"]) == MAX_CRASHES
        await asyncio.sleep(RESEND_SECONDS)
        await _resend(system, rounds=1, path="/post/bad")
        times = system.crash_times_by_path["/post/bad"]
    assert len(times) == MAX_CRASHES


async def test_a_crashing_request_sent_to_all_nodes_at_once_is_refused_afterwards() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system)
        for volley in range(5):
            await asyncio.gather(
                *(system.call(BAD, node=n, attempt=f"v{volley}-{n}") for n in range(NODES))
            )
            if not volley:
                first_volley = len(system.crash_times_by_path[BAD])
            await asyncio.sleep(1.0)
        times = system.crash_times_by_path[BAD]
    assert len(times) == first_volley


@pytest.mark.parametrize("nodes", [1, NODES])
async def test_servers_lost_over_kept_connections_count(nodes: int) -> None:
    async with deployment.deployed(nodes) as system:
        await _fleet(system)
        for burst in range(4):
            await asyncio.gather(
                *(
                    system.call(
                        "/ask/fine", node=n % nodes, attempt=f"w{burst}-{n}", body=b"%d" % n
                    )
                    for n in range(60)
                )
            )
        await _resend(system, rounds=12 // nodes)
        times = system.crash_times_by_path[BAD]
    assert len(times) <= MAX_CRASHES


@pytest.mark.parametrize("nodes", [1, NODES])
async def test_servers_that_fall_silent_while_they_run_a_request_count(nodes: int) -> None:
    async with deployment.deployed(nodes) as system:
        await _fleet(system, mode=CrashMode.SILENT)
        await _resend(system, rounds=12 // nodes)
        times = system.crash_times_by_path[BAD]
    assert _late_crashes(times) <= ALLOWED_RETRIES
    assert len(times) <= 2 * MAX_CRASHES


async def test_servers_that_fall_silent_count_though_the_callers_leave_first() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system, mode=CrashMode.SILENT)
        await _resend(system, rounds=3, leave_after_seconds=0.8)
        times = system.crash_times_by_path[BAD]
    assert _late_crashes(times) <= ALLOWED_RETRIES


async def test_a_server_that_starts_again_under_its_id_counts_each_time() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system, comeback=deployment.Comeback.SAME_ID)
        for number in range(ENGINES - 1):
            await system.remove_server(f"c{number}")
        await asyncio.sleep(LEARN_SECONDS)
        for number in range(2 * NODES):
            await system.call(BAD, node=number % NODES, attempt=f"f{number}")
            await asyncio.sleep(deployment.SERVER_RETURN_SECONDS)
        times = system.crash_times_by_path[BAD]
    assert len(times) == MAX_CRASHES


async def test_nodes_restarted_in_turn_still_refuse_a_crashing_request() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system)
        await _resend(system, rounds=1)
        before = len(system.crash_times_by_path[BAD])
        for number in range(NODES):
            await system.restart_node(number)
            await asyncio.sleep(LEARN_SECONDS)
        await _resend(system, rounds=1)
        times = system.crash_times_by_path[BAD]
    assert len(times) == before


async def test_nodes_that_all_lost_power_at_once_still_refuse_a_crashing_request() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system)
        await _resend(system, rounds=1)
        before = len(system.crash_times_by_path[BAD])
        await asyncio.sleep(LEARN_SECONDS)
        await asyncio.gather(*(system.restart_node(number) for number in range(NODES)))
        await asyncio.sleep(LEARN_SECONDS)
        await _resend(system, rounds=1)
        times = system.crash_times_by_path[BAD]
    assert len(times) == before


async def test_a_node_that_the_store_turns_away_still_refuses_a_crashing_request() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system)
        await _resend(system, rounds=1)
        before = len(system.crash_times_by_path[BAD])
        system.faults[NODES - 1].refusal_status = 503
        await system.restart_node(NODES - 1)
        await asyncio.sleep(LEARN_SECONDS)
        await system.call(BAD, node=NODES - 1)
        times = system.crash_times_by_path[BAD]
    assert len(times) == before


async def test_a_node_cut_off_from_its_peers_learns_of_losses_when_the_cut_ends() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system)
        system.cut_off(NODES - 1)
        for number in range(NODES - 1):
            await system.call(BAD, node=number, attempt=f"f{number}")
            await asyncio.sleep(RESEND_SECONDS)
        before = len(system.crash_times_by_path[BAD])
        system.reconnect(NODES - 1)
        await asyncio.sleep(2 * LEARN_SECONDS)
        await system.call(BAD, node=NODES - 1)
        times = system.crash_times_by_path[BAD]
    assert len(times) == before == MAX_CRASHES


async def test_a_request_that_servers_answer_is_not_refused_for_servers_that_crash_beside_it() -> (
    None
):
    async with deployment.deployed(NODES) as system:
        await _fleet(system)
        for number in range(NODES):
            response = await system.call("/ask/hot", node=number, attempt=f"h{number}")
            assert response.status == 200
        for server in system.server_by_id.values():
            server.event_seconds = 0.3
        running = [
            asyncio.ensure_future(system.call("/ask/hot", node=n % NODES, attempt=f"r{n}"))
            for n in range(2 * ENGINES)
        ]
        await asyncio.sleep(0.4)
        for number in range(ENGINES // 2):
            system.server_by_id[f"c{number}"].crash()
        await asyncio.gather(*running)
        statuses = [
            (await system.call("/ask/hot", node=number, attempt=f"a{number}")).status
            for number in range(NODES)
        ]
    assert statuses == [200] * NODES


async def test_a_request_whose_servers_reset_connections_and_live_is_not_refused() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system)
        for server in system.server_by_id.values():
            server.faults.extend([Fault.RESET] * 2)
        for number in range(NODES):
            await system.call("/ask/reset", node=number, attempt=f"f{number}")
        for server in system.server_by_id.values():
            server.faults.clear()
        statuses = [
            (await system.call("/ask/reset", node=number, attempt=f"a{number}")).status
            for number in range(NODES)
        ]
    assert statuses == [200] * NODES


async def test_a_request_is_served_again_once_its_servers_prove_to_live_behind_a_cut_link() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system, comeback=deployment.Comeback.SAME_START)
        await _resend(system, rounds=1)
        assert len(system.crash_times_by_path[BAD]) >= MAX_CRASHES
        for server in system.server_by_id.values():
            server.crashing_paths.clear()
        await asyncio.sleep(8.0)
        statuses = [
            (await system.call(BAD, node=number, attempt=f"a{number}")).status
            for number in range(NODES)
        ]
    assert statuses == [200] * NODES


async def test_heartbeats_read_late_after_a_store_outage_do_not_clear_a_crash() -> None:
    async with deployment.deployed() as system:
        await _fleet(system)
        system.faults[0].refusal_status = 503
        await asyncio.sleep(2 * deployment.HEARTBEAT_SECONDS)
        await _resend(system, rounds=2)
        assert len(system.crash_times_by_path[BAD]) == MAX_CRASHES
        await asyncio.sleep(4.0)
        system.faults[0].clear()
        await asyncio.sleep(4.0)
        await _resend(system, rounds=2)
        times = system.crash_times_by_path[BAD]
    assert len(times) == MAX_CRASHES


async def test_a_request_that_waits_for_an_engine_is_refused_once_it_is_known_to_crash() -> None:
    async with deployment.deployed() as system:
        for server in system.server_by_id.values():
            server.event_seconds = 0.4
        running = [
            asyncio.ensure_future(system.call("/ask/slow", attempt=f"s{n}", body=b"%d" % n))
            for n in range(16)
        ]
        await asyncio.sleep(0.3)
        waiting = asyncio.ensure_future(system.call(BAD, attempt="waiting"))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        system.tell_crashes(BAD, ["x1", "x2", "x3"])
        response = await asyncio.wait_for(waiting, 0.2)
        await asyncio.gather(*running)
        assert system.runs("waiting") == []
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 500


async def test_a_request_is_not_sent_if_it_is_known_to_crash_by_the_time_it_could_be() -> None:
    async with deployment.deployed() as system:
        for server in system.server_by_id.values():
            server.reservation_seconds = 0.3
        headers = {"X-Token-Counts": "300000,100"}
        call = asyncio.ensure_future(system.call("/review/bad", headers=headers, deadline_ms=9_000))
        await asyncio.sleep(0.1)
        system.tell_crashes("/review/bad", ["x1", "x2", "x3"])
        response = await call
        assert system.runs() == []
    assert response.status == 503


async def test_requests_beside_a_crashing_one_are_served_and_not_refused() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system)
        for server in system.server_by_id.values():
            server.event_seconds = 0.15
        statuses = []

        async def ask(number: int) -> None:
            for attempt in range(2):
                response = await system.call(
                    "/ask/fine",
                    node=(number + attempt) % NODES,
                    attempt=f"i{number}-{attempt}",
                    body=b"%d" % number,
                )
                if response.is_complete and response.status == 200:
                    break
            statuses.append((response.status, response.is_complete))

        asked = [asyncio.ensure_future(ask(number)) for number in range(40)]
        await asyncio.sleep(0.2)
        await _resend(system, rounds=1)
        await asyncio.gather(*asked)
        times = system.crash_times_by_path[BAD]
    assert len(times) == MAX_CRASHES
    assert statuses == [(200, True)] * 40
