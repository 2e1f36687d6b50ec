"""The dispatcher against a simple oracle under any order of events."""

from __future__ import annotations

import random

import hypothesis
import node_fleet
from hypothesis import stateful
from hypothesis import strategies as st

from dragonflycove.admission import dispatcher, effects
from dragonflycove.routing import load_view, policies, router
from dragonflycove.values import outcomes, requests

SERVERS = ("s1", "s2", "s3")


class DispatcherMachine(stateful.RuleBasedStateMachine):
    """Every admitted request gets one end, limits hold, nothing is dispatched where it may not."""

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.number = 0
        self.limits = {}
        self.out = frozenset()
        self.open = {}
        self.running = {}
        self.members = {}
        self.paused = {}
        self.preempted = set()
        self.groups = {}
        self.excluded = {}

    @stateful.initialize(policy=st.sampled_from(policies.Policy), seed=st.integers(0, 9))
    def start(self, policy, seed):
        self.configuration = node_fleet.make_configuration(
            *(node_fleet.make_server(name, zone=f"z{i % 2 + 1}") for i, name in enumerate(SERVERS))
        )
        self.subject = dispatcher.Dispatcher.from_config(
            self.configuration, "z1", policy, random.Random(seed)
        )
        self.set_limits([2, 2, 2])

    def check(self, wanted):
        for effect in wanted:
            if isinstance(effect, effects.Dispatch):
                self.check_dispatch(effect)
            elif isinstance(effect, effects.Fail):
                self.end(effect.request_id)
                assert effect.outcome.reason in outcomes.STATUS_BY_REASON
            elif isinstance(effect, effects.NeedsGroup):
                self.groups[effect.request.request_id] = effect.candidates
            elif isinstance(effect, effects.Preempt):
                assert self.running[effect.request_id] == effect.server_id
                self.preempted.add(effect.request_id)
            else:
                raise AssertionError(effect)

    def check_dispatch(self, effect):
        request_id = effect.request.request_id
        assert request_id in self.open
        assert request_id not in self.running
        assert self.now < self.open[request_id].deadline
        members = effect.group or (effect.server_id,)
        self.running[request_id] = effect.server_id
        self.members[request_id] = members
        for member in members:
            assert self.configuration.servers_by_id[member].zone not in self.out
            assert member not in self.excluded.get(request_id, ())
            used = sum(member in self.members[name] for name in self.running)
            assert used <= self.limits[member]

    def end(self, request_id):
        del self.open[request_id]
        self.running.pop(request_id, None)
        self.groups.pop(request_id, None)
        self.preempted.discard(request_id)

    @stateful.rule(
        tokens=st.sampled_from([500, 20_000, 90_000, 130_000]),
        seconds=st.sampled_from([0.5, 30.0, 300.0]),
        urgency=st.sampled_from(requests.Urgency),
        organisation=st.sampled_from("ab"),
    )
    def submit(self, tokens, seconds, urgency, organisation):
        self.number += 1
        request = node_fleet.make_request(
            f"r{self.number}",
            tokens,
            deadline=self.now + seconds,
            urgency=urgency,
            organisation=organisation,
        )
        self.open[request.request_id] = request
        wanted = self.subject.submit(request, self.now)
        if wanted and isinstance(wanted[0], effects.Refuse):
            assert len(wanted) == 1
            del self.open[request.request_id]
        else:
            self.check(wanted)

    @stateful.rule(seconds=st.sampled_from([0.05, 1.0, 20.0]))
    def advance(self, seconds):
        until = self.now + seconds
        while self.subject.next_tick(self.now) <= until:
            self.now = max(self.now, self.subject.next_tick(self.now))
            self.check(self.subject.tick(self.now))
        self.now = until
        assert all(request.deadline > self.now for request in self.open.values())

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), what=st.sampled_from(["first", "end", "fail", "withdraw"]))
    def progress(self, data, what):
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        if what == "first":
            self.check(self.subject.on_first_token(request_id, self.now))
        elif what == "fail":
            self.break_off(request_id, self.running[request_id])
        else:
            self.end(request_id)
            call = self.subject.on_finished if what == "end" else self.subject.withdraw
            self.check(call(request_id, self.now))

    def break_off(self, request_id, server_id):
        del self.running[request_id]
        self.preempted.discard(request_id)
        reason = outcomes.Reason.BACKEND_CRASHED
        self.paused[server_id] = self.now + router.RESTART_COOLDOWN_SECONDS
        self.check(self.subject.on_attempt_failed(request_id, server_id, reason, self.now))
        self.excluded[request_id] = self.excluded.get(request_id, frozenset()) | {server_id}
        excluded = self.excluded[request_id]
        request = self.open[request_id]
        self.check(self.subject.resubmit(request, self.now, excluded, reason))

    @stateful.precondition(lambda self: self.preempted)
    @stateful.rule()
    def give_back(self):
        request_id = min(self.preempted)
        self.preempted.discard(request_id)
        del self.running[request_id]
        excluded = self.excluded.get(request_id, frozenset())
        reason = outcomes.Reason.PREEMPTED
        request = self.open[request_id]
        self.check(self.subject.resubmit(request, self.now, excluded, reason))

    @stateful.precondition(lambda self: self.groups)
    @stateful.rule()
    def build_group(self):
        request_id, candidates = self.groups.popitem()
        members = candidates[:2]
        zones = {self.configuration.servers_by_id[name].zone for name in members}
        used = {m: sum(m in self.members[n] for n in self.running) for m in members}
        is_full = any(used[m] >= self.limits[m] for m in members)
        may_be_paused = any(self.paused.get(m, 0.0) > self.now for m in members)
        wanted = self.subject.on_group_ready(request_id, members, self.now)
        is_sent = any(isinstance(e, effects.Dispatch) for e in wanted)
        assert is_sent or zones & self.out or is_full or may_be_paused
        self.check(wanted)

    @stateful.rule(limits=st.lists(st.integers(1, 3), min_size=3, max_size=3))
    def raise_limits(self, limits):
        self.set_limits([max(a, b) for a, b in zip(limits, self.limits.values(), strict=True)])

    def set_limits(self, limits):
        self.limits = dict(zip(SERVERS, limits, strict=True))
        self.check(self.subject.set_limits(self.limits, self.now))

    @stateful.rule(zones=st.sampled_from([(), ("z1",), ("z2",), ("z1", "z2")]))
    def move_zones(self, zones):
        self.out = frozenset(zones)
        configuration = self.configuration._replace(zones_out=self.out)
        self.check(self.subject.set_configuration(configuration, self.now))

    @stateful.rule(server=st.sampled_from(SERVERS), tokens=st.sampled_from([0, 5_000, 90_000]))
    def report(self, server, tokens):
        self.check(
            self.subject.on_report(
                load_view.LoadReport(
                    server,
                    0.2,
                    "1",
                    1,
                    0,
                    (0, 0),
                    (0, tokens),
                    tokens,
                    100_000,
                    9,
                    (node_fleet.MODEL,),
                ),
                self.now,
            )
        )

    def teardown(self):
        if not hasattr(self, "subject"):
            return
        for _ in range(12):
            self.now += 30.0
            self.check(self.subject.tick(self.now))
        assert self.open == {}
        snapshot = self.subject.status()
        assert (snapshot.queued, snapshot.running, snapshot.awaiting_group) == (0, 0, 0)


TestDispatcherMachine = DispatcherMachine.TestCase
TestDispatcherMachine.settings = hypothesis.settings(max_examples=60, stateful_step_count=40)
