"""The dispatcher: one end for each request, refusals at once, limits kept."""

from __future__ import annotations

import random

import node_fleet
import pytest

from dragonflycove.admission import dispatcher, effects, organisation_limits
from dragonflycove.configuration import schema
from dragonflycove.routing import policies
from dragonflycove.values import outcomes


def make(*servers, policy=policies.Policy.BORROWING, **changes):
    configuration = node_fleet.make_configuration(
        *(servers or (node_fleet.make_server("s1"),)), **changes
    )
    return dispatcher.Dispatcher.from_config(configuration, "z1", policy, random.Random(1))


@pytest.mark.parametrize(
    ("request_changes", "configuration_changes", "reason"),
    [
        ({"deadline": 0.5}, {}, outcomes.Reason.DEADLINE),
        ({"organisation": "nobody"}, {}, outcomes.Reason.UNKNOWN_ORGANISATION),
        ({"model": "other"}, {}, outcomes.Reason.NO_SERVER),
        ({}, {"zones_out": frozenset({"z1"})}, outcomes.Reason.NO_SERVER),
        ({"prompt_tokens": 90_000, "deadline": 8.0}, {}, outcomes.Reason.OVERLOADED),
        ({"max_tokens": 9_000, "deadline": 8.0}, {}, outcomes.Reason.OVERLOADED),
    ],
)
def test_refuses_at_once(request_changes, configuration_changes, reason):
    subject = make(**configuration_changes)
    [effect] = subject.submit(node_fleet.make_request("r", **request_changes), 1.0)
    assert isinstance(effect, effects.Refuse)
    assert effect.outcome.reason is reason
    assert subject.status().counts_by_reason == {reason: 1}


def test_second_submission_of_a_running_request_is_refused():
    subject = make()
    subject.submit(node_fleet.make_request("r"), 0.0)
    [effect] = subject.submit(node_fleet.make_request("r"), 1.0)
    assert effect.outcome.reason is outcomes.Reason.ALREADY_RUNNING


@pytest.mark.parametrize("policy", list(policies.Policy))
def test_limit_is_kept_and_a_free_slot_is_used(policy):
    subject = make(policy=policy)
    subject.set_limits({"s1": 2}, 0.0)
    sent = [e for i in range(4) for e in subject.submit(node_fleet.make_request(f"r{i}"), 0.0)]
    assert [e.request.request_id for e in sent] == ["r0", "r1"]
    [third] = subject.on_finished("r0", 1.0)
    assert third.request.request_id == "r2"
    assert subject.withdraw("r3", 1.0) == []
    assert subject.on_finished("r1", 2.0) == []
    assert subject.status().queued == 0


def test_limits_that_were_not_renewed_let_nothing_start():
    subject = make()
    subject.set_limits({"s1": 2}, 0.0, 1.0)
    assert len(subject.submit(node_fleet.make_request("in time"), 1.0)) == 1
    assert subject.submit(node_fleet.make_request("after a pause"), 1.1) == []
    [late] = subject.set_limits({"s1": 2}, 1.2, 1.0)
    assert late.request.request_id == "after a pause"


@pytest.mark.parametrize("is_sent", [True, False])
def test_deadline_ends_a_request(is_sent):
    subject = make()
    subject.set_limits({"s1": int(is_sent)}, 0.0) if is_sent else None
    subject.submit(node_fleet.make_request("r", deadline=9.0), 0.0)
    if not is_sent:
        subject.on_attempt_failed("r", "s1", outcomes.Reason.BACKEND_CRASHED, 1.0)
    assert subject.next_tick(1.0) == 9.0
    [failed] = subject.tick(9.0)
    assert failed.outcome.reason is outcomes.Reason.DEADLINE
    assert failed.outcome.ran is outcomes.Ran.MAY_HAVE_RUN
    assert subject.tick(10.0) == []


def test_broken_attempt_moves_to_another_server_and_never_back():
    subject = make(node_fleet.make_server("s1"), node_fleet.make_server("s2"))
    [first] = subject.submit(node_fleet.make_request("r"), 0.0)
    reason = outcomes.Reason.BACKEND_CRASHED
    subject.on_attempt_failed("r", first.server_id, reason, 1.0)
    [second] = subject.resubmit(first.request, 1.0, frozenset({first.server_id}), reason)
    assert second.server_id != first.server_id
    subject.on_attempt_failed("r", second.server_id, reason, 2.0)
    [failed] = subject.resubmit(first.request, 2.0, frozenset({"s1", "s2"}), reason)
    assert failed.outcome.reason is outcomes.Reason.NO_SERVER


def test_retry_budget_ends_a_storm_of_retries():
    subject = make(node_fleet.make_server("s1"), node_fleet.make_server("s2"))
    subject.submit(node_fleet.make_request("r", deadline=1e6), 0.0)
    ends = []
    for _ in range(30):
        ends += subject.resubmit(
            node_fleet.make_request("r", deadline=1e6), 0.0, frozenset(), outcomes.Reason.STREAM_GAP
        )
    assert [e.outcome.reason for e in ends if isinstance(e, effects.Fail)] == [
        outcomes.Reason.RETRY_BUDGET
    ]


def test_request_larger_than_any_engine_gets_a_group():
    subject = make(node_fleet.make_server("s1"), node_fleet.make_server("s2"))
    request = node_fleet.make_request("r", 130_000, deadline=600.0)
    [needed] = subject.submit(request, 0.0)
    assert (type(needed), needed.request) == (effects.NeedsGroup, request)
    assert sorted(needed.candidates) == ["s1", "s2"]
    [sent] = subject.on_group_ready("r", ("s2", "s1"), 1.0)
    assert (sent.server_id, sent.group) == ("s2", ("s2", "s1"))
    assert subject.on_group_ready("r", ("s2", "s1"), 2.0) == []


def test_zone_taken_out_ends_what_waits_and_sends_nothing_there():
    subject = make()
    subject.set_limits({"s1": 0}, 0.0)
    subject.set_limits({"s1": 1}, 0.0)
    for name in ("r0", "r1"):
        subject.submit(node_fleet.make_request(name), 0.0)
    out = node_fleet.make_configuration(node_fleet.make_server("s1"), zones_out=frozenset({"z1"}))
    [failed] = subject.set_configuration(out, 1.0)
    assert (failed.request_id, failed.outcome.ran) == ("r1", outcomes.Ran.NOT_RUN)
    assert subject.on_finished("r0", 2.0) == []


def test_organisation_over_its_limit_is_refused_until_it_is_not():
    limited = {"a": schema.Organisation("a", 1.0, 200.0), "b": schema.Organisation("b", 1.0, 0.0)}
    subject = make(organisations_by_name=limited)
    subject.set_organisation_share(0.5)
    seen = []
    for index, at in enumerate((0.0, 0.0, 0.2, 0.29, 1.0)):
        [effect] = subject.submit(node_fleet.make_request(f"r{index}"), at)
        seen.append(getattr(effect, "outcome", None))
    assert seen[0] is None
    assert {refused.reason for refused in seen[1:4]} == {outcomes.Reason.ORGANISATION_LIMIT}
    assert seen[1].retry_after_seconds == pytest.approx(0.3)
    assert seen[4] is None
    [other] = subject.submit(node_fleet.make_request("other", organisation="b"), 1.0)
    assert isinstance(other, effects.Dispatch)


def test_limits_remember_only_organisations_that_use_them():
    limits = organisation_limits.OrganisationLimits()
    for index in range(26_000):
        limits.charge(f"organisation-{index}", 100.0, 50, float(index))
    assert len(limits) <= organisation_limits.BUCKETS_LIMIT
