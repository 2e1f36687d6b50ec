"""The dispatcher against a simple oracle, under any order of events."""

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
    """Every admitted request ends once, and dispatches obey limits, exclusions and zones.

    Guards against lost or doubly ended requests, servers over their limit, and dispatches to a
    server that is excluded or in a zone that was taken out.
    """

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.request_count = 0
        self.limits_by_server = {}
        self.zones_out = frozenset()
        self.open_requests = {}
        self.server_by_running = {}
        self.members_by_request = {}
        self.cooldown_until = {}
        self.preempted = set()
        self.candidates_by_request = {}
        self.excluded_by_request = {}

    @stateful.initialize(policy=st.sampled_from(policies.Policy), seed=st.integers(0, 9))
    def start(self, policy, seed):
        self.configuration = node_fleet.make_configuration(
            *(node_fleet.make_server(name, zone=f"z{i % 2 + 1}") for i, name in enumerate(SERVERS))
        )
        self.subject = dispatcher.Dispatcher.from_config(
            self.configuration, "z1", policy, random.Random(seed)
        )
        self.set_limits([2, 2, 2])

    def apply_effects(self, produced):
        for effect in produced:
            if isinstance(effect, effects.Dispatch):
                self.record_dispatch(effect)
            elif isinstance(effect, effects.Fail):
                self.forget(effect.request_id)
                assert effect.outcome.reason in outcomes.STATUS_BY_REASON
            elif isinstance(effect, effects.NeedsGroup):
                self.candidates_by_request[effect.request.request_id] = effect.candidates
            elif isinstance(effect, effects.Preempt):
                assert self.server_by_running[effect.request_id] == effect.server_id
                self.preempted.add(effect.request_id)
            else:
                raise AssertionError(effect)

    def record_dispatch(self, effect):
        request_id = effect.request.request_id
        assert request_id in self.open_requests
        assert request_id not in self.server_by_running
        assert self.now < self.open_requests[request_id].deadline
        members = effect.group or (effect.server_id,)
        self.server_by_running[request_id] = effect.server_id
        self.members_by_request[request_id] = members
        for member in members:
            assert self.configuration.servers_by_id[member].zone not in self.zones_out
            assert member not in self.excluded_by_request.get(request_id, ())
            used = sum(member in self.members_by_request[name] for name in self.server_by_running)
            assert used <= self.limits_by_server[member]

    def forget(self, request_id):
        del self.open_requests[request_id]
        self.server_by_running.pop(request_id, None)
        self.candidates_by_request.pop(request_id, None)
        self.preempted.discard(request_id)

    @stateful.rule(
        tokens=st.sampled_from([500, 20_000, 90_000, 130_000]),
        seconds=st.sampled_from([0.5, 30.0, 300.0]),
        urgency=st.sampled_from(requests.Urgency),
        organisation=st.sampled_from("ab"),
    )
    def submit(self, tokens, seconds, urgency, organisation):
        self.request_count += 1
        request = node_fleet.make_request(
            f"r{self.request_count}",
            tokens,
            deadline=self.now + seconds,
            urgency=urgency,
            organisation=organisation,
        )
        self.open_requests[request.request_id] = request
        produced = self.subject.submit(request, self.now)
        if produced and isinstance(produced[0], effects.Refuse):
            assert len(produced) == 1
            del self.open_requests[request.request_id]
        else:
            self.apply_effects(produced)

    @stateful.rule(seconds=st.sampled_from([0.05, 1.0, 20.0]))
    def advance(self, seconds):
        until = self.now + seconds
        while self.subject.next_tick(self.now) <= until:
            self.now = max(self.now, self.subject.next_tick(self.now))
            self.apply_effects(self.subject.tick(self.now))
        self.now = until
        assert all(request.deadline > self.now for request in self.open_requests.values())

    @stateful.precondition(lambda self: self.server_by_running)
    @stateful.rule(data=st.data(), event=st.sampled_from(["first", "end", "fail", "withdraw"]))
    def progress(self, data, event):
        request_id = data.draw(st.sampled_from(sorted(self.server_by_running)))
        if event == "first":
            self.apply_effects(self.subject.on_first_token(request_id, self.now))
        elif event == "fail":
            self.fail_attempt(request_id, self.server_by_running[request_id])
        else:
            self.forget(request_id)
            call = self.subject.on_finished if event == "end" else self.subject.withdraw
            self.apply_effects(call(request_id, self.now))

    def fail_attempt(self, request_id, server_id):
        del self.server_by_running[request_id]
        self.preempted.discard(request_id)
        reason = outcomes.Reason.BACKEND_CRASHED
        self.cooldown_until[server_id] = self.now + router.RESTART_COOLDOWN_SECONDS
        self.apply_effects(self.subject.on_attempt_failed(request_id, server_id, reason, self.now))
        self.excluded_by_request[request_id] = self.excluded_by_request.get(
            request_id, frozenset()
        ) | {server_id}
        excluded = self.excluded_by_request[request_id]
        request = self.open_requests[request_id]
        self.apply_effects(self.subject.resubmit(request, self.now, excluded, reason))

    @stateful.precondition(lambda self: self.preempted)
    @stateful.rule()
    def dispatch_preempted_again(self):
        request_id = min(self.preempted)
        self.preempted.discard(request_id)
        del self.server_by_running[request_id]
        excluded = self.excluded_by_request.get(request_id, frozenset())
        reason = outcomes.Reason.PREEMPTED
        request = self.open_requests[request_id]
        self.apply_effects(self.subject.resubmit(request, self.now, excluded, reason))

    @stateful.precondition(lambda self: self.candidates_by_request)
    @stateful.rule()
    def build_group(self):
        request_id, candidates = self.candidates_by_request.popitem()
        members = candidates[:2]
        zones = {self.configuration.servers_by_id[name].zone for name in members}
        used = {
            m: sum(m in self.members_by_request[n] for n in self.server_by_running) for m in members
        }
        is_full = any(used[m] >= self.limits_by_server[m] for m in members)
        may_be_blocked = any(self.cooldown_until.get(m, 0.0) > self.now for m in members)
        produced = self.subject.on_group_ready(request_id, members, self.now)
        is_dispatched = any(isinstance(e, effects.Dispatch) for e in produced)
        assert is_dispatched or zones & self.zones_out or is_full or may_be_blocked
        self.apply_effects(produced)

    @stateful.rule(limits=st.lists(st.integers(1, 3), min_size=3, max_size=3))
    def raise_limits(self, limits):
        self.set_limits(
            [max(a, b) for a, b in zip(limits, self.limits_by_server.values(), strict=True)]
        )

    def set_limits(self, limits):
        self.limits_by_server = dict(zip(SERVERS, limits, strict=True))
        self.apply_effects(self.subject.set_limits(self.limits_by_server, self.now))

    @stateful.rule(zones=st.sampled_from([(), ("z1",), ("z2",), ("z1", "z2")]))
    def move_zones(self, zones):
        self.zones_out = frozenset(zones)
        configuration = self.configuration._replace(zones_out=self.zones_out)
        self.apply_effects(self.subject.set_configuration(configuration, self.now))

    @stateful.rule(server=st.sampled_from(SERVERS), tokens=st.sampled_from([0, 5_000, 90_000]))
    def report(self, server, tokens):
        self.apply_effects(
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
            self.apply_effects(self.subject.tick(self.now))
        assert self.open_requests == {}
        status = self.subject.status()
        assert (status.queued, status.running, status.awaiting_group) == (0, 0, 0)


TestDispatcherMachine = DispatcherMachine.TestCase
TestDispatcherMachine.settings = hypothesis.settings(max_examples=60, stateful_step_count=40)
