"""Nodes that are cut off from all backend servers, but not from callers, store and other nodes."""

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

NODES = 5
"""Nodes of the fleet."""

CONTACT_SECONDS = 3.0
"""Time after the beginning of a cut from which its callers are served as well as others."""

REFUSAL_SECONDS = 0.5
"""Time within which a request is refused that can't be served."""

RETURN_SECONDS = 1.5
"""Time after the end of a cut from which a node sends to servers itself."""

PATHS = ("/ask/fine", "/look/fine", "/post/fine")

MODES = list(deployment.CutMode)


@contextlib.asynccontextmanager
async def _fleet(nodes: int = NODES) -> AsyncIterator[deployment.Deployment]:
    async with deployment.deployed(nodes) as system:
        for number in range(3, 5):
            await system.add_server(f"e{number}")
        await system.add_server("p3", "plain")
        system.beat()
        # Leaves kept connections at all nodes.
        for number, path in itertools.product(range(nodes), PATHS):
            await _call(system, path, number, f"w{number}{path}")
        yield system


async def _call(
    system: deployment.Deployment, path: str, node: int, attempt: str, **options: int
) -> deployment.CallerResult:
    method = b"GET" if path.startswith("/look/") else b"POST"
    body = b"" if method == b"GET" else attempt.encode()
    return await system.call(path, node=node, attempt=attempt, body=body, method=method, **options)


async def _ask(
    system: deployment.Deployment, nodes: Iterable[int], seconds: float, prefix: str = "q"
) -> list[deployment.CallerResult]:
    """Send 20 requests a second of all kinds to nodes in turn; return the first responses."""
    calls = []
    turns = itertools.cycle(nodes)
    paths = itertools.cycle(PATHS)
    for number in range(int(seconds * 20)):
        call = _call(system, next(paths), next(turns), f"{prefix}{number}")
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*calls)


def _served(responses: Iterable[deployment.CallerResult]) -> int:
    return sum(one.status == 200 and one.is_complete for one in responses)


@pytest.mark.parametrize("mode", MODES)
async def test_callers_of_nodes_that_reach_no_server_are_served_at_the_first_attempt(
    mode: deployment.CutMode,
) -> None:
    async with _fleet() as system:
        for number in (0, 1):
            system.cut_from_servers(number, mode)
        begun = asyncio.get_running_loop().time()
        await _ask(system, (0, 1), CONTACT_SECONDS, "before")
        responses = await _ask(system, (0, 1), 4.0)
        assert asyncio.get_running_loop().time() - begun < 9.0
    assert _served(responses) == len(responses)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("mode", MODES)
async def test_requests_in_the_moment_of_a_cut_are_served_or_may_have_run(
    mode: deployment.CutMode, path: str
) -> None:
    async with _fleet() as system:
        system.cut_from_servers(0, mode)
        calls = [_call(system, path, 0, f"m{number}") for number in range(4)]
        responses = await asyncio.gather(*calls)
        runs = [len(system.runs(f"m{number}")) for number in range(4)]
    for response, count in zip(responses, runs, strict=True):
        assert response.status in (200, 502, 504)
        if path.startswith("/post/"):
            assert count <= 1
    if mode is deployment.CutMode.REFUSED:
        assert _served(responses) == len(responses)


@pytest.mark.parametrize("mode", MODES)
async def test_most_nodes_that_reach_no_server_are_served_by_the_rest(
    mode: deployment.CutMode,
) -> None:
    async with _fleet() as system:
        for number in range(NODES - 1):
            system.cut_from_servers(number, mode)
        await _ask(system, range(NODES - 1), CONTACT_SECONDS, "before")
        responses = await _ask(system, range(NODES), 4.0)
    assert _served(responses) == len(responses)


@pytest.mark.parametrize("mode", MODES)
async def test_all_requests_are_refused_at_once_if_no_node_reaches_a_server(
    mode: deployment.CutMode,
) -> None:
    async with _fleet() as system:
        for number in range(NODES):
            system.cut_from_servers(number, mode)
        await _ask(system, range(NODES), CONTACT_SECONDS, "before")
        loop = asyncio.get_running_loop()
        for number, path in itertools.product(range(NODES), PATHS):
            started_at = loop.time()
            response = await _call(system, path, number, f"r{number}{path}")
            if mode is deployment.CutMode.REFUSED and response.status == 200:
                continue  # Over a connection from before the cut, which lives on.
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert loop.time() - started_at < REFUSAL_SECONDS
            assert not system.runs(f"r{number}{path}")


@pytest.mark.parametrize("mode", [deployment.CutMode.RESET, deployment.CutMode.HANGING])
async def test_a_stream_that_began_goes_on_when_its_node_loses_all_servers(
    mode: deployment.CutMode,
) -> None:
    async with _fleet() as system:
        for server in system.server_by_id.values():
            server.events, server.event_seconds = 20, 0.05
        asking = asyncio.ensure_future(_call(system, "/ask/long", 0, "s1", deadline_ms=9_000))
        await system.wait_for_run("s1")
        await asyncio.sleep(0.3)
        system.cut_from_servers(0, mode)
        response = await asking
    assert response.status == 200
    assert response.is_complete
    events = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 21))
    assert response.body == events


async def test_a_call_that_may_have_run_is_not_sent_again_by_another_node() -> None:
    async with _fleet() as system:
        for _ in range(3):
            system.cut_from_servers(0, deployment.CutMode.HANGING)
            calls = [_call(system, "/post/once", 0, f"o{n}", deadline_ms=1_500) for n in range(8)]
            responses = await asyncio.gather(*calls)
            for number, response in enumerate(responses):
                runs = system.runs(f"o{number}")
                assert len(runs) <= 1
                assert response.status == 200 or not runs or response.status in (502, 504)
            for server in system.server_by_id.values():
                server.runs.clear()
            system.reconnect_to_servers(0)
            await asyncio.sleep(RETURN_SECONDS)


@pytest.mark.parametrize("mode", MODES)
async def test_a_node_sends_itself_again_after_each_end_of_a_cut(mode: deployment.CutMode) -> None:
    async with _fleet() as system:
        for turn in range(3):
            system.cut_from_servers(0, mode)
            responses = await _ask(system, (0,), 2.0, f"cut{turn}-")
            system.reconnect_to_servers(0)
            await asyncio.sleep(RETURN_SECONDS)
            others = [one._pool for one in system.nodes[1:]]  # noqa: SLF001
            opened = sum(pool.opened for pool in others)
            responses = await _ask(system, (0,), 1.0, f"back{turn}-")
            assert _served(responses) == len(responses)
            assert sum(pool.opened for pool in others) == opened


async def test_servers_are_not_blamed_by_nodes_that_don_t_reach_them() -> None:
    async with _fleet() as system:
        for number in (0, 1, 2):
            system.cut_from_servers(number, deployment.CutMode.RESET)
        await _ask(system, (0, 1, 2), 3.0, "cut")
        counts = [one._crashes.counts for one in system.nodes]  # noqa: SLF001
        now = asyncio.get_running_loop().time()
        assert not any(list(one.counted_crashes(1, now)) for one in counts)
        for placer in (one._placer for one in system.nodes):  # noqa: SLF001
            for server_id in system.server_by_id:
                instance = deployment.catalog.Instance(server_id, 1)
                assert not placer.health.is_suspect(instance, now)


async def test_the_directory_leaves_out_nodes_that_reach_no_server_while_others_do() -> None:
    async with _fleet() as system:
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        await _ask(system, (0,), 1.5)
        for number in range(NODES):
            listed = await system.directory(number)
            assert str(system.settings[0].caller_address) not in listed
            assert len(listed) == NODES - 1
            assert await system.readiness(number) == 200
        system.reconnect_to_servers(0)
        await asyncio.sleep(RETURN_SECONDS)
        assert len(await system.directory(1)) == NODES


async def test_a_server_that_is_reached_keeps_its_node_from_using_others() -> None:
    async with _fleet() as system:
        for server_id in ("e1", "e2", "e3", "p1", "p2"):
            system.server_by_id[server_id].close()
        await _ask(system, (0,), 2.0, "before")
        opened = [one._pool.opened for one in system.nodes[1:]]  # noqa: SLF001
        responses = await _ask(system, (0,), 2.0)
        assert [one._pool.opened for one in system.nodes[1:]] == opened  # noqa: SLF001
    assert _served(responses) == len(responses)


async def test_the_key_is_not_passed_on_and_the_deadline_is_what_is_left() -> None:
    async with _fleet() as system:
        system.cut_from_servers(0, deployment.CutMode.HANGING)
        await _ask(system, (0,), 1.0, "before")
        response = await _call(system, "/look/fine", 0, "k1", deadline_ms=2_000)
        (run,) = system.runs("k1")
    assert response.status == 200
    assert run.headers["x-tenant"] == "org"
    assert "x-api-key" not in run.headers
    assert not [name for name in run.headers if name.startswith("dragonflycove")]
    assert int(run.headers["x-deadline-ms"]) <= 2_000


async def test_a_request_is_relayed_once_at_most() -> None:
    async with _fleet(3) as system:
        for number in range(2):
            system.cut_from_servers(number, deployment.CutMode.REFUSED)
        serving = system.nodes[2]._relay_sender  # noqa: SLF001
        responses = await _ask(system, (0, 1), 2.0)
        assert serving.relayed == 0
    assert _served(responses) == len(responses)


async def test_a_caller_that_leaves_ends_its_relayed_request_at_the_server() -> None:
    async with _fleet() as system:
        for server in system.server_by_id.values():
            server.events, server.event_seconds = 100, 0.05
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        await _ask(system, (0,), 0.5, "before")
        asking = asyncio.ensure_future(_call(system, "/ask/long", 0, "c1"))
        await system.wait_for_run("c1")
        await asyncio.sleep(0.2)
        before = sum(one.disconnected_runs for one in system.server_by_id.values())
        asking.cancel()
        await asyncio.sleep(0.5)
        after = sum(one.disconnected_runs for one in system.server_by_id.values())
    assert after == before + 1


async def test_only_nodes_may_relay_requests() -> None:
    async with _fleet(2) as system:
        address = system.settings[1].relay_address
        headers = {"Host": "h.example", "X-Attempt-Id": "f1", "X-Deadline-Ms": "2000"}
        response = await deployment.exchange(address, b"POST", "/post/fine", headers)
        assert response.status == 400
        forged = {**headers, "dragonflycove-relayed": '["nobody",1,1,"plain","org",0,false]'}
        response = await deployment.exchange(address, b"POST", "/post/fine", forged)
        assert response.status == 503
        own = system.nodes[0]._own  # noqa: SLF001
        known = f'["{own.host}",{own.incarnation},1,"plain","org",0,false]'
        response = await deployment.exchange(
            address, b"POST", "/post/fine", {**headers, "dragonflycove-relayed": known}
        )
        assert response.status == 503
        assert not system.runs("f1")


async def test_a_node_that_stops_finishes_its_relayed_streams() -> None:
    async with _fleet(2) as system:
        for server in system.server_by_id.values():
            server.events, server.event_seconds = 40, 0.05
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        await _ask(system, (0,), 0.5, "before")
        asking = asyncio.ensure_future(_call(system, "/ask/long", 0, "d1", deadline_ms=9_000))
        await system.wait_for_run("d1")
        await asyncio.gather(system.nodes[1].stop(), asking)
    assert asking.result().status == 200
    assert asking.result().is_complete


async def test_relayed_requests_and_their_retries_are_charged_once() -> None:
    async with _fleet() as system:
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        await _ask(system, (0,), 1.0, "before")
        shares = [one._forwarder._retry_budget for one in system.nodes]  # noqa: SLF001
        now = asyncio.get_running_loop().time

        def counted() -> int:
            return sum(
                len(one._times_in_window(one._request_times_by_service, "plain", now()))
                for one in shares
            )  # noqa: SLF001

        before = counted()
        calls = [_call(system, "/look/fine", 0, f"b{number}") for number in range(10)]
        assert _served(await asyncio.gather(*calls)) == 10
        assert counted() == before + 10


@pytest.mark.parametrize("mode", MODES)
async def test_a_prompt_with_reservations_is_relayed_when_its_node_loses_all_servers(
    mode: deployment.CutMode,
) -> None:
    async with _fleet(3) as system:
        await asyncio.sleep(RETURN_SECONDS)  # All nodes know all engines then.
        system.cut_from_servers(0, mode)
        headers = {"X-Token-Counts": "300000,100", "X-Model": "m"}
        response = await system.call(
            "/review/long", attempt="v1", headers=headers, body=b"1", deadline_ms=3_900
        )
    assert response.status == 200
    assert response.is_complete
    assert len(system.runs("v1")) == 1


async def test_a_repeatable_request_goes_on_if_the_node_that_serves_it_is_cut_off_as_well() -> None:
    async with _fleet() as system:
        for server in system.server_by_id.values():
            server.events, server.event_seconds = 30, 0.06
        system.cut_from_servers(0, deployment.CutMode.RESET)
        await _ask(system, (0,), 0.5, "before")
        asking = asyncio.ensure_future(_call(system, "/ask/long", 0, "g1", deadline_ms=9_000))
        await system.wait_for_run("g1")
        await asyncio.sleep(0.5)
        serving = [
            number for number, one in enumerate(system.nodes) if one._relays._active  # noqa: SLF001
        ]
        for number in serving:
            system.cut_from_servers(number, deployment.CutMode.RESET)
        response = await asking
    assert serving
    assert response.status == 200
    assert response.is_complete
    events = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 31))
    assert response.body == events


async def test_a_stream_that_began_outlives_a_short_cut_of_all_nodes() -> None:
    async with _fleet(3) as system:
        for server in system.server_by_id.values():
            server.events, server.event_seconds = 30, 0.05
        asking = asyncio.ensure_future(_call(system, "/ask/long", 0, "h1", deadline_ms=9_000))
        await system.wait_for_run("h1")
        await asyncio.sleep(0.3)
        for number in range(3):
            system.cut_from_servers(number, deployment.CutMode.RESET)
        await asyncio.sleep(0.8)
        for number in range(3):
            system.reconnect_to_servers(number)
        response = await asking
    assert response.status == 200
    assert response.is_complete
    events = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 31))
    assert response.body == events


async def test_a_caller_cannot_forge_what_nodes_tell_each_other() -> None:
    async with _fleet() as system:
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        await _ask(system, (0,), 0.5, "before")
        own = system.nodes[0]._own  # noqa: SLF001
        forged = f'["{own.host}",{own.incarnation},1,"plain","other",0,false]'
        headers = {"dragonflycove-relayed": forged}
        response = await system.call("/look/fine", attempt="x1", method=b"GET", headers=headers)
        (run,) = system.runs("x1")
    assert response.status == 200
    assert run.headers["x-tenant"] == "org"
    assert "dragonflycove-relayed" not in run.headers
