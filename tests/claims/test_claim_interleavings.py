"""Guards against a call that runs twice, or runs after it was refused as not run.

Random interleavings of three nodes with slow clocks and restarts, a log that loses or delays
appends, and callers that resend the same key at another node.
"""

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
REASONS_ABOUT_THIS_CALL_ONLY = {
    outcomes.Reason.LOG_UNAVAILABLE,
    outcomes.Reason.KEY_EXPIRED,
    outcomes.Reason.KEY_FROM_FUTURE,
    outcomes.Reason.KEY_REUSED,
}
"""Refusals that say nothing about whether an earlier call with the same key ran."""


class SentCall(NamedTuple):
    """A call that was marked as sent and has not yet arrived at the service."""

    node: int
    claim_id: str
    key: str
    body: str


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Checks that each key runs at most once, and that every refusal and response is correct."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = []
        self.first_retained = 0
        self.process_starts = 0
        self.requests = 0
        self.tables = [None] * 3
        self.read = [0] * 3
        self.clock_errors = [0.0] * 3
        self.appends = []
        self.late_appends = []
        self.sends = []
        self.sent_calls = []
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
        """Replace a process, perhaps by one with a slow clock; its appends may still arrive."""
        self.process_starts += 1
        self.clock_errors[node] = clock_error
        identity = identifiers.NodeIdentity(f"quito-{node}", str(self.process_starts))
        rng = random.Random(self.process_starts)
        self.tables[node] = claim_table.ClaimTable.from_config(LIMITS, identity, 100.0, rng)
        self.read[node] = self.first_retained
        self.late_appends += [found.records for owner, found in self.appends if owner == node]
        self.appends = [entry for entry in self.appends if entry[0] != node]
        self.sends = [entry for entry in self.sends if entry[0] != node]
        self.open_by_node[node] = {}

    @stateful.rule(node=NODES, age=st.sampled_from([-11, -5, 0, 0, 0, 30, 37, 41]))
    def call_new(self, node, age):
        created = int(WALL + self.now - age)
        self.calls.append((f"{created}-key{len(self.calls):05d}", "body"))
        self.begin(node, *self.calls[-1])

    @stateful.rule(node=NODES, index=st.integers(0, 3), body=st.sampled_from(["body"] * 5 + ["x"]))
    def resend_call(self, node, index, body):
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
        self.perform(node, self.tables[node].begin(call, self.now, wall))

    def perform(self, node, found):
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
            if outcome.reason not in REASONS_ABOUT_THIS_CALL_ONLY:
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
            self.late_appends.append(found.records)
        if fate == "done":
            self.perform(node, table.on_append_done(found.operation_id, self.now))
        elif fate == "refused":
            self.perform(node, table.on_append_not_done(found.operation_id, self.now, 1.0))
        else:
            self.perform(node, table.on_append_unknown(found.operation_id, self.now))

    @stateful.precondition(lambda self: self.late_appends)
    @stateful.rule()
    def append_late(self):
        self.log += [(WALL + self.now, value) for value in self.late_appends.pop(0)]

    @stateful.rule(node=NODES)
    def read_log(self, node):
        """Let a node read the log to its end."""
        self.read[node] = max(self.read[node], self.first_retained)
        for offset in range(self.read[node], len(self.log)):
            appended_at, value = self.log[offset]
            self.perform(node, self.tables[node].on_record(offset, appended_at, value, self.now))
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
    def resend_call_after_retention(self, node, index):
        """Resend a key at a restarted node with a slow clock, after its claim has left the log."""
        self.pass_time(LIMITS.retention_seconds - 5.0)
        self.pass_time(6.0)
        self.restart(node, -60.0)
        self.read_log(node)
        self.resend_call(node, index, "body")

    @stateful.rule(node=NODES)
    def tick(self, node):
        self.perform(node, self.tables[node].tick(self.now))

    @stateful.precondition(lambda self: self.sends)
    @stateful.rule(index=st.integers(0, 5))
    def check_and_send(self, index):
        """Let a node check whether to send a call; a sent call may arrive much later."""
        node, send = self.sends.pop(index % len(self.sends))
        if self.tables[node].try_mark_sent(send.claim_id, self.now):
            call = send.call
            sent_call = SentCall(node, send.claim_id, call.idempotency_key, call.body_hash)
            self.sent_calls.append(sent_call)
        else:
            reason = outcomes.Reason.DEADLINE
            self.perform(node, self.tables[node].withdraw(send.claim_id, reason, self.now))

    @stateful.precondition(lambda self: self.sent_calls)
    @stateful.rule(index=st.integers(0, 5), fate=st.sampled_from(["run", "run", "cut", "unsent"]))
    def arrive(self, index, fate):
        """Let a sent call arrive at the service, or fail before anything was sent."""
        sent_call = self.sent_calls.pop(index % len(self.sent_calls))
        table = self.tables[sent_call.node]
        if fate == "unsent":
            table.on_not_sent(sent_call.claim_id)
            reason = outcomes.Reason.BACKEND_UNREACHABLE
            self.perform(sent_call.node, table.withdraw(sent_call.claim_id, reason, self.now))
            return
        self.ran[sent_call.key] += 1
        self.ran_claims.add(sent_call.claim_id)
        assert self.ran[sent_call.key] == 1, "a call ran twice"
        refused = {self.claim_by_request.get(request_id) for request_id in self.refused}
        assert sent_call.claim_id not in refused, "a call ran after it was refused as not run"
        body = f"{sent_call.key} {sent_call.body}".encode()
        response = records.Response(200, "", body) if fate == "run" else None
        self.perform(sent_call.node, table.on_response(sent_call.claim_id, response, self.now))

    @stateful.rule()
    def run_without_faults(self):
        for _ in range(3):
            self.now += 0.2
            while self.appends:
                self.settle_append("done")
            for node in range(3):
                self.read_log(node)
            while self.sends:
                self.check_and_send(0)
            while self.sent_calls:
                self.arrive(0, "run")

    def teardown(self):
        """Check that every caller at a live node got exactly one result by its deadline."""
        self.now += 10.0
        for node in range(3):
            self.tick(node)
        overdue = [entry for calls in self.open_by_node for entry in calls.values()]
        assert overdue == [], "a caller got no result"
        assert all(count == 1 for count in self.finished.values())


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = hypothesis.settings(max_examples=600, stateful_step_count=40)
