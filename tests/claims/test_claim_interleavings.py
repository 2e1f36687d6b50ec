"""State machine of claims: three nodes, one log that fails, callers that send again elsewhere."""

from __future__ import annotations

import collections
import random
from typing import NamedTuple

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dragonflycove.claims import claim_limits, claim_table, effects, keys, records
from dragonflycove.values import identifiers, outcomes, requests

WALL = 1_000_000.0
LIMITS = claim_limits.ClaimLimits(keys.KeyValidity(40.0, 10.0), 60.0, 5.0, 10.0, 1_000)
NODES = st.integers(0, 2)
SILENT_ABOUT_KEY = {
    outcomes.Reason.LOG_UNAVAILABLE,
    outcomes.Reason.KEY_EXPIRED,
    outcomes.Reason.KEY_FROM_FUTURE,
    outcomes.Reason.KEY_REUSED,
}
"""Reasons of refusals that tell of this sending alone, not of earlier ones with the same key."""


class Flight(NamedTuple):
    """A call that a node has decided to send."""

    node: int
    claim_id: str
    key: str
    body: str


class Claims(stateful.RuleBasedStateMachine):
    """The oracle: each key runs at most once, and every refusal and every answer is true."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = []
        self.first_retained = 0
        self.starts = 0
        self.requests = 0
        self.tables = [None] * 3
        self.read = [0] * 3
        self.clock_errors = [0.0] * 3
        self.appends = []
        self.late = []
        self.sends = []
        self.flights = []
        self.ran = collections.Counter()
        self.ran_claims = set()
        self.claim_by_request = {}
        self.refused = set()
        self.finished = collections.Counter()
        self.open_by_node = [{}, {}, {}]
        self.calls = []
        for node in range(3):
            self.restart(node)

    @stateful.rule(node=NODES, clock_error=st.sampled_from([0.0, 0.0, -60.0]))
    def restart(self, node, clock_error=0.0):
        """A process is replaced, perhaps by one whose clock is slow; what it sent is on its way."""
        self.starts += 1
        self.clock_errors[node] = clock_error
        identity = identifiers.NodeIdentity(f"quito-{node}", str(self.starts))
        rng = random.Random(self.starts)
        self.tables[node] = claim_table.ClaimTable.from_config(LIMITS, identity, 100.0, rng)
        self.read[node] = self.first_retained
        self.late += [found.records for owner, found in self.appends if owner == node]
        self.appends = [entry for entry in self.appends if entry[0] != node]
        self.sends = [entry for entry in self.sends if entry[0] != node]
        self.open_by_node[node] = {}

    @stateful.rule(node=NODES, age=st.sampled_from([-11, -5, 0, 0, 0, 30, 37, 41]))
    def call_new(self, node, age):
        created = int(WALL + self.now - age)
        self.calls.append((f"{created}-key{len(self.calls):05d}", "body"))
        self.begin(node, *self.calls[-1])

    @stateful.rule(node=NODES, index=st.integers(0, 3), body=st.sampled_from(["body"] * 5 + ["x"]))
    def call_again(self, node, index, body):
        if self.calls:
            key, _ = self.calls[-1 - index % len(self.calls)]
            self.begin(node, key, body)

    def begin(self, node, key, body):
        self.requests += 1
        request_id = f"r-{self.requests}"
        call = requests.ServiceCall(
            request_id, "a", "postings", "POST", "/", body, False, key, self.now + 8.0
        )
        self.open_by_node[node][request_id] = (key, body)
        wall = WALL + self.now + self.clock_errors[node]
        self.carry_out(node, self.tables[node].begin(call, self.now, wall))

    def carry_out(self, node, found):
        for effect in found:
            if isinstance(effect, effects.Append):
                self.appends.append((node, effect))
            elif isinstance(effect, effects.Send):
                self.sends.append((node, effect))
                self.claim_by_request[effect.call.request_id] = effect.claim_id
            else:
                self.check_finish(node, effect)

    def check_finish(self, node, effect):
        key, body = self.open_by_node[node].pop(effect.request_id)
        self.finished[effect.request_id] += 1
        outcome = effect.outcome
        if isinstance(outcome, outcomes.Refused):
            self.refused.add(effect.request_id)
            claim_id = self.claim_by_request.get(effect.request_id)
            assert claim_id not in self.ran_claims, "refused as not run, but it ran"
            if outcome.reason not in SILENT_ABOUT_KEY:
                assert not self.ran[key], "refused as not run, but its key ran"
        elif isinstance(outcome, outcomes.Answered):
            assert self.ran[key] == 1
            assert effect.response.body == f"{key} {body}".encode()

    @stateful.precondition(lambda self: self.appends)
    @stateful.rule(fate=st.sampled_from(["done", "done", "refused", "lost", "taken", "late"]))
    def settle_append(self, fate):
        node, found = self.appends.pop(0)
        table = self.tables[node]
        if fate in ("done", "taken"):
            self.log += [(WALL + self.now, value) for value in found.records]
        if fate == "late":
            self.late.append(found.records)
        if fate == "done":
            self.carry_out(node, table.on_append_done(found.operation_id, self.now))
        elif fate == "refused":
            self.carry_out(node, table.on_append_not_done(found.operation_id, self.now, 1.0))
        else:
            self.carry_out(node, table.on_append_unknown(found.operation_id, self.now))

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def land_late(self):
        self.log += [(WALL + self.now, value) for value in self.late.pop(0)]

    @stateful.rule(node=NODES)
    def follow(self, node):
        """Read the log on to its end."""
        self.read[node] = max(self.read[node], self.first_retained)
        for offset in range(self.read[node], len(self.log)):
            appended_at, value = self.log[offset]
            self.carry_out(node, self.tables[node].on_record(offset, appended_at, value, self.now))
        self.read[node] = len(self.log)
        self.tables[node].on_end_reached()

    @stateful.rule(seconds=st.sampled_from([0.5, 2.0, 6.0, 15.0, 30.0]))
    def pass_time(self, seconds):
        self.now += seconds
        limit = WALL + self.now - LIMITS.retention_seconds
        while self.first_retained < len(self.log) and self.log[self.first_retained][0] < limit:
            self.first_retained += 1

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(node=NODES, index=st.integers(0, 3))
    def call_again_after_retention(self, node, index):
        """A node whose clock is slow starts after the key's claim may have left the log."""
        self.pass_time(LIMITS.retention_seconds - 5.0)
        self.pass_time(6.0)
        self.restart(node, -60.0)
        self.follow(node)
        self.call_again(node, index, "body")

    @stateful.rule(node=NODES)
    def tick(self, node):
        self.carry_out(node, self.tables[node].tick(self.now))

    @stateful.precondition(lambda self: self.sends)
    @stateful.rule(index=st.integers(0, 5))
    def check_and_send(self, index):
        """A node asks whether to send; what it sends may be held up before it arrives."""
        node, send = self.sends.pop(index % len(self.sends))
        if self.tables[node].try_mark_sent(send.claim_id, self.now):
            call = send.call
            flight = Flight(node, send.claim_id, call.idempotency_key, call.body_hash)
            self.flights.append(flight)
        else:
            reason = outcomes.Reason.DEADLINE
            self.carry_out(node, self.tables[node].withdraw(send.claim_id, reason, self.now))

    @stateful.precondition(lambda self: self.flights)
    @stateful.rule(index=st.integers(0, 5), fate=st.sampled_from(["run", "run", "cut", "unsent"]))
    def arrive(self, index, fate):
        """A call arrives at the service, or its connection could not be made."""
        flight = self.flights.pop(index % len(self.flights))
        table = self.tables[flight.node]
        if fate == "unsent":
            table.on_not_sent(flight.claim_id)
            reason = outcomes.Reason.BACKEND_UNREACHABLE
            self.carry_out(flight.node, table.withdraw(flight.claim_id, reason, self.now))
            return
        self.ran[flight.key] += 1
        self.ran_claims.add(flight.claim_id)
        assert self.ran[flight.key] == 1, "a call ran twice"
        refused = {self.claim_by_request.get(request_id) for request_id in self.refused}
        assert flight.claim_id not in refused, "a call ran after it was refused as not run"
        body = f"{flight.key} {flight.body}".encode()
        answer = records.Response(200, "", body) if fate == "run" else None
        self.carry_out(flight.node, table.on_response(flight.claim_id, answer, self.now))

    @stateful.rule()
    def run_without_faults(self):
        for _ in range(3):
            self.now += 0.2
            while self.appends:
                self.settle_append("done")
            for node in range(3):
                self.follow(node)
            while self.sends:
                self.check_and_send(0)
            while self.flights:
                self.arrive(0, "run")

    def teardown(self):
        """Every caller at a live node gets one answer by its deadline, whatever went before."""
        self.now += 10.0
        for node in range(3):
            self.tick(node)
        overdue = [entry for calls in self.open_by_node for entry in calls.values()]
        assert overdue == [], "a caller got no answer"
        assert all(count == 1 for count in self.finished.values())


TestClaims = Claims.TestCase
TestClaims.settings = hypothesis.settings(max_examples=600, stateful_step_count=40)
