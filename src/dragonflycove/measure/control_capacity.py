"""Measures how the costs of a node's control tasks grow with the size of the deployment."""

from __future__ import annotations

import asyncio
import random
import threading
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from dragonflycove.backends import engine_client, engine_stream
from dragonflycove.measure import capacity, workload
from dragonflycove.operators import change_cost
from dragonflycove.peering import codec, messages
from dragonflycove.peering import measurement as peer_measurement
from dragonflycove.quarantine import quarantine, records
from dragonflycove.routing import load_digests
from dragonflycove.shares import cold_start, share_table, subsets
from dragonflycove.standins import builders, clock, serving
from dragonflycove.transport import sessions
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.configuration import schema

NODE_COUNTS = (40, 160, 320)
"""Numbers of nodes at which costs are measured."""

SUBSET_SERVER_COUNTS = (6, 24, 96)
"""Sizes of a node's subset of the backend servers."""

FLEET_SERVER_COUNTS = (150, 300, 600)
"""Numbers of backend servers in the whole fleet."""

ORGANISATION_COUNTS = (1_000, 8_000, 26_000)
"""Numbers of organisations at which costs are measured."""

STREAM_COUNTS = (0, 50, 200)
"""Numbers of streams that an engine lists when it is polled."""

POLLS = 300
"""Number of polls of an engine over which the CPU time is averaged."""

REPETITIONS = 20
"""Number of calls over which the CPU time of a computation is averaged."""

MEMBERSHIP_SECONDS = 60.0
"""Virtual time for which the membership protocol is simulated."""

HEADER = messages.Header("entry-100/start-0123456789abcdef01234567", 12_345, 1_234_567, 0.5)
"""Header of typical size, for measuring encoded messages."""


class PollCost(NamedTuple):
    """Cost of polling an engine once."""

    cpu_microseconds: float
    """CPU time at the node."""

    wire_bytes: float
    """Bytes of requests and responses, headers included."""


def measure(seed: int) -> list[capacity.Slope]:
    """Measure the slopes of the control tasks' costs.

    Args:
        seed: Seed of the membership simulation.

    Returns:
        One slope for each cost.
    """
    return [
        *_measure_membership(seed),
        *_measure_shares(),
        *_measure_configuration(),
        *_measure_quarantine(),
        *_measure_digests(),
        *_measure_polls(),
    ]


def _measure_membership(seed: int) -> list[capacity.Slope]:
    costs = {
        count: peer_measurement.measure_membership(count, MEMBERSHIP_SECONDS, seed)
        for count in NODE_COUNTS
    }
    sent = {count: cost.sent_bytes_per_second for count, cost in costs.items()}
    cpu = {count: cost.cpu_fraction * 1e6 for count, cost in costs.items()}
    return [
        capacity.fit("membership, sent", "bytes a second per peer", sent),
        capacity.fit("membership, CPU", "us a second per peer", cpu),
    ]


def _measure_shares() -> list[capacity.Slope]:
    review = {count: _review_microseconds(320, count) for count in SUBSET_SERVER_COUNTS}
    host_change = {count: _host_change_microseconds(count) for count in NODE_COUNTS}
    subset = {count: _subset_microseconds(320, count) for count in FLEET_SERVER_COUNTS}
    return [
        capacity.fit("review of limits at 320 hosts", "us per server and review", review),
        capacity.fit("change of the host list, 24 servers", "us per host", host_change),
        capacity.fit("choice of the subset at 320 hosts", "us per server", subset),
    ]


def _make_servers(count: int) -> dict[str, schema.Server]:
    size = workload.COOPERATIVE._replace(model_servers=count)
    return workload.make_configuration(size).servers_by_id


def _make_shares(hosts: int) -> share_table.ShareTable:
    table = share_table.ShareTable("host-0", 3.0, 15.0)
    names = frozenset(f"host-{number}" for number in range(hosts))
    for second in range(60):
        table.on_host_list(names, 0.5, float(second))
    return table


def _review_microseconds(hosts: int, servers: int) -> float:
    """Return the CPU time of computing a node's limits once, microseconds."""
    table = _make_shares(hosts)
    tracker = cold_start.ColdStartTracker(_make_servers(servers))
    tracker.node_limits(table, 60.0)
    return _mean_call_microseconds(lambda turn: tracker.node_limits(table, 60.0 + turn / 100))


def _host_change_microseconds(hosts: int) -> float:
    """Return the CPU time of applying a changed host list to the limits, microseconds."""
    table = _make_shares(hosts)
    tracker = cold_start.ColdStartTracker(_make_servers(24))
    tracker.node_limits(table, 60.0)

    def change(turn: int) -> None:
        names = frozenset(f"host-{number}" for number in range(hosts - turn % 2))
        table.on_host_list(names, 0.5, 60.0 + turn / 100)
        tracker.node_limits(table, 60.0 + turn / 100)

    return _mean_call_microseconds(change)


def _subset_microseconds(hosts: int, servers: int) -> float:
    """Return the CPU time of choosing a node's subset of the servers, microseconds."""
    placed = frozenset(subsets.ZonedServer(f"server-{n}", f"zone-{n % 5}") for n in range(servers))
    before = time.thread_time_ns()
    for turn in range(2):
        table = subsets.SubsetTable("host-0")
        table.update({f"host-{n}": f"zone-{n % 5}" for n in range(hosts - turn)}, placed)
    return (time.thread_time_ns() - before) / 2_000


def _mean_call_microseconds(work: Callable[[int], object]) -> float:
    """Return the mean CPU time of one call, microseconds."""
    before = time.thread_time_ns()
    for turn in range(REPETITIONS):
        work(turn)
    return (time.thread_time_ns() - before) / 1_000 / REPETITIONS


def _measure_configuration() -> list[capacity.Slope]:
    costs = {count: change_cost.measure_change(count, 600) for count in ORGANISATION_COUNTS}
    edit = {count: cost.edit_seconds * 1e6 for count, cost in costs.items()}
    whole = {count: cost.whole_seconds * 1e6 for count, cost in costs.items()}
    size = {count: float(cost.edit_bytes) for count, cost in costs.items()}
    return [
        capacity.fit("edit of the text at 600 servers", "us per organisation", edit),
        capacity.fit("whole text at 600 servers", "us per organisation", whole),
        capacity.fit("record of an edit", "bytes per organisation", size),
    ]


def _measure_quarantine() -> list[capacity.Slope]:
    costs = {count: _flight_microseconds(count) for count in NODE_COUNTS}
    registry = codec.new_registry()
    registry.register("quarantine_flight", 1, records.Flight)
    flight = records.Flight(
        "organisation-12345/model-1/0123456789abcdef",
        "server-123",
        "request-0123456789abcdef01234567",
        HEADER.sender,
        True,
    )
    frame = float(len(registry.encode(HEADER, flight).unwrap()))
    per_request = (
        2 * quarantine.WITNESSES_PER_REQUEST * (frame + peer_measurement.FRAME_OVERHEAD_BYTES)
    )
    sizes = {count: per_request * count for count in (1, 10, 100)}
    return [
        capacity.fit("word of a request in flight, CPU", "us per request, per peer", costs),
        capacity.fit("word of requests in flight, sent", "bytes per request", sizes),
    ]


def _flight_microseconds(hosts: int) -> float:
    node = quarantine.Quarantine(_make_shares(hosts), identifiers.NodeIdentity("host-0", "1"))

    def run(turn: int) -> None:
        for number in range(50):
            request_id = f"{turn}-{number}"
            node.on_start(f"organisation/model/{turn}-{number}", "server-1", request_id, 60.0)
            node.on_end(request_id, True, 60.0)

    return _mean_call_microseconds(run) / 50


def _measure_digests() -> list[capacity.Slope]:
    registry = codec.new_registry()
    registry.register("load_digest", 1, load_digests.LoadDigest)
    sizes = {}
    for count in (0, 12, 48):
        pending_work = tuple(
            load_digests.PendingServerWork(f"server-{number}", (12_345, 123_456), 234_567, 3)
            for number in range(count)
        )
        lanes = tuple(
            load_digests.ModelLaneLoad(f"model-{number}", (1_000,) * 4, (123.4,) * 4)
            for number in range(5)
        )
        digest = load_digests.LoadDigest("entry-100", 0.0, pending_work, lanes)
        sizes[count] = float(len(registry.encode(HEADER, digest).unwrap()))
    return [capacity.fit("load digest of 5 models", "bytes per engine with work", sizes)]


def _measure_polls() -> list[capacity.Slope]:
    cost_by_streams = {count: _poll_engine(count) for count in STREAM_COUNTS}
    cpu = {count: cost.cpu_microseconds for count, cost in cost_by_streams.items()}
    size = {count: cost.wire_bytes for count, cost in cost_by_streams.items()}
    return [
        capacity.fit("reading of an engine's load and streams, CPU", "us per stream", cpu),
        capacity.fit("reading of an engine's load and streams", "bytes per stream", size),
    ]


def _poll_engine(streams: int) -> PollCost:
    """Poll the load and the streams of an engine stand-in that runs on another thread."""
    started = threading.Event()
    stop = threading.Event()
    address: list[str] = []

    async def serve() -> None:
        parameters: dict[str, Any] = {
            "models": ["m"],
            "starts_cold": False,
            "concurrency": 1_000,
            "keep_seconds": 600.0,
        }
        standin = builders.build_engine(parameters, clock.unix_clock())
        async with serving.serve(standin, "127.0.0.1:0", 1) as where:
            address.append(where)
            started.set()
            while not stop.is_set():  # noqa: ASYNC110 - set by another thread
                await asyncio.sleep(0.05)

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    started.wait()
    try:
        return asyncio.run(_time_polls(address[0], streams))
    finally:
        stop.set()
        thread.join()


async def _time_polls(address: str, streams: int) -> PollCost:
    session = sessions.open_pooled()
    client = engine_client.EngineClient(session)
    try:
        await _start_streams(client, address, streams)
        size = 0.0
        for path in ("/v1/load", "/v1/streams"):
            size += await _get_and_count_bytes(address, path)
        before = time.thread_time_ns()
        for _ in range(POLLS):
            await client.load(address, 5.0)
            await client.streams(address, 5.0)
        return PollCost((time.thread_time_ns() - before) / 1_000 / POLLS, size)
    finally:
        await client.close()
        await session.close()


async def _start_streams(client: engine_client.EngineClient, address: str, streams: int) -> None:
    """Start streams and disconnect from each; the engine continues and lists them."""
    rng = random.Random(1)
    timeouts = engine_stream.StreamTimeouts(1.0, 5.0, 60.0)
    for number in range(streams):
        attempt = identifiers.new_id(rng, "attempt")
        order = engine_client.GenerateRequest(
            attempt, HEADER.sender, "m", f"prompt {number}", 500, 1
        )
        events = client.generate(address, order, timeouts)
        async for _ in events:
            break
        await events.aclose()  # type: ignore[attr-defined]


async def _get_and_count_bytes(address: str, path: str) -> float:
    """Send one GET on a new connection; return the bytes of request and response with headers."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    request = (
        f"GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: */*\r\n"
        "Accept-Encoding: gzip, deflate\r\nUser-Agent: Python/3.11 aiohttp/3.14\r\n"
        "Connection: close\r\n\r\n"
    ).encode()
    writer.write(request)
    response = await reader.read()
    writer.close()
    return float(len(request) + len(response))
