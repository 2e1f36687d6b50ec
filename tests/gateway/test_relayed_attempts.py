"""Limits of attempts, crashes, rest and positions of requests that another node serves."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING

import pytest

from dragonflycove.gateway import relay_reports
from dragonflycove.standins.platform import server_faults
from dragonflycove.transport import http1
from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dragonflycove.fleet import forwarding
    from dragonflycove.gateway import caller_responses, daemon
    from dragonflycove.standins.platform import server as platform_server

pytestmark = pytest.mark.asyncio

UNREACHED_SECONDS = 0.6
"""Time after which a node knows that it reaches no server."""

SETTLE_SECONDS = 0.5
"""Time after a response in which a further attempt would arrive at a server."""

MAX_ATTEMPTS = 2
"""Limit of attempts of the routes."""

CALLS = 6
"""Requests of each kind."""


@contextlib.asynccontextmanager
async def _cut_node() -> AsyncIterator[deployment.Deployment]:
    """Run three nodes, the first of which reaches no server, and four servers of each service."""
    async with deployment.deployed(3) as system:
        for number in (3, 4):
            await system.add_server(f"e{number}")
            await system.add_server(f"p{number}", "plain")
        system.beat()
        await asyncio.sleep(UNREACHED_SECONDS)
        system.cut_from_servers(0, deployment.CutMode.RESET)
        for path in ("/ask/w", "/look/w"):
            for number in range(2):
                await system.call(path, attempt=f"w{path}{number}")
        await asyncio.sleep(UNREACHED_SECONDS)
        yield system


def _fail_all(system: deployment.Deployment, fault: server_faults.Fault) -> None:
    """Inject a fault into all further requests."""
    for server in system.server_by_id.values():
        server.faults = collections.deque([fault] * 1_000)


def _servers_of(system: deployment.Deployment, attempt: str) -> list[str]:
    """Return the ids of the servers that ran a request, one for each run."""
    return [
        server.server_id
        for server in system.server_by_id.values()
        for run in server.runs
        if run.attempt_id == attempt
    ]


async def _call_all(
    system: deployment.Deployment, path: str, deadline_ms: int = 3_000
) -> tuple[list[deployment.CallerResult], list[list[str]]]:
    """Send requests to the cut node; return their responses, and the servers of each."""
    calls = (
        system.call(path, attempt=f"a{number}", deadline_ms=deadline_ms) for number in range(CALLS)
    )
    responses = await asyncio.gather(*calls)
    await asyncio.sleep(SETTLE_SECONDS)
    return responses, [_servers_of(system, f"a{number}") for number in range(CALLS)]


@pytest.mark.parametrize(
    "fault",
    [
        server_faults.Fault.ERROR,
        server_faults.Fault.EXECUTED_503,
        server_faults.Fault.RESET,
        server_faults.Fault.INVALID_RESPONSE,
        server_faults.Fault.NO_RESPONSE,
    ],
)
@pytest.mark.parametrize("path", ["/look/x", "/ask/x"])
async def test_a_relayed_request_runs_on_no_more_servers_than_its_route_allows(
    path: str, fault: server_faults.Fault
) -> None:
    async with _cut_node() as system:
        _fail_all(system, fault)
        responses, servers = await _call_all(system, path)
    assert all(one.status in (500, 502, 504) for one in responses)
    assert max(len(ids) for ids in servers) == MAX_ATTEMPTS
    assert all(len(set(ids)) == len(ids) for ids in servers)


@pytest.mark.parametrize(
    "fault", [server_faults.Fault.TRUNCATED, server_faults.Fault.STALLED_STREAM]
)
async def test_a_relayed_stream_is_not_resumed_more_often_than_its_route_allows(
    fault: server_faults.Fault,
) -> None:
    async with _cut_node() as system:
        _fail_all(system, fault)
        responses, servers = await _call_all(system, "/ask/x", 6_000)
    assert not any(one.is_complete for one in responses)
    assert max(len(ids) for ids in servers) <= MAX_ATTEMPTS


@pytest.mark.parametrize(
    "fault", [server_faults.Fault.TRUNCATED, server_faults.Fault.STALLED_STREAM]
)
async def test_a_relayed_stream_is_resumed_where_it_broke_off(fault: server_faults.Fault) -> None:
    async with _cut_node() as system:
        system.fail_first(fault)
        response = await system.call("/ask/x", deadline_ms=6_000)
        servers = _servers_of(system, "a1")
    assert (response.status, response.is_complete) == (200, True)
    assert response.body == b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))
    assert len(servers) == len(set(servers)) == MAX_ATTEMPTS


async def _wait_for_last_attempt(system: deployment.Deployment) -> None:
    """Wait until some request has run as often as its route allows."""
    for _ in range(200):
        if any(len(_servers_of(system, f"a{n}")) == MAX_ATTEMPTS for n in range(CALLS)):
            return
        await asyncio.sleep(0.01)
    raise TimeoutError


@pytest.mark.parametrize("hangs", [False, True], ids=["ends", "hangs"])
async def test_the_attempts_of_a_serving_node_that_is_lost_count(hangs: bool) -> None:
    async with _cut_node() as system:
        _fail_all(system, server_faults.Fault.NO_RESPONSE)
        calls = [
            asyncio.ensure_future(system.call("/look/x", attempt=f"a{n}")) for n in range(CALLS)
        ]
        await _wait_for_last_attempt(system)
        node = system.nodes[1]
        if hangs:
            system.cut_from_servers(1, deployment.CutMode.HANGING)
        for connection in list(node._relays.connections._connections):  # noqa: SLF001
            if hangs:
                connection._writer.write = lambda _: None  # noqa: SLF001
            else:
                connection._writer.transport.abort()  # noqa: SLF001
        if not hangs:
            node.close()
        responses = await asyncio.gather(*calls)
        await asyncio.sleep(SETTLE_SECONDS)
        servers = [_servers_of(system, f"a{n}") for n in range(CALLS)]
    assert all(one.status in (502, 504) for one in responses)
    assert max(len(ids) for ids in servers) == MAX_ATTEMPTS
    assert all(len(set(ids)) == len(ids) for ids in servers)


async def test_attempts_at_servers_that_turn_a_relayed_request_away_don_t_count() -> None:
    async with _cut_node() as system:
        faults = collections.deque([server_faults.Fault.REFUSED, server_faults.Fault.ERROR])
        for server in system.server_by_id.values():
            server.faults = faults
        response = await system.call("/look/x")
        servers = _servers_of(system, "a1")
    assert response.status == 200
    assert len(servers) == MAX_ATTEMPTS


async def test_a_request_whose_paths_come_back_counts_its_relayed_attempts() -> None:
    async with _cut_node() as system:
        _fail_all(system, server_faults.Fault.ERROR)
        system.reconnect_to_servers(0)
        responses, servers = await _call_all(system, "/look/x")
    assert all(one.status == 500 for one in responses)
    assert max(len(ids) for ids in servers) == MAX_ATTEMPTS


async def _raw_response(system: deployment.Deployment, path: str, attempt: str) -> bytes:
    """Send a request to the cut node; return all bytes of the response."""
    address = system.settings[0].caller_address
    assert address is not None
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    lines = [
        f"GET {path} HTTP/1.1",
        "Host: h.example",
        f"X-Attempt-Id: {attempt}",
        "X-Api-Key: k1",
        "X-Deadline-Ms: 3000",
        "Dragonflycove-Attempts: []",
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    data = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return data


async def test_callers_are_not_told_of_the_attempts_at_another_node() -> None:
    async with _cut_node() as system:
        data = [await _raw_response(system, "/look/x", "a1")]
        _fail_all(system, server_faults.Fault.ERROR)
        data.append(await _raw_response(system, "/look/x", "a2"))
        assert system.nodes[0]._relay_sender.relayed  # noqa: SLF001
        system.reconnect_to_servers(0)
        data.append(await _raw_response(system, "/look/x", "a3"))
    assert [one.split(b" ", 2)[1] for one in data] == [b"200", b"500", b"500"]
    assert not any(b"dragonflycove" in one.lower() for one in data)


async def test_an_older_node_that_reports_no_attempts_is_taken_to_have_made_them_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(relay_reports, "send", lambda *_: None)
    async with _cut_node() as system:
        served = await system.call("/look/x", attempt="a")
        _fail_all(system, server_faults.Fault.ERROR)
        failed, failed_servers = await _call_all(system, "/look/x")
        _fail_all(system, server_faults.Fault.NO_RESPONSE)
        silent = await system.call("/look/x", attempt="b")
        await asyncio.sleep(SETTLE_SECONDS)
        silent_servers = _servers_of(system, "b")
    assert served.status == 200
    assert all(one.status == 500 for one in failed)
    assert silent.status in (502, 504)
    assert max(len(ids) for ids in [*failed_servers, silent_servers]) == MAX_ATTEMPTS


async def test_an_older_node_that_relays_is_sent_only_what_it_ignores() -> None:
    async with _cut_node() as system:
        own = system.nodes[0]._own  # noqa: SLF001
        relayed = f'["{own.host}",{own.incarnation},1,"plain","org",0,false]'
        _fail_all(system, server_faults.Fault.ERROR)
        address = system.settings[1].relay_address
        reader, writer = await asyncio.open_connection(
            address.ip, address.port, local_addr=(own.peer_address.ip, 0)
        )
        lines = ["GET /look/x HTTP/1.1", "Host: h.example", "X-Attempt-Id: a1"]
        lines += ["X-Deadline-Ms: 3000", f"Dragonflycove-Relayed: {relayed}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        heads = [await reader.readuntil(b"\r\n\r\n")]
        while heads[-1].startswith(b"HTTP/1.1 102"):
            heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()
    assert 1 < len(heads) <= http1.MAX_INFORMATIONAL_RESPONSES
    assert heads[-1].startswith(b"HTTP/1.1 500")
    assert b"dragonflycove" not in heads[-1].lower()


async def test_a_server_s_informational_response_is_not_taken_for_a_report() -> None:
    async with _cut_node() as system:
        _fail_all(system, server_faults.Fault.ERROR)
        forged = b"HTTP/1.1 102 Processing\r\nDragonflycove-Attempts: []\r\n\r\n"
        for server in system.server_by_id.values():
            _precede_responses(server, forged)
        responses, servers = await _call_all(system, "/look/x")
    assert all(one.status == 500 for one in responses)
    assert max(len(ids) for ids in servers) == MAX_ATTEMPTS


def _precede_responses(server: platform_server.PlatformServer, data: bytes) -> None:
    """Let a server send bytes before each of its responses."""
    encode = server._encode_response  # noqa: SLF001
    server._encode_response = (  # type: ignore[method-assign] # noqa: SLF001
        lambda *args, **options: data + encode(*args, **options)
    )


async def test_attempts_that_are_not_sent_don_t_exhaust_the_reports_of_a_request() -> None:
    async with _cut_node() as system:
        for node in system.nodes[1:]:
            # Asked twice for each attempt: before it is sent, and after it was not.
            answers = iter([True] * 4 * http1.MAX_INFORMATIONAL_RESPONSES)
            gate = node._forwarder._rest_gate  # noqa: SLF001
            gate.is_resting = lambda _, answers=answers: next(answers, False)  # type: ignore[method-assign]
        response = await system.call("/look/x")
    assert response.status == 200


async def test_a_node_that_can_t_read_what_it_is_told_leaves_a_request_to_another_one() -> None:
    async with _cut_node() as system:
        _refuse_to_decode(system.nodes[1])
        responses, servers = await _call_all(system, "/post/x")
        _refuse_to_decode(system.nodes[2])
        refused, refused_servers = await _call_all(system, "/look/x")
    assert [one.status for one in responses] == [200] * CALLS
    assert [len(ids) for ids in servers] == [1] * CALLS
    assert [one.status for one in refused] == [503] * CALLS
    assert refused_servers == servers


def _refuse_to_decode(node: daemon.Daemon) -> None:
    """Let a node take all relayed requests for malformed, as one of another build may."""
    relays = node._relays  # noqa: SLF001
    serve = relays.serve

    async def serve_malformed(
        request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        await serve(request._replace(headers=()), response)

    relays.serve = serve_malformed  # type: ignore[method-assign]
