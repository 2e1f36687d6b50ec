"""Tests of configuration, peers and membership of several nodes on real sockets."""

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

TEXT = '{"zones": ["cayambe"], "organisations": {"herders": {}}}'

BOUNDS = freshness.FreshnessBounds(3.5, 2.0, 0.5)


class Note(NamedTuple):
    """A message of some other task."""

    words: str


class Node:
    """One node, without its data path."""

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
        self.control.peers.handle(Note, lambda _, note: self.notes.append(note.words))
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
    """Some nodes that know of each other, each with the shared log or one of its own."""

    def __init__(self) -> None:
        self.log = fake_log.FakeLog()
        self.nodes_by_host: dict[str, Node] = {}

    def add(self, host: str, log: fake_log.FakeLog | None = None) -> Node:
        address = f"127.0.0.1:{ports.free_port()}"
        node = Node(host, address, log or self.log)
        self.nodes_by_host[host] = node
        entries = {
            name: host_list_client.HostEntry(name, "cayambe", "127.0.0.1:1", other.address, False)
            for name, other in self.nodes_by_host.items()
        }
        for other in self.nodes_by_host.values():
            other.control.on_hosts(host_list_client.HostList(0.0, entries))
        node.start()
        return node


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Yield a fleet without nodes."""
    made = Fleet()
    yield made
    await asyncio.gather(*(node.stop() for node in made.nodes_by_host.values()))


def publish(log: fake_log.FakeLog, base: int) -> None:
    """Append a text that is accepted."""
    log.put(records.TextProposed(f"op-{base}", base, "ana", TEXT))


async def test_all_nodes_follow_the_log(fleet: Fleet) -> None:
    """Every version is in force at every node, and subscribers see each in turn."""
    nodes = [fleet.add(host) for host in ("a", "b", "c")]
    seen: list[int] = []
    nodes[0].configuration.subscribe(lambda configuration: seen.append(configuration.version))
    for version in (1, 2):
        publish(fleet.log, version - 1)
        await waiting.until(lambda: all(node.version == version for node in nodes))  # noqa: B023
    assert seen == [1, 2]


async def test_fresh_node_starts_from_a_peer_with_the_log_down(fleet: Fleet) -> None:
    """A node that starts while the log is down takes the version in force from a peer."""
    publish(fleet.log, 0)
    first = fleet.add("a")
    await waiting.until(lambda: first.version == 1)
    fleet.log.down = True
    fresh = fleet.add("b")
    assert not fresh.configuration.is_ready
    await waiting.until(lambda: fresh.configuration.is_ready)
    assert fresh.version == 1
    fleet.log.down = False
    publish(fleet.log, 1)
    await waiting.until(lambda: fresh.version == first.version == 2)


async def test_node_cut_off_from_the_log_hears_of_a_zone_out(fleet: Fleet) -> None:
    """A node whose own way to the log is cut takes the newer version from a peer."""
    publish(fleet.log, 0)
    cut = fake_log.FakeLog()
    publish(cut, 0)
    nodes = [fleet.add("a"), fleet.add("b", cut)]
    await waiting.until(lambda: all(node.version == 1 for node in nodes))
    cut.down = True
    fleet.log.put(records.ZoneChanged("op-out", 1, "ana", "cayambe", True))
    await waiting.until(lambda: nodes[1].version == 2)
    assert nodes[1].configuration.configuration.zones_out == {"cayambe"}
    freshness_of_cut = nodes[1].configuration.evaluate_freshness
    await waiting.until(lambda: freshness_of_cut() is freshness.Freshness.FRESH)


async def test_node_cut_off_from_all_is_stale_and_comes_back(fleet: Fleet) -> None:
    """Without the log and its peer a node is stale; the log alone makes it fresh again."""
    publish(fleet.log, 0)
    nodes = [fleet.add("a"), fleet.add("b")]
    states = [node.configuration.evaluate_freshness for node in nodes]
    await waiting.until(lambda: all(state() is freshness.Freshness.FRESH for state in states))
    fleet.log.down = True
    await waiting.until(lambda: all(state() is freshness.Freshness.LOG_SILENT for state in states))
    await nodes[1].stop()
    await waiting.until(lambda: states[0]() is freshness.Freshness.STALE)
    fleet.log.down = False
    await waiting.until(lambda: states[0]() is freshness.Freshness.FRESH)


async def test_dead_and_restarted_nodes_are_heard_of(fleet: Fleet) -> None:
    """A node that dies is silent to the others; its next start is alive again."""
    nodes = [fleet.add(host) for host in ("a", "b", "c")]
    known = nodes[0].control.membership.members.digests_by_host
    await waiting.until(lambda: len(known) == 2)
    await nodes[2].stop()
    await waiting.until(lambda: known["c"].health is digests.Health.SILENT)
    again = Node("c", nodes[2].address, fleet.log)
    again.control.on_hosts(
        host_list_client.HostList(
            0.0,
            {
                name: host_list_client.HostEntry(name, "z", "127.0.0.1:1", node.address, False)
                for name, node in fleet.nodes_by_host.items()
            },
        )
    )
    again.start()
    await waiting.until(lambda: known["c"].health is digests.Health.ALIVE)
    await again.stop()


async def test_messages_of_other_tasks_reach_one_or_all(fleet: Fleet) -> None:
    """A registered message goes to one host, or to all through others."""
    nodes = [fleet.add(f"host-{index}") for index in range(7)]
    await waiting.until(lambda: len(nodes[0].control.membership.members.digests_by_host) == 6)
    nodes[0].control.peers.send("host-3", Note("to one"))
    nodes[0].control.peers.broadcast(Note("to all"), fan_out=2)
    await waiting.until(lambda: all("to all" in node.notes for node in nodes[1:]))
    await waiting.until(lambda: "to one" in nodes[3].notes)
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
async def test_what_is_not_understood_is_refused_and_counted(
    fleet: Fleet, data: bytes, metric: str, is_closed: bool
) -> None:
    """Bytes that are no frame close the connection; an unknown message only counts."""
    node = fleet.add("a")
    await waiting.until(lambda: can_connect(node.address))
    async with client.connect(f"ws://{node.address}/") as connection:
        await connection.send(data)
        await waiting.until(lambda: node.metrics.totals("events").get(metric, 0.0) == 1.0)
        if is_closed:
            await connection.wait_closed()
            assert connection.close_code == peer_task.REFUSED_CLOSE_CODE
        else:
            await connection.send(cbor2.dumps([1, HEADER, "note", 1, ["still open"]]))
            await waiting.until(lambda: node.notes == ["still open"])


async def test_frame_over_the_bound_is_not_sent(fleet: Fleet) -> None:
    """A message that would make too large a frame is refused at the sender."""
    node = fleet.add("a")
    fleet.add("b")
    assert not node.control.peers.send("b", Note("x" * messages.MAX_FRAME_BYTES))


def can_connect(address: str) -> bool:
    """Tell whether something listens at an address."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0
