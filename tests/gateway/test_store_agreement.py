"""Random reads, listings, transfers and messages: no node takes a view for newer than it is."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING, NamedTuple

import pytest
import result

from dragonflycove.fleet import catalog, roster, store_view
from dragonflycove.gateway import peer_sync, peer_transfer, store_follower, topic_position
from dragonflycove.platform import records, store

if TYPE_CHECKING:
    from collections.abc import Iterator

SEEDS = (*range(30), 1_012, 1_179, 2_261)
"""The last ones found faults that the others did not."""

STEPS = 400
NODES = 3
SERVER_KEYS = ("s0", "s1", "s2")
ZONES = ("z0", "z1")
TOPICS = (records.OPERATOR_TOPIC, records.SERVER_TOPIC)
BATCH_RECORDS = 2
"""Records in one response to a read; a node may need several to catch up."""

ADDRESS = catalog.Address("127.0.0.1", 1)


class Written(NamedTuple):
    """A record in the simulated store."""

    key: str
    value: bytes | None
    written_at: float


class SimulatedStore:
    """The log of each topic, and calls whose responses arrive when the test lets them."""

    def __init__(self) -> None:
        self.log_by_topic: dict[str, list[Written]] = {topic: [] for topic in TOPICS}
        self.first_by_topic = dict.fromkeys(TOPICS, 0)
        self.is_away = [False] * NODES
        self.waiting: list[asyncio.Future[None]] = []

    async def wait(self) -> None:
        """Hold a call back until the test resumes it."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(future)
        await future

    def newest(self, topic: str) -> dict[str, store.Record]:
        found = {
            one.key: store.Record(one.key, one.value, offset)
            for offset, one in enumerate(self.log_by_topic[topic])
        }
        return {key: record for key, record in found.items() if record.value is not None}


class SimulatedClient:
    """Stands for `store.StoreClient` of one node."""

    calls = 0

    def __init__(self, simulated: SimulatedStore, node: int) -> None:
        self._store = simulated
        self._node = node

    async def read(self, topic: str, offset: int) -> result.Result[store.Batch, store.Failure]:
        await self._store.wait()
        log = self._store.log_by_topic[topic]
        response: result.Result[store.Batch, store.Failure]
        if self._store.is_away[self._node]:
            response = result.Err(store.Failure.REFUSED)
        elif offset < self._store.first_by_topic[topic]:
            response = result.Err(store.Failure.EXPIRED)
        else:
            read = tuple(
                store.Record(one.key, one.value, offset + index)
                for index, one in enumerate(log[offset : offset + BATCH_RECORDS])
            )
            response = result.Ok(store.Batch(read, len(log), offset + len(read)))
        await self._store.wait()
        return response

    async def read_newest(self, topic: str) -> result.Result[store.Listing, store.Failure]:
        """Read two pages, between which records may be written."""
        await self._store.wait()
        if self._store.is_away[self._node]:
            return result.Err(store.Failure.REFUSED)
        end = len(self._store.log_by_topic[topic])
        first_page = [one for key, one in self._store.newest(topic).items() if key[-1] == "0"]
        await self._store.wait()
        second_page = [one for key, one in self._store.newest(topic).items() if key[-1] != "0"]
        return result.Ok(store.Listing((*first_page, *second_page), end))


class Node:
    """One node's follower and synchronization."""

    def __init__(self, number: int, simulated: SimulatedStore) -> None:
        self.member = roster.Member(
            f"n{number}", 1, "z0", "r", ADDRESS._replace(port=number), ADDRESS, 1.0
        )
        self.follower = store_follower.StoreFollower(ADDRESS, store_view.StoreView(), lambda: 1.0)
        self.follower._client_by_topic = {  # noqa: SLF001
            topic: SimulatedClient(simulated, number) for topic in TOPICS  # type: ignore[misc]
        }
        self.sync = peer_sync.PeerSync(self.follower)
        self.read_by_topic: dict[str, asyncio.Task[bool]] = {}

    def positions(self) -> Iterator[topic_position.TopicPosition]:
        yield self.follower.operators
        yield self.follower.servers

    def shown(self, topic: str, key: str) -> int | None:
        """Return the offset of the record of a key that the view shows; None if it is gone."""
        view = self.follower.view
        if topic == records.SERVER_TOPIC:
            record = view._record_by_id.get(key)  # noqa: SLF001
            return record.offset if record and record.usable_until is None else None
        if key == records.CONFIGURATION_KEY:
            return view.configuration_offset if view.configuration is not None else None
        offset, is_out = view._evacuation_by_zone.get(  # noqa: SLF001
            key.removeprefix(records.EVACUATION_PREFIX), (-1, False)
        )
        return offset if is_out else None


class Cluster:
    """Nodes that read one store, in any order, and tell each other what they know."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loop = asyncio.new_event_loop()
        self.now = 1_000.0
        self.loop.time = lambda: self.now  # type: ignore[method-assign]
        self.store = SimulatedStore()
        self.version = 0
        self.nodes = [Node(number, self.store) for number in range(NODES)]

    def run(self, steps: int) -> None:
        weight_by_action = {
            self.write_server: 6,
            self.write_evacuation: 2,
            self.write_configuration: 1,
            self.read: 6,
            self.begin_read: 4,
            self.resume_call: 8,
            self.tell: 10,
            self.pass_time: 4,
            self.restart: 1,
            self.compact: 1,
            self.toggle_store: 1,
        }
        actions, weights = list(weight_by_action), list(weight_by_action.values())
        for action in self.rng.choices(actions, weights, k=steps):
            action()
            self.settle()
            for node in self.nodes:
                check_node(node, self.store)

    def close(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.settle()
        self.loop.close()

    async def fetch(
        self, address: catalog.Address, request: peer_transfer.Request
    ) -> result.Result[peer_transfer.Response, str]:
        """Stand for `peer_transfer.fetch`."""
        follower = self.nodes[address.port].follower
        response = peer_transfer.Response(
            peer_transfer.build_topic_response(follower.operators, request.operators),
            peer_transfer.build_topic_response(follower.servers, request.servers),
        )
        await asyncio.sleep(0)
        return result.Ok(response)

    def settle(self) -> None:
        """Run all tasks until they wait for the store."""

        async def run_ready() -> None:
            for _ in range(8):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run_ready())

    def write_server(self) -> None:
        slots = self.rng.choice((None, 1, 2))
        entry = {"service": "svc", "address": "127.0.0.1:1", "zone": "z0", "version": "v"}
        rest = {"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "slots": slots}
        value = None if slots is None else entry | rest
        self._write(records.SERVER_TOPIC, self.rng.choice(SERVER_KEYS), value)

    def write_evacuation(self) -> None:
        zone = self.rng.choice(ZONES)
        value = {"zone": zone} if self.rng.random() < 0.5 else None
        self._write(records.OPERATOR_TOPIC, records.EVACUATION_PREFIX + zone, value)

    def write_configuration(self) -> None:
        self.version += 1
        value = {"version": self.version, "routes": [], "services": []}
        self._write(records.OPERATOR_TOPIC, records.CONFIGURATION_KEY, value)

    def _write(self, topic: str, key: str, value: object) -> None:
        encoded = None if value is None else json.dumps(value).encode()
        self.store.log_by_topic[topic].append(Written(key, encoded, self.now))

    def compact(self) -> None:
        topic = self.rng.choice(TOPICS)
        self.store.first_by_topic[topic] = len(self.store.log_by_topic[topic])

    def toggle_store(self) -> None:
        node = self.rng.randrange(NODES)
        self.store.is_away[node] = not self.store.is_away[node]

    def begin_read(self) -> None:
        node = self.rng.choice(self.nodes)
        position = self.rng.choice(list(node.positions()))
        # A node has one read of a topic at a time.
        task = node.read_by_topic.get(position.topic)
        if task is None or task.done():
            read = node.follower._read_once(position, self.now)  # noqa: SLF001
            node.read_by_topic[position.topic] = self.loop.create_task(read)

    def read(self) -> None:
        self.begin_read()
        self.settle()
        while self.store.waiting:
            self.resume_call()
            self.settle()

    def resume_call(self) -> None:
        if self.store.waiting:
            future = self.store.waiting.pop(self.rng.randrange(len(self.store.waiting)))
            if not future.done():
                future.set_result(None)

    def tell(self) -> None:
        teller, learner = self.rng.sample(self.nodes, 2)
        freshness = teller.sync.freshness(self.now)
        self.loop.call_soon(learner.sync.compare, teller.member, freshness, self.now)

    def restart(self) -> None:
        number = self.rng.randrange(NODES)
        for task in self.nodes[number].read_by_topic.values():
            task.cancel()
        self.nodes[number] = Node(number, self.store)

    def pass_time(self) -> None:
        self.now += self.rng.choice((0.01, 0.3, 3.0))


def check_node(node: Node, simulated: SimulatedStore) -> None:
    """Check that no record before the read position, or from before `fresh_as_of`, is missing."""
    for task in (*node.read_by_topic.values(), node.sync._pull_task):  # noqa: SLF001
        if task is not None and task.done() and not task.cancelled():
            task.result()
    for position in node.positions():
        log = simulated.log_by_topic[position.topic]
        newest_by_key = {
            one.key: offset
            for offset, one in enumerate(log)
            if offset < (position.next_offset or 0) or one.written_at < position.fresh_as_of
        }
        for key, offset in newest_by_key.items():
            shown = node.shown(position.topic, key)
            if shown is not None:
                is_same = log[shown].value == log[offset].value
                assert shown >= offset or is_same, f"{node.member.host}: {key}, {shown}, {offset}"
            else:
                is_gone = any(one.key == key and one.value is None for one in log[offset:])
                assert is_gone, f"{node.member.host}: {key}, {offset}"


@pytest.mark.parametrize("seed", SEEDS)
def test_no_node_takes_its_view_for_newer_than_it_is(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node that overrates its view doesn't read, so removals and changes are lost to it."""
    cluster = Cluster(seed)
    monkeypatch.setattr(peer_transfer, "fetch", cluster.fetch)
    try:
        cluster.run(STEPS)
    finally:
        cluster.close()
