"""The dispatcher: refusals, in-flight limits, deadlines, retries, memory groups, zone changes."""

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
def test_request_that_cannot_be_served_is_refused_at_once(
    request_changes, configuration_changes, reason
):
    subject = make(**configuration_changes)
    [effect] = subject.submit(node_fleet.make_request("r", **request_changes), 1.0)
    assert isinstance(effect, effects.Refuse)
    assert effect.outcome.reason is reason
    assert subject.status().counts_by_reason == {reason: 1}


def test_second_submission_of_a_request_in_flight_is_refused():
    subject = make()
    subject.submit(node_fleet.make_request("r"), 0.0)
    [effect] = subject.submit(node_fleet.make_request("r"), 1.0)
    assert effect.outcome.reason is outcomes.Reason.ALREADY_RUNNING


@pytest.mark.parametrize("policy", list(policies.Policy))
def test_in_flight_limit_is_kept_and_a_freed_slot_is_reused(policy):
    subject = make(policy=policy)
    subject.set_limits({"s1": 2}, 0.0)
    dispatched = [
        e for i in range(4) for e in subject.submit(node_fleet.make_request(f"r{i}"), 0.0)
    ]
    assert [e.request.request_id for e in dispatched] == ["r0", "r1"]
    [third] = subject.on_finished("r0", 1.0)
    assert third.request.request_id == "r2"
    assert subject.withdraw("r3", 1.0) == []
    assert subject.on_finished("r1", 2.0) == []
    assert subject.status().queued == 0


def test_expired_limits_allow_no_dispatch_until_they_are_renewed():
    subject = make()
    subject.set_limits({"s1": 2}, 0.0, 1.0)
    assert len(subject.submit(node_fleet.make_request("in time"), 1.0)) == 1
    assert subject.submit(node_fleet.make_request("after a pause"), 1.1) == []
    [late] = subject.set_limits({"s1": 2}, 1.2, 1.0)
    assert late.request.request_id == "after a pause"


@pytest.mark.parametrize("is_running", [True, False])
def test_deadline_fails_a_request_with_or_without_a_running_attempt(is_running):
    subject = make()
    subject.set_limits({"s1": int(is_running)}, 0.0) if is_running else None
    subject.submit(node_fleet.make_request("r", deadline=9.0), 0.0)
    if not is_running:
        subject.on_attempt_failed("r", "s1", outcomes.Reason.BACKEND_CRASHED, 1.0)
    assert subject.next_tick(1.0) == 9.0
    [failed] = subject.tick(9.0)
    assert failed.outcome.reason is outcomes.Reason.DEADLINE
    assert failed.outcome.ran is outcomes.Execution.MAY_HAVE_RUN
    assert subject.tick(10.0) == []


def test_failed_attempt_is_retried_on_another_server_and_never_on_the_same():
    subject = make(node_fleet.make_server("s1"), node_fleet.make_server("s2"))
    [first] = subject.submit(node_fleet.make_request("r"), 0.0)
    reason = outcomes.Reason.BACKEND_CRASHED
    subject.on_attempt_failed("r", first.server_id, reason, 1.0)
    [second] = subject.resubmit(first.request, 1.0, frozenset({first.server_id}), reason)
    assert second.server_id != first.server_id
    subject.on_attempt_failed("r", second.server_id, reason, 2.0)
    [failed] = subject.resubmit(first.request, 2.0, frozenset({"s1", "s2"}), reason)
    assert failed.outcome.reason is outcomes.Reason.NO_SERVER


def test_retries_stop_when_the_retry_budget_is_used_up():
    subject = make(node_fleet.make_server("s1"), node_fleet.make_server("s2"))
    subject.submit(node_fleet.make_request("r", deadline=1e6), 0.0)
    produced = []
    for _ in range(30):
        produced += subject.resubmit(
            node_fleet.make_request("r", deadline=1e6), 0.0, frozenset(), outcomes.Reason.STREAM_GAP
        )
    assert [e.outcome.reason for e in produced if isinstance(e, effects.Fail)] == [
        outcomes.Reason.RETRY_BUDGET
    ]


def test_request_larger_than_any_engine_gets_a_group():
    subject = make(node_fleet.make_server("s1"), node_fleet.make_server("s2"))
    request = node_fleet.make_request("r", 130_000, deadline=600.0)
    [group_effect] = subject.submit(request, 0.0)
    assert (type(group_effect), group_effect.request) == (effects.NeedsGroup, request)
    assert sorted(group_effect.candidates) == ["s1", "s2"]
    [dispatched] = subject.on_group_ready("r", ("s2", "s1"), 1.0)
    assert (dispatched.server_id, dispatched.group) == ("s2", ("s2", "s1"))
    assert subject.on_group_ready("r", ("s2", "s1"), 2.0) == []


def test_zone_taken_out_fails_its_queued_requests_and_gets_no_dispatch():
    subject = make()
    subject.set_limits({"s1": 0}, 0.0)
    subject.set_limits({"s1": 1}, 0.0)
    for name in ("r0", "r1"):
        subject.submit(node_fleet.make_request(name), 0.0)
    zone_out = node_fleet.make_configuration(
        node_fleet.make_server("s1"), zones_out=frozenset({"z1"})
    )
    [failed] = subject.set_configuration(zone_out, 1.0)
    assert (failed.request_id, failed.outcome.ran) == ("r1", outcomes.Execution.NOT_RUN)
    assert subject.on_finished("r0", 2.0) == []


def test_organisation_over_its_limit_is_refused_until_its_bucket_refills():
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


def test_number_of_organisation_buckets_is_bounded():
    limits = organisation_limits.OrganisationLimits()
    for index in range(26_000):
        limits.charge(f"organisation-{index}", 100.0, 50, float(index))
    assert len(limits) <= organisation_limits.BUCKETS_LIMIT
