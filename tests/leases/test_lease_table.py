"""Guards against two holders of one lease, and against late orders of a previous holder.

Random interleavings of nodes that pause, appends that land late and orders that are delayed.
"""

from __future__ import annotations

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dragonflycove.leases import lease_table
from dragonflycove.values import identifiers

TIMINGS = lease_table.LeaseTimings(15.0, 4.0, 1.0, 3.0, 20.0, 2.0)
SCOPE = "placement/answers"
HOSTS = ("quito-1", "quito-2", "quito-3")
PAUSE_LIMIT_SECONDS = 15.0
"""Longest pause between a lease check and its order that the pause margin covers, seconds."""


class LeasesMachine(stateful.RuleBasedStateMachine):
    """Nodes compete through one log, and order an engine that checks tokens and one that does not.

    Checks that no engine accepts an order with a lower token than one it has accepted; the engine
    without the check relies on pauses being shorter than the margin. At any time at most one node
    may give orders.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = []
        self.delayed_appends = []
        self.tables = [self.make_table(name, "1") for name in HOSTS]
        self.read = [0] * len(HOSTS)
        self.orders = []
        self.highest = {True: -1, False: -1}

    def make_table(self, name, incarnation):
        """Return the lease table of a new process."""
        identity = identifiers.NodeIdentity(name, incarnation)
        table = lease_table.LeaseTable(identity, TIMINGS, random.Random(name + incarnation))
        table.on_hosts([SCOPE], HOSTS)
        table.on_end_reached(self.now)
        return table

    @stateful.rule(
        seconds=st.sampled_from([1, 5, 20, 45]),
        frozen=st.sets(st.integers(0, 2), max_size=2),
        losing_appends=st.sets(st.integers(0, 2), max_size=2),
        pauses=st.tuples(*[st.sampled_from([0.0, 5.0, PAUSE_LIMIT_SECONDS])] * 3),
    )
    def run(self, seconds, frozen, losing_appends, pauses):
        """Let time pass; frozen nodes do nothing, appends of the losing ones land later."""
        for _ in range(seconds):
            self.now += 1.0
            for node in {0, 1, 2} - frozen:
                self.step(node, node in losing_appends, pauses[node])
            self.deliver_due()

    def step(self, node, is_losing_append, pause):
        """Let one node read the log, renew or acquire, and give orders."""
        table = self.tables[node]
        for offset in range(self.read[node], len(self.log)):
            appended_at, value = self.log[offset]
            table.on_record(offset, appended_at, value, self.now)
        self.read[node] = len(self.log)
        for effect in table.tick(self.now):
            if is_losing_append:
                self.delayed_appends.append(effect.value)
            else:
                self.log.append((self.now, effect.value))
        for checks in (True, False):
            token = table.fencing_token(SCOPE, checks, self.now)
            if token is not None:
                self.orders.append((self.now + pause, checks, token))

    @stateful.rule()
    def append_late(self):
        """Let the delayed appends reach the log."""
        self.log += [(self.now, value) for value in self.delayed_appends]
        self.delayed_appends = []

    @stateful.rule(node=st.integers(0, 2))
    def restart(self, node):
        self.tables[node] = self.make_table(HOSTS[node], f"{self.now}")
        self.read[node] = 0

    def deliver_due(self):
        """Deliver the orders whose pause has ended, sorted by time of arrival."""
        due = sorted(order for order in self.orders if order[0] <= self.now)
        self.orders = [order for order in self.orders if order[0] > self.now]
        for _, checks, token in due:
            if checks and token < self.highest[checks]:
                continue
            assert (
                token >= self.highest[checks]
            ), "an order of a previous holder came after one of a new holder"
            self.highest[checks] = token

    @stateful.invariant()
    def at_most_one_holder(self):
        tokens = [table.fencing_token(SCOPE, True, self.now) for table in self.tables]
        assert sum(token is not None for token in tokens) <= 1, "two nodes hold the lease"


TestLeasesMachine = LeasesMachine.TestCase
TestLeasesMachine.settings = hypothesis.settings(max_examples=200, stateful_step_count=25)


def run_for(tables, log, seconds, start):
    """Run tables on a log without faults; return the time at the end."""
    read = dict.fromkeys(range(len(tables)), 0)
    now = start
    while now < start + seconds:
        now += 0.5
        for table in tables:
            log += [(now, effect.value) for effect in table.tick(now)]
        for index, table in enumerate(tables):
            for offset in range(read[index], len(log)):
                table.on_record(offset, log[offset][0], log[offset][1], now)
            read[index] = len(log)
    return now


def make_table(name):
    """Return the lease table of a node that has read the empty stream."""
    table = lease_table.LeaseTable(
        identifiers.NodeIdentity(name, "1"), TIMINGS, random.Random(name)
    )
    table.on_hosts([SCOPE], HOSTS)
    table.on_end_reached(0.0)
    return table


def holder_indexes(tables, now, checks=True):
    """Return the indexes of the tables that may give orders."""
    return [i for i, t in enumerate(tables) if t.fencing_token(SCOPE, checks, now) is not None]


def test_servers_that_ignore_tokens_get_no_orders_within_the_pause_margin():
    tables, log = [make_table(name) for name in HOSTS], []
    now = run_for(tables, log, 22.0, 0.0)
    assert len(holder_indexes(tables, now)) == 1
    assert holder_indexes(tables, now, checks=False) == []
    now = run_for(tables, log, 22.0, now)
    assert len(holder_indexes(tables, now, checks=False)) == 1


def test_a_holder_that_cannot_renew_gives_no_orders_just_before_its_lease_expires():
    tables, log = [make_table(name) for name in HOSTS], []
    now = run_for(tables, log, 30.0, 0.0)
    (holder,) = holder_indexes(tables, now)
    assert (
        holder_indexes([tables[holder]], now + TIMINGS.lease_seconds - TIMINGS.order_margin_seconds)
        == []
    )
    assert tables[holder].release_all(now)
    assert holder_indexes(tables, now) == []


def test_a_late_acquisition_takes_no_held_lease_and_gives_no_time_for_orders():
    tables, log = [make_table(name) for name in HOSTS], []
    now = run_for(tables[:1], log, 16.0, 0.0)
    late = make_table(HOSTS[1])
    (acquisition,) = late.tick(25.0)
    log.append((now, acquisition.value))
    log.append((now + 100.0, acquisition.value))
    for offset, (appended_at, value) in enumerate(log[:-1]):
        late.on_record(offset, appended_at, value, now)
        tables[0].on_record(offset, appended_at, value, now)
    assert holder_indexes([tables[0], late], now) == [0]
    late.on_record(len(log) - 1, now + 100.0, log[-1][1], now + 100.0)
    assert holder_indexes([late], now + 100.0) == []
