"""Tests of membership among nodes on a simulated clock."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from dragonflycove.membership import digests, effects, membership
from dragonflycove.values import identifiers

TICK_SECONDS = 0.25

DIGESTS = st.builds(
    # One incarnation has one start time.
    lambda start, *rest: digests.Digest("a", f"start-{start}", float(start), *rest),
    st.integers(1, 2),
    st.integers(0, 2),
    st.integers(0, 3),
    st.just(0),
    st.booleans(),
    st.sampled_from(list(digests.Health)),
)


@hypothesis.given(st.lists(DIGESTS, min_size=1, max_size=5), st.randoms())
def test_views_do_not_depend_on_the_order_of_digests(
    given: list[digests.Digest], rng: random.Random
) -> None:
    """Two nodes that receive the same digests, in any order and twice, have the same view."""

    def fold(received: list[digests.Digest]) -> tuple[object, ...]:
        known = None
        for digest in received:
            known = digest if digests.is_newer(digest, known) else known
        assert known is not None
        return known._replace(leaving=False)

    again = [*given, *given]
    rng.shuffle(again)
    assert fold(again) == fold(given)


class Net:
    """Simulated network of nodes that can lose messages and be partitioned."""

    def __init__(self, nodes: int, loss: float = 0.0) -> None:
        self.rng = random.Random(5)
        self.loss = loss
        self.now = 0.0
        self.partitioned: set[str] = set()
        self.broken_pairs: set[frozenset[str]] = set()
        self.hosts = [membership.HostEntry(f"h{index}", False) for index in range(nodes)]
        self.members = {host.name: self.start(host.name, 1.0) for host in self.hosts}

    def start(self, host: str, started_at: float) -> membership.Membership:
        """Return the membership of a new process on a host."""
        identity = identifiers.NodeIdentity(host, f"start-{started_at}")
        member = membership.Membership(identity, started_at, random.Random(f"{host}{started_at}"))
        member.on_hosts(self.hosts)
        return member

    def run(self, seconds: float) -> None:
        """Advance the clock, tick every node and deliver the messages."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += TICK_SECONDS
            queue = [
                (host, effect)
                for host, member in self.members.items()
                for effect in member.on_tick(self.now)
            ]
            while queue:
                sender, effect = queue.pop()
                if isinstance(effect, effects.Send) and self.passes(sender, effect.host):
                    responses = self.deliver(sender, effect)
                    queue.extend((effect.host, response) for response in responses)

    def passes(self, sender: str, receiver: str) -> bool:
        """Return whether a message arrives."""
        is_cut = (sender in self.partitioned) != (receiver in self.partitioned)
        if frozenset({sender, receiver}) in self.broken_pairs:
            return False
        return receiver in self.members and not is_cut and self.rng.random() >= self.loss

    def deliver(self, sender: str, sent: effects.Send) -> list[effects.Effect]:
        """Deliver a message and return the receiver's effects."""
        receiver = self.members[sent.host]
        if isinstance(sent.message, digests.Probe):
            return receiver.on_probe(sender, sent.message, self.now)
        if isinstance(sent.message, digests.ProbeAnswered):
            return receiver.on_probe_answered(sent.message, self.now)
        return receiver.on_probe_requested(sender, sent.message)

    def health_of(self, host: str) -> set[digests.Health]:
        """Return the health of a host in the views of all other nodes."""
        return {
            member.digests_by_host[host].health
            for name, member in self.members.items()
            if name != host and host in member.digests_by_host
        }


@pytest.mark.parametrize(("nodes", "loss"), [(2, 0.0), (7, 0.0), (7, 0.1), (30, 0.05)])
def test_dead_node_does_not_stay_alive_in_views_nor_live_ones_silent(
    nodes: int, loss: float
) -> None:
    """All nodes detect a death within 30 s; once messages are no longer lost, others are alive."""
    net = Net(nodes, loss)
    net.run(30.0)
    assert all(net.health_of(host.name) <= {digests.Health.ALIVE} for host in net.hosts) or loss
    del net.members["h0"]
    net.run(30.0)
    assert net.health_of("h0") == {digests.Health.SILENT}
    net.loss = 0.0
    net.run(2.0 * nodes)
    for host in net.hosts[1:]:
        assert net.health_of(host.name) <= {digests.Health.ALIVE}


def test_death_among_many_nodes_is_not_hidden_by_old_heartbeats() -> None:
    """Old heartbeats that are still disseminated do not delay the detection of a death."""
    net = Net(60)
    net.run(40.0)
    del net.members["h0"]
    # 1 s to the next probe, 1.5 s without a response, 4 s of suspicion, and 1 s for each doubling
    # of the number of nodes that know of the death.
    net.run(1.0 + 1.5 + 4.0 + 6.0)
    assert net.health_of("h0") == {digests.Health.SILENT}


def test_nodes_that_cannot_reach_each_other_raise_no_suspicion() -> None:
    """Two nodes that can't reach each other are probed indirectly through the others."""
    net = Net(7)
    net.broken_pairs = {frozenset({"h0", "h1"})}
    for _ in range(60):
        net.run(1.0)
        for host in ("h0", "h1"):
            assert net.health_of(host) <= {digests.Health.ALIVE}


def test_restarted_host_is_not_taken_for_its_dead_incarnation() -> None:
    """A host that restarts is alive under its new incarnation."""
    net = Net(7)
    net.run(10.0)
    del net.members["h0"]
    net.run(20.0)
    net.members["h0"] = net.start("h0", 2.0)
    net.run(15.0)
    assert net.health_of("h0") == {digests.Health.ALIVE}
    known = {member.digests_by_host["h0"] for name, member in net.members.items() if name != "h0"}
    assert {digest.incarnation for digest in known} == {"start-2.0"}


def test_minority_of_a_partition_does_not_count_most_hosts_as_reachable() -> None:
    """In the minority most probes get no response; after the partition heals all are alive."""
    net = Net(7)
    net.run(20.0)
    net.partitioned = {"h0", "h1"}
    net.run(20.0)
    minority = [net.members[host].answered_fraction() for host in ("h0", "h1")]
    majority = [net.members[host.name].answered_fraction() for host in net.hosts[2:]]
    assert max(minority) < 0.5 <= min(majority)
    net.partitioned = set()
    net.run(30.0)
    assert all(net.health_of(host.name) == {digests.Health.ALIVE} for host in net.hosts)
    assert all(member.answered_fraction() == 1.0 for member in net.members.values())


def test_leaving_host_is_not_live_and_unlisted_host_is_dropped() -> None:
    """A leaving node is not among the live hosts; a host off the host list is dropped."""
    net = Net(5)
    net.run(10.0)
    net.members["h0"].update_own(3, True)
    net.run(10.0)
    assert all("h0" not in member.live_hosts() for member in net.members.values())
    member = net.members["h1"]
    assert effects.MemberRemoved("h0") in member.on_hosts(net.hosts[1:])
    assert "h0" not in member.digests_by_host


@pytest.mark.parametrize("nodes", [5, 50, 320])
def test_messages_do_not_grow_with_the_number_of_nodes(nodes: int) -> None:
    """One node's messages per interval, and their digests, are bounded for any number of nodes."""
    net = Net(nodes)
    member = net.members["h0"]
    updates = tuple(
        digests.Digest(host.name, "start-9", 9.0, 0, 0, 0, False, digests.Health.SUSPECT)
        for host in net.hosts[1:]
    )
    member.on_probe("h1", digests.Probe(1, updates), 0.0)
    sent = [effect for effect in member.on_tick(1.0) if isinstance(effect, effects.Send)]
    assert len(sent) == 1
    assert len(sent[0].message.digests) <= 10
