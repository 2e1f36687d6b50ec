"""State machine of leases: holders pause, answers are lost, orders come late."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dragonflycove.leases import lease_table
from dragonflycove.values import identifiers

RULES = lease_table.LeaseTimings(15.0, 4.0, 1.0, 3.0, 20.0, 2.0)
SCOPE = "placement/answers"
NAMES = ("quito-1", "quito-2", "quito-3")
PAUSE_LIMIT_SECONDS = 15.0
"""Pauses within an order that the margin is made for, seconds."""


class Leases(stateful.RuleBasedStateMachine):
    """Nodes compete through one log, and order one engine that checks numbers and one that does not.

    The oracle: no engine takes an order with a lower number than one that it has taken, where the
    engine that does not check relies on pauses being shorter than the margin. At any moment at
    most one node may order the engine that does not check.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = []
        self.lost = []
        self.tables = [self.make_table(name, "1") for name in NAMES]
        self.read = [0] * len(NAMES)
        self.orders = []
        self.highest = {True: -1, False: -1}

    def make_table(self, name, incarnation):
        """Return the table of a new process."""
        identity = identifiers.NodeIdentity(name, incarnation)
        table = lease_table.LeaseTable(identity, RULES, random.Random(name + incarnation))
        table.on_hosts([SCOPE], NAMES)
        table.on_end_reached(self.now)
        return table

    @stateful.rule(
        seconds=st.sampled_from([1, 5, 20, 45]),
        frozen=st.sets(st.integers(0, 2), max_size=2),
        losing=st.sets(st.integers(0, 2), max_size=2),
        pauses=st.tuples(*[st.sampled_from([0.0, 5.0, PAUSE_LIMIT_SECONDS])] * 3),
    )
    def run(self, seconds, frozen, losing, pauses):
        """Let time pass; frozen nodes do nothing, losing ones' records land later."""
        for _ in range(seconds):
            self.now += 1.0
            for node in {0, 1, 2} - frozen:
                self.step(node, node in losing, pauses[node])
            self.deliver_due()

    def step(self, node, is_losing, pause):
        """Let one node read, renew, acquire and order."""
        table = self.tables[node]
        for offset in range(self.read[node], len(self.log)):
            appended_at, value = self.log[offset]
            table.on_record(offset, appended_at, value, self.now)
        self.read[node] = len(self.log)
        for effect in table.tick(self.now):
            if is_losing:
                self.lost.append(effect.value)
            else:
                self.log.append((self.now, effect.value))
        for checks in (True, False):
            number = table.fencing_token(SCOPE, checks, self.now)
            if number is not None:
                self.orders.append((self.now + pause, checks, number))

    @stateful.rule()
    def land_late(self):
        """Appends whose answers were lost turn up in the log."""
        self.log += [(self.now, value) for value in self.lost]
        self.lost = []

    @stateful.rule(node=st.integers(0, 2))
    def restart(self, node):
        self.tables[node] = self.make_table(NAMES[node], f"{self.now}")
        self.read[node] = 0

    def deliver_due(self):
        """Let the orders whose pause is over arrive, in the order of their arrival."""
        due = sorted(order for order in self.orders if order[0] <= self.now)
        self.orders = [order for order in self.orders if order[0] > self.now]
        for _, checks, number in due:
            if checks and number < self.highest[checks]:
                continue
            assert number >= self.highest[checks], "an old holder's order came after a new one's"
            self.highest[checks] = number

    @stateful.invariant()
    def one_holder(self):
        numbers = [table.fencing_token(SCOPE, True, self.now) for table in self.tables]
        assert sum(number is not None for number in numbers) <= 1, "two nodes hold the lease"


TestLeases = Leases.TestCase
TestLeases.settings = hypothesis.settings(max_examples=200, stateful_step_count=25)


def run_for(tables, log, seconds, start):
    """Let tables work on a log without faults; return the time."""
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
    """Return the table of a node that has read the empty stream."""
    table = lease_table.LeaseTable(identifiers.NodeIdentity(name, "1"), RULES, random.Random(name))
    table.on_hosts([SCOPE], NAMES)
    table.on_end_reached(0.0)
    return table


def holders(tables, now, checks=True):
    """Return which tables may give orders."""
    return [i for i, t in enumerate(tables) if t.fencing_token(SCOPE, checks, now) is not None]


def test_one_node_holds_the_lease_and_servers_without_checks_wait_for_the_margin():
    tables, log = [make_table(name) for name in NAMES], []
    now = run_for(tables, log, 22.0, 0.0)
    assert len(holders(tables, now)) == 1
    assert holders(tables, now, checks=False) == []
    now = run_for(tables, log, 22.0, now)
    assert len(holders(tables, now, checks=False)) == 1


def test_a_holder_that_cannot_renew_stops_before_its_lease_lapses():
    tables, log = [make_table(name) for name in NAMES], []
    now = run_for(tables, log, 30.0, 0.0)
    (holder,) = holders(tables, now)
    assert holders([tables[holder]], now + RULES.seconds - RULES.order_seconds) == []
    assert tables[holder].release_all(now)
    assert holders(tables, now) == []


def test_an_acquisition_that_lands_late_takes_no_lease_that_is_held_and_no_time():
    tables, log = [make_table(name) for name in NAMES], []
    now = run_for(tables[:1], log, 16.0, 0.0)
    late = make_table(NAMES[1])
    (acquisition,) = late.tick(25.0)
    log.append((now, acquisition.value))
    log.append((now + 100.0, acquisition.value))
    for offset, (appended_at, value) in enumerate(log[:-1]):
        late.on_record(offset, appended_at, value, now)
        tables[0].on_record(offset, appended_at, value, now)
    assert holders([tables[0], late], now) == [0]
    late.on_record(len(log) - 1, now + 100.0, log[-1][1], now + 100.0)
    assert holders([late], now + 100.0) == []
