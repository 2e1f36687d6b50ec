"""Tests of the configuration, peer and membership tasks of several nodes on real sockets."""

from __future__ import annotations

import asyncio
import random
import socket
from typing import TYPE_CHECKING, NamedTuple

import cbor2
import fake_log
import ports
import pytest
import pytest_asyncio
import waiting
from websockets.asyncio import client

from dragonflycove.configuration import freshness, records
from dragonflycove.infrastructure import host_list_client
from dragonflycove.membership import digests
from dragonflycove.node import configuration_task, control_tasks, peer_task
from dragonflycove.peering import messages
from dragonflycove.telemetry import metrics
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.asyncio

CONFIGURATION_TEXT = '{"zones": ["cayambe"], "organisations": {"herders": {}}}'

BOUNDS = freshness.FreshnessBounds(3.5, 2.0, 0.5)


class Note(NamedTuple):
    """A message type registered by another task."""

    text: str


class Node:
    """The control tasks of one node, without its request path."""

    def __init__(self, host: str, address: str, log: fake_log.FakeLog) -> None:
        rng = random.Random(host)
        identity = identifiers.NodeIdentity(host, identifiers.new_id(rng, "start"))
        settings = configuration_task.ConfigurationTaskSettings(host, 86_400.0, BOUNDS)
        self.log = log
        self.address = address
        self.metrics = metrics.Metrics()
        self.configuration = configuration_task.ConfigurationTask(log, settings, rng)
        self.control = control_tasks.ControlTasks(
            control_tasks.ControlSettings(identity, address, 1.0),
            self.configuration,
            rng,
            self.metrics,
        )
        self.notes: list[str] = []
        self.control.peers.register("note", 1, Note)
        self.control.peers.handle(Note, lambda _, note: self.notes.append(note.text))
        self.running: asyncio.Task[None] | None = None

    @property
    def version(self) -> int:
        return self.configuration.configuration.version

    def start(self) -> None:
        self.running = asyncio.create_task(self.control.run())

    async def stop(self) -> None:
        if self.running is not None:
            self.running.cancel()
            await asyncio.gather(self.running, return_exceptions=True)


class Fleet:
    """Nodes that list each other as hosts; each uses the shared log or one of its own."""

    def __init__(self) -> None:
        self.log = fake_log.FakeLog()
        self.nodes_by_host: dict[str, Node] = {}

    def add(self, host: str, log: fake_log.FakeLog | None = None) -> Node:
        address = f"127.0.0.1:{ports.free_port()}"
        node = Node(host, address, log or self.log)
        self.nodes_by_host[host] = node
        entries = {
            name: host_list_client.ListedHost(name, "cayambe", "127.0.0.1:1", other.address, False)
            for name, other in self.nodes_by_host.items()
        }
        for other in self.nodes_by_host.values():
            other.control.on_hosts(host_list_client.HostList(0.0, entries))
        node.start()
        return node


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Yield a fleet without nodes; its nodes are stopped after the test."""
    new_fleet = Fleet()
    yield new_fleet
    await asyncio.gather(*(node.stop() for node in new_fleet.nodes_by_host.values()))


def publish(log: fake_log.FakeLog, base: int) -> None:
    """Append a valid configuration text based on version `base`."""
    log.put(records.TextProposed(f"op-{base}", base, "ana", CONFIGURATION_TEXT))


async def test_all_nodes_follow_the_log(fleet: Fleet) -> None:
    """Every version comes into force at every node, and subscribers get each one in order."""
    nodes = [fleet.add(host) for host in ("a", "b", "c")]
    seen: list[int] = []
    nodes[0].configuration.subscribe(lambda configuration: seen.append(configuration.version))
    for version in (1, 2):
        publish(fleet.log, version - 1)
        await waiting.wait_until(
            lambda: all(node.version == version for node in nodes)  # noqa: B023
        )
    assert seen == [1, 2]


async def test_fresh_node_starts_from_a_peer_with_the_log_down(fleet: Fleet) -> None:
    """A node that starts while the log is down gets the version in force from a peer."""
    publish(fleet.log, 0)
    first = fleet.add("a")
    await waiting.wait_until(lambda: first.version == 1)
    fleet.log.is_down = True
    fresh = fleet.add("b")
    assert not fresh.configuration.is_ready
    await waiting.wait_until(lambda: fresh.configuration.is_ready)
    assert fresh.version == 1
    fleet.log.is_down = False
    publish(fleet.log, 1)
    await waiting.wait_until(lambda: fresh.version == first.version == 2)


async def test_node_isolated_from_the_log_learns_of_a_zone_out_from_a_peer(fleet: Fleet) -> None:
    """A node that cannot reach the log gets the newer version from a peer."""
    publish(fleet.log, 0)
    own_log = fake_log.FakeLog()
    publish(own_log, 0)
    nodes = [fleet.add("a"), fleet.add("b", own_log)]
    await waiting.wait_until(lambda: all(node.version == 1 for node in nodes))
    own_log.is_down = True
    fleet.log.put(records.ZoneChanged("op-out", 1, "ana", "cayambe", True))
    await waiting.wait_until(lambda: nodes[1].version == 2)
    assert nodes[1].configuration.configuration.zones_out == {"cayambe"}
    evaluate_freshness = nodes[1].configuration.evaluate_freshness
    await waiting.wait_until(lambda: evaluate_freshness() is freshness.Freshness.FRESH)


async def test_node_isolated_from_log_and_peer_is_stale_until_the_log_responds(
    fleet: Fleet,
) -> None:
    """A node without its log and its peer is stale; the log alone makes it fresh again."""
    publish(fleet.log, 0)
    nodes = [fleet.add("a"), fleet.add("b")]
    states = [node.configuration.evaluate_freshness for node in nodes]
    await waiting.wait_until(lambda: all(state() is freshness.Freshness.FRESH for state in states))
    fleet.log.is_down = True
    await waiting.wait_until(
        lambda: all(state() is freshness.Freshness.LOG_SILENT for state in states)
    )
    await nodes[1].stop()
    await waiting.wait_until(lambda: states[0]() is freshness.Freshness.STALE)
    fleet.log.is_down = False
    await waiting.wait_until(lambda: states[0]() is freshness.Freshness.FRESH)


async def test_dead_node_is_detected_and_is_alive_after_its_restart(fleet: Fleet) -> None:
    """A node whose process ends is marked unresponsive by the others, and alive after its restart."""
    nodes = [fleet.add(host) for host in ("a", "b", "c")]
    known = nodes[0].control.membership.members.digests_by_host
    await waiting.wait_until(lambda: len(known) == 2)
    await nodes[2].stop()
    await waiting.wait_until(lambda: known["c"].health is digests.Health.SILENT)
    restarted = Node("c", nodes[2].address, fleet.log)
    restarted.control.on_hosts(
        host_list_client.HostList(
            0.0,
            {
                name: host_list_client.ListedHost(name, "z", "127.0.0.1:1", node.address, False)
                for name, node in fleet.nodes_by_host.items()
            },
        )
    )
    restarted.start()
    await waiting.wait_until(lambda: known["c"].health is digests.Health.ALIVE)
    await restarted.stop()


async def test_registered_message_reaches_one_host_or_each_host_once(fleet: Fleet) -> None:
    """A message of another task is sent to one host, or relayed to all, once to each."""
    nodes = [fleet.add(f"host-{index}") for index in range(7)]
    await waiting.wait_until(lambda: len(nodes[0].control.membership.members.digests_by_host) == 6)
    nodes[0].control.peers.send("host-3", Note("to one"))
    nodes[0].control.peers.broadcast(Note("to all"), fan_out=2)
    await waiting.wait_until(lambda: all("to all" in node.notes for node in nodes[1:]))
    await waiting.wait_until(lambda: "to one" in nodes[3].notes)
    assert [node.notes.count("to all") for node in nodes] == [0, 1, 1, 1, 1, 1, 1]


HEADER = ["stranger/start", 0, 0, -1.0]


@pytest.mark.parametrize(
    ("data", "metric", "is_closed"),
    [
        (b"\xff\xff", "peer_frame_refused", True),
        (cbor2.dumps([99, HEADER, "note", 1, ["x"]]), "peer_frame_refused", True),
        (cbor2.dumps([1, ["stranger"], "note", 1, ["x"]]), "peer_frame_refused", True),
        (cbor2.dumps([1, HEADER, "note", 1, [5]]), "peer_frame_refused", True),
        (cbor2.dumps([1, HEADER, "note", 2, ["x"]]), "peer_message_unknown", False),
        (cbor2.dumps([1, HEADER, "later", 1, {}]), "peer_message_unknown", False),
    ],
)
async def test_invalid_frame_closes_the_connection_and_unknown_message_is_counted(
    fleet: Fleet, data: bytes, metric: str, is_closed: bool
) -> None:
    """An invalid frame closes the connection; an unknown message type is only counted."""
    node = fleet.add("a")
    await waiting.wait_until(lambda: can_connect(node.address))
    async with client.connect(f"ws://{node.address}/") as connection:
        await connection.send(data)
        await waiting.wait_until(lambda: node.metrics.totals("events").get(metric, 0.0) == 1.0)
        if is_closed:
            await connection.wait_closed()
            assert connection.close_code == peer_task.REFUSED_CLOSE_CODE
        else:
            await connection.send(cbor2.dumps([1, HEADER, "note", 1, ["still open"]]))
            await waiting.wait_until(lambda: node.notes == ["still open"])


async def test_frame_over_the_size_limit_is_not_sent(fleet: Fleet) -> None:
    """The sender refuses a message whose frame would exceed the size limit."""
    node = fleet.add("a")
    fleet.add("b")
    assert not node.control.peers.send("b", Note("x" * messages.MAX_FRAME_BYTES))


def can_connect(address: str) -> bool:
    """Return whether a connection to an address succeeds."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0
