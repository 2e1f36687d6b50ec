"""Tests of reclaim when owners die, are replaced, hand streams over or wrongly count as dead."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dragonflycove.reclaim import inventory, reclaimer
from dragonflycove.values import identifiers

RULES = reclaimer.ReclaimRules(3.0, 30.0, 5.0, 5.0, 10.0, 1)
HOSTS = ("quito-1", "quito-2", "quito-3", "quito-4")
ENGINE = "e-1"
MAX_RECLAIM_SECONDS = RULES.max_delay_seconds + 10.0
"""Maximum time that a dead owner's items stay, including the interval of reads, seconds."""


class Reclaim(stateful.RuleBasedStateMachine):
    """Nodes own items on one engine; the reference model knows which nodes are alive.

    A host whose process is dead may stay on the list. The test fails if an item is freed that a
    live owner still uses, or if an abandoned item outlives `MAX_RECLAIM_SECONDS` after the last
    change of nodes, provided that the dead owner answered a node responsible for the engine, or
    is not on that node's list.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.starts = 0
        self.node_by_host = {}
        self.known_by_host = {}
        self.items = {}
        self.abandoned_at = {}
        self.witnesses = {}
        self.unlisted = {}
        for host in HOSTS:
            self.start(host)
        self.run(1)

    def start(self, host):
        """Start a process on a host."""
        self.starts += 1
        identity = identifiers.NodeIdentity(host, f"start-{self.starts}")
        self.node_by_host[host] = (identity, reclaimer.Reclaimer(identity, RULES))
        self.known_by_host[host] = set()
        self.unlisted.pop(host, None)
        self.abandoned_at = dict.fromkeys(self.abandoned_at, self.now)

    def stop(self, host):
        """End a process, and record the live nodes that it answered."""
        identity, _ = self.node_by_host.pop(host)
        del self.known_by_host[host]
        self.witnesses[identity] = {node[0] for node in self.node_by_host.values()}
        for witnesses in self.witnesses.values():
            witnesses.discard(identity)
        abandoned = [item_id for item_id, item in self.items.items() if item.owner == identity]
        self.abandoned_at = dict.fromkeys([*self.abandoned_at, *abandoned], self.now)

    @stateful.rule(host=st.sampled_from(HOSTS), kind=st.sampled_from(inventory.Kind))
    def own(self, host, kind):
        """A live node creates an item on the engine."""
        if host in self.node_by_host:
            item_id = f"item-{len(self.items)}-{self.now}"
            self.items[item_id] = inventory.Item(kind, item_id, self.node_by_host[host][0])
            self.known_by_host[host].add(item_id)

    @stateful.rule(host=st.sampled_from(HOSTS), index=st.integers(0, 20))
    def take_over(self, host, index):
        """A caller resumes a stream at another node."""
        if host in self.node_by_host and index < len(self.items):
            item_id = sorted(self.items)[index]
            owner = self.node_by_host[host][0]
            self.items[item_id] = self.items[item_id]._replace(owner=owner)
            self.abandoned_at.pop(item_id, None)
            for known in self.known_by_host.values():
                known.discard(item_id)
            self.known_by_host[host].add(item_id)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def forget(self, host):
        """A node stops using its items, and all its cancellations are lost."""
        for item_id in self.known_by_host.get(host, set()):
            self.abandoned_at[item_id] = self.now
        self.known_by_host.get(host, set()).clear()

    @stateful.precondition(lambda self: len(self.node_by_host) > 1)
    @stateful.rule(host=st.sampled_from(HOSTS), stays_listed=st.booleans())
    def kill(self, host, stays_listed):
        if host in self.node_by_host:
            self.stop(host)
            if not stays_listed:
                self.unlisted[host] = self.now

    @stateful.rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        if host in self.node_by_host:
            self.stop(host)
        self.start(host)
        self.run(1)

    @stateful.rule(seconds=st.sampled_from([1, 5, 20, 60]))
    def run(self, seconds):
        """Let every live node read the engine's inventory once per second."""
        for _ in range(seconds):
            self.now += 1.0
            heard = {host: node[0].incarnation for host, node in self.node_by_host.items()}
            listed = frozenset(HOSTS) - self.unlisted.keys()
            for host, (identity, node) in self.node_by_host.items():
                others = {name: start for name, start in heard.items() if name != host}
                node.on_members(listed, others, self.now)
                reading = inventory.Inventory("engine-1", tuple(self.items.values()))
                known = frozenset(self.known_by_host[host])
                for effect in node.on_inventory(ENGINE, reading, known, self.now):
                    self.reclaim(effect[1], identity)
            self.check_nothing_leaks()

    def reclaim(self, item_id, by):
        """Check that an item is abandoned and free it."""
        item = self.items.pop(item_id, None)
        if item is not None:
            assert item_id in self.abandoned_at, f"{by} freed an item that {item.owner} uses"
            del self.abandoned_at[item_id]

    def check_nothing_leaks(self):
        """Check that no abandoned item outlives `MAX_RECLAIM_SECONDS`."""
        ranked = identifiers.rendezvous_rank(ENGINE, self.node_by_host)[: RULES.nodes_per_engine]
        for item_id, at in self.abandoned_at.items():
            owner = self.items[item_id].owner
            witnesses = {witness.host for witness in self.witnesses.get(owner, ())}
            is_provable = (
                owner.host in self.unlisted
                or owner.host in self.node_by_host
                or witnesses & set(ranked)
            )
            assert (
                not is_provable or self.now < at + MAX_RECLAIM_SECONDS
            ), "memory leaks on the engine"


TestReclaim = Reclaim.TestCase
TestReclaim.settings = hypothesis.settings(max_examples=150, stateful_step_count=30)


def make_node(host):
    """Return the reclaimer of a node that no other host has answered."""
    return reclaimer.Reclaimer(identifiers.NodeIdentity(host, "1"), RULES)


def make_inventory(host, incarnation):
    """Return an inventory with one stream of the given owner."""
    owner = identifiers.NodeIdentity(host, incarnation)
    item = inventory.Item(inventory.Kind.STREAM, "attempt-1", owner)
    return inventory.Inventory("engine-1", (item,))


def test_host_off_the_list_does_not_count_as_dead_before_the_lists_lag():
    node, reading = make_node("quito-1"), make_inventory("quito-2", "1")
    node.on_members(frozenset({"quito-1", "quito-2"}), {"quito-2": "1"}, 0.0)
    effects = []
    for now in range(1, 12):
        node.on_members(frozenset({"quito-1"}), {}, float(now))
        effects += [now for _ in node.on_inventory(ENGINE, reading, frozenset(), float(now))]
    assert effects[0] == RULES.lag_seconds + RULES.grace_seconds


def test_new_incarnation_seen_on_the_engine_before_it_answered_does_not_count_as_dead():
    node, reading = make_node("quito-1"), make_inventory("quito-2", "new")
    hosts = frozenset({"quito-1", "quito-2"})
    node.on_members(hosts, {"quito-2": "old"}, 0.0)
    for now in range(1, 25):
        node.on_members(hosts, {}, float(now))
        assert node.on_inventory(ENGINE, reading, frozenset(), float(now)) == []


def test_item_first_seen_long_after_its_owner_died_is_not_freed_before_the_grace_time():
    node, reading = make_node("quito-1"), make_inventory("quito-2", "1")
    for now in range(20):
        node.on_members(frozenset({"quito-1"}), {}, float(now))
    assert node.on_inventory(ENGINE, reading, frozenset(), 20.0) == []
    assert node.on_inventory(ENGINE, reading, frozenset(), 25.0) != []


def test_dead_host_that_stays_listed_does_not_keep_its_items():
    first = identifiers.rendezvous_rank(ENGINE, ["quito-1", "quito-2"])[0]
    other = "quito-2" if first == "quito-1" else "quito-1"
    node, reading = make_node(first), make_inventory(other, "1")
    node.on_members(frozenset({first, other}), {other: "1"}, 0.0)
    effects = []
    for now in range(1, 40):
        node.on_members(frozenset({first, other}), {}, float(now))
        effects += [now for _ in node.on_inventory(ENGINE, reading, frozenset(), float(now))]
    assert effects[0] == RULES.unresponsive_seconds + RULES.grace_seconds


def test_listed_host_that_never_answers_loses_its_rank_but_not_its_items():
    first, second = identifiers.rendezvous_rank(ENGINE, ["quito-1", "quito-2"])
    node, reading = make_node(second), make_inventory(first, "1")
    for now in range(100):
        node.on_members(frozenset({first, second}), {}, float(now))
        assert node.rank(ENGINE) == (0 if now >= RULES.unresponsive_seconds else None)
        assert node.on_inventory(ENGINE, reading, frozenset(), float(now)) == []
