"""Each rule of the platform, against simulated store and servers over loopback connections."""

from __future__ import annotations

import asyncio

import pytest

from dragonflycove.standins.platform.server_faults import Fault
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio

COMPLETE_STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6))


async def test_a_call_is_forwarded_unchanged_and_its_response_is_complete() -> None:
    async with deployment.deployed() as system:
        response = await system.call("/post/x?y=1", body=b"content", headers={"X-Own": "v"})
        (run,) = system.runs()
    assert (response.status, response.body, response.is_complete) == (200, b"done a1", True)
    assert response.headers["x-server-stamp"]
    assert (run.method, run.target, run.body) == ("POST", "/post/x?y=1", b"content")
    assert run.headers["x-own"] == "v"
    assert run.headers["x-tenant"] == "org"
    assert run.headers["x-expect-instance"] in ("p1", "p2")
    assert "x-api-key" not in run.headers
    assert 0 < int(run.headers["x-deadline-ms"]) <= 3_000


async def test_a_stream_is_relayed_with_all_events() -> None:
    async with deployment.deployed() as system:
        for server in system.server_by_id.values():
            server.event_seconds = 0.05
        response = await system.call("/ask/x", body=b"prompt")
    assert (response.status, response.body, response.is_complete) == (200, COMPLETE_STREAM, True)


async def test_the_callers_own_routing_headers_are_dropped() -> None:
    forged = {"X-Tenant": "other", "X-Expect-Instance": "zz", "X-Helpers": "1.2.3.4:5"}
    async with deployment.deployed() as system:
        response = await system.call("/post/x", headers=forged)
        (run,) = system.runs()
    assert response.status == 200
    assert run.headers["x-tenant"] == "org"
    assert "x-helpers" not in run.headers


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/none/x", "k1", 404),
        ("/post/x", "zz", 401),
        ("/post/x", None, 401),
        ("/open/x", None, 200),
    ],
)
async def test_unknown_routes_and_keys_are_refused(path: str, key: str, status: int) -> None:
    async with deployment.deployed() as system:
        response = await system.call(path, key=key)
    assert response.status == status


@pytest.mark.parametrize(
    "fault",
    [
        Fault.RESET,
        Fault.TRUNCATED,
        Fault.INVALID_RESPONSE,
        Fault.UNFRAMED_RESET,
        Fault.EXECUTED_503,
    ],
)
async def test_a_non_idempotent_call_that_may_have_run_is_not_retried_and_gets_502(
    fault: Fault,
) -> None:
    async with deployment.deployed() as system:
        for name in ("p1", "p2"):
            system.server_by_id[name].faults.append(fault)
        response = await system.call("/post/x")
        runs = system.runs()
    assert len(runs) == 1
    assert response.status == 502
    assert "x-server-stamp" not in response.headers


@pytest.mark.parametrize("fault", [Fault.REFUSED, Fault.MISDIRECTED])
async def test_a_non_idempotent_call_that_did_not_run_is_retried_at_another_server(
    fault: Fault,
) -> None:
    async with deployment.deployed() as system:
        for name in ("p1", "p2"):
            system.server_by_id[name].faults.append(fault)
        response = await system.call("/post/x")
        # Both servers refuse once, so nothing ran and 503 is right.
        assert (response.status, system.runs()) == (503, [])
        assert float(response.headers["retry-after"]) > 0
        assert (await system.call("/post/x", attempt="a2")).status == 200


@pytest.mark.parametrize(
    "fault",
    [
        Fault.RESET,
        Fault.TRUNCATED,
        Fault.INVALID_RESPONSE,
        Fault.ERROR,
        Fault.UNSIGNED,
        Fault.NO_RESPONSE,
    ],
)
async def test_an_idempotent_call_is_retried_after_a_fault(fault: Fault) -> None:
    async with deployment.deployed() as system:
        system.fail_first(fault)
        response = await system.call("/look/x", method=b"GET")
    assert (response.status, response.body) == (200, b"done a1")
    assert len(system.runs()) == 2


async def test_a_failure_response_of_the_server_is_relayed_unchanged() -> None:
    async with deployment.deployed() as system:
        for name in ("p1", "p2"):
            system.server_by_id[name].faults.append(Fault.ERROR)
        response = await system.call("/post/x")
    assert (response.status, response.body) == (500, b"failed")
    assert response.headers["x-server-stamp"]


@pytest.mark.parametrize("fault", [Fault.EXTRA_RESPONSE, Fault.LATE_EXTRA_RESPONSE])
async def test_a_surplus_response_reaches_no_caller(fault: Fault) -> None:
    async with deployment.deployed() as system:
        for name in ("p1", "p2"):
            system.server_by_id[name].faults.append(fault)
        bodies = []
        for number in range(6):
            response = await system.call("/look/x", method=b"GET", attempt=f"b{number}")
            bodies.append(response.body)
    assert bodies == [f"done b{number}".encode() for number in range(6)]


async def test_a_response_without_a_length_ends_with_its_connection() -> None:
    async with deployment.deployed() as system:
        for name in ("p1", "p2"):
            system.server_by_id[name].faults.append(Fault.UNFRAMED)
        response = await system.call("/post/x")
    assert (response.status, response.body, response.is_complete) == (200, b"done a1", True)


async def test_an_early_refusal_leaves_no_bytes_for_the_next_request() -> None:
    async with deployment.deployed() as system:
        for name in ("p1", "p2"):
            system.server_by_id[name].faults.append(Fault.EARLY_REFUSAL)
        await system.call("/look/x", body=b"z" * 60_000)
        responses = [await system.call("/look/x", attempt=f"c{n}", body=b"y") for n in range(4)]
    assert [response.body for response in responses] == [f"done c{n}".encode() for n in range(4)]
    assert all(run.body in (b"y", b"z" * 60_000) for run in system.runs("a1") + system.runs("c1"))


@pytest.mark.parametrize("fault", [Fault.TRUNCATED, Fault.STALLED_STREAM, Fault.RESET, Fault.ERROR])
async def test_an_interrupted_stream_is_resumed_at_another_server(fault: Fault) -> None:
    async with deployment.deployed() as system:
        system.fail_first(fault)
        response = await system.call("/ask/x")
    assert (response.status, response.body, response.is_complete) == (200, COMPLETE_STREAM, True)


async def test_a_stream_that_breaks_at_every_server_does_not_look_complete() -> None:
    async with deployment.deployed() as system:
        for name in ("e1", "e2"):
            system.server_by_id[name].faults.extend([Fault.TRUNCATED] * 4)
        response = await system.call("/ask/x")
    assert not response.is_complete
    assert COMPLETE_STREAM.startswith(response.body)
    assert len(system.runs()) == 2


async def test_a_stream_without_an_attempt_left_is_not_cut_for_a_long_gap() -> None:
    # A stream that had been moved once, and so had no attempt left, was cut after a gap of 0.9 s.
    async with deployment.deployed() as system:
        value = deployment.configuration(2)
        value["routes"][0]["max_attempts"] = 1  # type: ignore[index]
        system.store.put("keyed.op", "config", value)
        await asyncio.sleep(0.7)
        for name in ("e1", "e2"):
            system.server_by_id[name].event_seconds = 1.3
            system.server_by_id[name].events = 2
        response = await system.call("/ask/x", deadline_ms=8_000)
    assert (response.status, response.is_complete) == (200, True)
    assert len(system.runs()) == 1


async def test_a_resumed_stream_begins_after_the_callers_last_event() -> None:
    async with deployment.deployed() as system:
        response = await system.call("/ask/x", headers={"Last-Event-Id": "3"})
        (run,) = system.runs()
    assert run.headers["last-event-id"] == "3"
    assert response.body == b"id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"


async def test_a_server_stops_generating_when_its_caller_disconnects() -> None:
    async with deployment.deployed() as system:
        for name in ("e1", "e2"):
            system.server_by_id[name].event_seconds = 0.1
            system.server_by_id[name].events = 100
        task = asyncio.ensure_future(system.call("/ask/x"))
        await system.wait_for_run()
        task.cancel()
        await asyncio.sleep(0.4)
        cut = [system.server_by_id[name].disconnected_runs for name in ("e1", "e2")]
    assert sum(cut) == 1


async def test_the_final_response_comes_shortly_after_the_deadline() -> None:
    async with deployment.deployed() as system:
        for name in ("p1", "p2"):
            system.server_by_id[name].faults.extend([Fault.NO_RESPONSE] * 2)
        started_at = asyncio.get_running_loop().time()
        response = await system.call("/post/x", deadline_ms=600)
        seconds = asyncio.get_running_loop().time() - started_at
    assert response.status == 504
    assert seconds < 0.6 + 0.5


async def test_a_draining_server_gets_no_requests_after_a_second() -> None:
    async with deployment.deployed() as system:
        system.register("p1", "plain", state="draining")
        await asyncio.sleep(1.0)
        for number in range(10):
            await system.call("/look/x", method=b"GET", attempt=f"d{number}")
        assert system.server_by_id["p1"].arrivals == 0
        assert system.server_by_id["p2"].arrivals == 10


async def test_an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() -> None:
    async with deployment.deployed() as system:
        system.store.put("keyed.op", "evacuate/z1", {})
        await asyncio.sleep(1.0)
        refused = await system.call("/look/x", method=b"GET")
        system.store.put("keyed.op", "evacuate/z1", None)
        await asyncio.sleep(1.0)
        served = await system.call("/look/x", method=b"GET", attempt="a2")
    assert (refused.status, served.status) == (503, 200)
    assert system.runs("a1") == []


async def test_a_revoked_key_is_refused_and_other_keys_are_served() -> None:
    async with deployment.deployed() as system:
        value = deployment.configuration(9, tenants=[{"name": "other", "api_keys": ["k2"]}])
        system.store.put("keyed.op", "config", value)
        await asyncio.sleep(1.0)
        responses = [(await system.call("/post/x", key=key)).status for key in ("k1", "k2")]
    assert responses == [401, 200]


async def test_a_node_without_responses_from_the_store_gets_records_from_another_node() -> None:
    async with deployment.deployed(nodes=2) as system:
        await asyncio.sleep(0.6)
        system.faults[0].is_unresponsive = True
        system.register("p1", "plain", state="draining")
        value = deployment.configuration(9, tenants=[{"name": "other", "api_keys": ["k2"]}])
        system.store.put("keyed.op", "config", value)
        await asyncio.sleep(2.0)
        revoked = await system.call("/post/x", key="k1")
        for number in range(6):
            await system.call("/look/x", method=b"GET", key="k2", attempt=f"e{number}")
        assert revoked.status == 401
        assert system.server_by_id["p1"].arrivals == 0


async def test_calls_are_served_while_the_store_is_unavailable() -> None:
    async with deployment.deployed() as system:
        system.faults[0].refusal_status = 503
        await asyncio.sleep(1.5)
        assert (await system.call("/post/x")).status == 200
        assert await system.readiness() == 200


async def test_a_node_lists_all_keys_again_when_the_records_at_its_offset_are_deleted() -> None:
    async with deployment.deployed() as system:
        system.faults[0].refusal_status = 503
        await asyncio.sleep(0.6)
        system.register("p1", "plain", state="draining")
        system.store.put("keyed.servers", "p2", None)
        system.store.compact_topic("keyed.servers")
        system.faults[0].refusal_status = 0
        await asyncio.sleep(1.5)
        assert (await system.call("/post/x")).status == 503


async def test_a_node_without_a_configuration_refuses_and_is_not_ready() -> None:
    system = deployment.Deployment()
    try:
        with pytest.raises(TimeoutError):
            deployment.READY_TIMEOUT_SECONDS = 0.3
            await system.add_node()
        assert (await system.call("/post/x")).status == 503
    finally:
        deployment.READY_TIMEOUT_SECONDS = 5.0
        system.close()


async def test_a_stopping_node_finishes_streams_and_leaves_the_directory() -> None:
    async with deployment.deployed(nodes=2) as system:
        await asyncio.sleep(0.6)
        for name in ("e1", "e2"):
            system.server_by_id[name].event_seconds = 0.2
        task = asyncio.ensure_future(system.call("/ask/x", node=1))
        await system.wait_for_run()
        stopping = asyncio.ensure_future(system.nodes[1].stop())
        await asyncio.sleep(0.3)
        assert await system.readiness(1) == 503
        late = await system.call("/look/x", method=b"GET", node=1, attempt="a2")
        directory = system.settings[0].directory_address
        assert directory is not None
        named = await deployment.exchange(
            directory, b"GET", "/resolve?name=h.example&region=r1&zone=z1", {}
        )
        response = await task
        await stopping
    assert (response.body, response.is_complete) == (COMPLETE_STREAM, True)
    assert (late.status, late.headers.get("connection")) == (200, "close")
    assert str(system.settings[0].caller_address).encode() in named.body
    assert str(system.settings[1].caller_address).encode() not in named.body


async def test_a_draining_node_accepts_calls_but_after_a_while_no_streams() -> None:
    # A stream accepted 3.1 s after SIGTERM was cut, which counted as LOST.
    async with deployment.deployed(nodes=2) as system:
        stopping = asyncio.ensure_future(system.nodes[1].stop())
        await asyncio.sleep(2.0)
        early = await system.call("/ask/x", node=1, attempt="a1")
        await asyncio.sleep(1.0)
        late = await system.call("/ask/x", node=1, attempt="a2")
        lookup = await system.call("/look/x", method=b"GET", node=1, attempt="a3")
        await stopping
        runs = system.runs("a2")
    assert (early.status, late.status, lookup.status) == (200, 503, 200)
    assert float(late.headers["retry-after"]) < 1.0
    assert runs == []


async def test_a_stop_ends_within_its_grace_time_though_releases_get_no_response() -> None:
    async with deployment.deployed() as system:
        node = system.nodes[0]
        bounds = node._settings.bounds._replace(grace_seconds=1.5)  # noqa: SLF001
        node.settings.current = node.settings.current._replace(bounds=bounds)
        for server in system.server_by_id.values():
            server.event_seconds = 1.0
        task = asyncio.ensure_future(system.call("/ask/x"))
        await system.wait_for_run()
        unanswered = asyncio.ensure_future(asyncio.sleep(9.0))
        node._reservation_manager._release_tasks.add(unanswered)  # noqa: SLF001
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await node.stop()
        duration = loop.time() - started_at
        unanswered.cancel()
        task.cancel()
    # A stream may be cut in the last sixth of the grace time, and the process must exit by itself.
    assert 1.25 < duration < 1.5


async def test_a_request_that_crashes_servers_is_refused_after_the_third() -> None:
    async with deployment.deployed() as system:
        for number in range(6):
            await system.add_crashing_server(f"c{number}", "/ask/bad")
        for name in ("e1", "e2"):
            await system.remove_server(name)
        await asyncio.sleep(1.5)
        for number in range(4):
            last = await system.call("/ask/bad", attempt=f"f{number}")
        arrivals = sum(server.arrivals for server in system.server_by_id.values())
    assert arrivals == len(system.crash_times_by_path["/ask/bad"]) == 3
    assert last.status == 503
    assert float(last.headers["retry-after"]) > 500


async def test_reservations_are_released_after_the_response() -> None:
    async with deployment.deployed() as system:
        headers = {"X-Token-Counts": "300000,100"}
        response = await system.call("/review/x", headers=headers, deadline_ms=9_000)
        await asyncio.sleep(0.1)
        (run,) = system.runs()
        left = [server.reserved_tokens_by_id for server in system.server_by_id.values()]
    assert response.is_complete
    assert "/" in run.headers["x-helpers"]
    assert left == [{}, {}, {}, {}]


async def test_a_prompt_is_retried_without_the_helper_that_refused() -> None:
    # Four attempts named the same draining helper, which refused each time, and then the caller was
    # refused.
    async with deployment.deployed() as system:
        await system.add_server("e3")
        await asyncio.sleep(1.0)
        leaving = str(system.address_by_id["e3"])
        for server in system.server_by_id.values():
            server.refusing_helper_addresses.add(leaving)
        headers = {"X-Token-Counts": "300000,100"}
        arrivals = []
        for number in range(2):
            response = await system.call(
                "/review/x", headers=headers, attempt=f"h{number}", deadline_ms=9_000
            )
            assert (response.status, response.is_complete) == (200, True)
            arrivals.append(sum(server.arrivals for server in system.server_by_id.values()))
    # The first prompt takes two attempts; the second avoids the refusing helper and takes one.
    assert arrivals == [2, 3]


async def test_a_body_over_the_limit_is_rejected() -> None:
    async with deployment.deployed() as system:
        response = await system.call("/post/x", body=b"x" * 200_000)
    assert response.status in (0, 413)
    assert system.runs() == []


async def test_one_caller_connection_carries_many_requests() -> None:
    async with deployment.deployed() as system:
        address = system.settings[0].caller_address
        assert address is not None
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        headers = {"Host": "h.example", "X-Api-Key": "k1", "X-Deadline-Ms": "2000"}
        for number in range(5):
            one = headers | {"X-Attempt-Id": f"g{number}"}
            response = await deployment.exchange_on(reader, writer, b"GET", "/look/x", one)
            assert response.body == f"done g{number}".encode()
        writer.close()


async def test_a_request_runs_on_no_more_living_servers_than_its_route_allows() -> None:
    async with deployment.deployed() as system:
        for number in range(3, 7):
            await system.add_server(f"p{number}", "plain")
        await asyncio.sleep(1.5)
        calls = (
            system.call("/look/x", method=b"GET", attempt=f"w{number}") for number in range(40)
        )
        await asyncio.gather(*calls)
        for server in system.server_by_id.values():
            server.faults.extend([Fault.RESET] * 3)
        await system.call("/look/x", method=b"GET")
        runs = system.runs()
    assert len(runs) <= 2
