"""Tests of the claim table with an in-memory log."""

from __future__ import annotations

import random

import pytest

from dragonflycove.claims import claim_limits, claim_table, effects, keys, records
from dragonflycove.values import identifiers, outcomes, requests

LIMITS = claim_limits.ClaimLimits(keys.KeyValidity(100.0, 10.0), 200.0, 5.0, 20.0, 1_000)
WALL = 1_000_000.0


class Node:
    """A claim table and its position in the log."""

    def __init__(self, name, limits=LIMITS):
        identity = identifiers.NodeIdentity(name, "start-1")
        rng = random.Random(name)
        self.table = claim_table.ClaimTable.from_config(limits, identity, 100.0, rng)
        self.table.on_end_reached()
        self.read = 0

    def begin(self, call, now=0.0, wall=WALL):
        return self.table.begin(call, now, wall)

    def read_log(self, log, now=0.0, appended_at=WALL):
        """Read the new records of the log and return the effects."""
        found = []
        while self.read < len(log):
            found += self.table.on_record(self.read, appended_at, log[self.read], now)
            self.read += 1
        return found


def make_call(request_id="r-1", key=f"{WALL:.0f}-abcdefgh", body="b", deadline=30.0):
    """Return a call that is not idempotent."""
    return requests.ServiceCall(
        request_id, "andrade", "postings", "POST", "/postings", body, False, key, deadline
    )


def appended(found):
    """Return the records of the appends among effects."""
    return [value for e in found if isinstance(e, effects.Append) for value in e.records]


def finished(found):
    """Return the outcomes of the finished calls among effects."""
    return [e.outcome for e in found if isinstance(e, effects.Finish)]


def run_first(node, log, call):
    """Claim and send a call at a node and deliver its response; return the last effects."""
    log += appended(node.begin(call))
    (send,) = node.read_log(log)
    assert node.table.try_mark_sent(send.claim_id, 0.0)
    assert not node.table.try_mark_sent(send.claim_id, 0.0)
    response = records.Response(201, "text/plain", b"done")
    node.table.on_append_done("any", 0.0)
    return node.table.on_response(send.claim_id, response, 0.0)


def test_only_the_first_claim_is_sent_and_others_get_the_recorded_response():
    log, first, second = [], Node("quito-1"), Node("quito-2")
    ours = appended(first.begin(make_call()))
    log += ours + appended(second.begin(make_call("r-2")))
    (send,) = first.read_log(log)
    assert second.read_log(log) == []
    assert first.table.try_mark_sent(send.claim_id, 1.0)
    assert first.table.withdraw(send.claim_id, outcomes.Reason.NO_SERVER, 1.0) == []
    first.table.on_append_done("append-unknown", 1.0)
    response = records.Response(201, "text/plain", b"done")
    found = first.table.on_response(send.claim_id, response, 1.0) + first.table.tick(1.1)
    assert finished(found) == [outcomes.Answered(201)]
    outcome = records.Outcome(send.claim_id, keys.ClaimKey.from_call(make_call()), "", response)
    log.append(records.encode(outcome))
    (again,) = second.read_log(log)
    assert (again.request_id, again.outcome, again.response) == (
        "r-2",
        outcomes.Answered(201),
        response,
    )
    assert second.begin(make_call("r-3"))[0].response == response


@pytest.mark.parametrize(
    ("call", "reason"),
    [
        (make_call(key=""), outcomes.Reason.KEY_MISSING),
        (make_call(key="no-time"), outcomes.Reason.BAD_REQUEST),
        (make_call(key=f"{WALL - 101:.0f}-abcdefgh"), outcomes.Reason.KEY_EXPIRED),
        (make_call(key=f"{WALL + 11:.0f}-abcdefgh"), outcomes.Reason.KEY_FROM_FUTURE),
    ],
)
def test_an_invalid_key_is_refused_at_once(call, reason):
    (finish,) = Node("quito-1").begin(call)
    assert isinstance(finish.outcome, outcomes.Refused)
    assert finish.outcome.reason is reason


@pytest.mark.parametrize("appended_at", [WALL + 101, WALL - 11])
def test_a_claim_whose_key_is_invalid_by_the_log_clock_is_not_sent(appended_at):
    node = Node("quito-1")
    log = appended(node.begin(make_call()))
    found = node.read_log(log, appended_at=appended_at)
    assert isinstance(finished(found)[0], outcomes.Refused)
    assert not any(isinstance(effect, effects.Send) for effect in found)


def test_a_key_reused_with_another_body_is_refused():
    log, node = [], Node("quito-1")
    run_first(node, log, make_call())
    (refused,) = finished(node.begin(make_call("r-2", body="other")))
    assert refused.reason is outcomes.Reason.KEY_REUSED


def test_a_holder_paused_past_the_send_deadline_does_not_send():
    log, node = [], Node("quito-1")
    log += appended(node.begin(make_call()))
    (send,) = node.read_log(log)
    assert not node.table.try_mark_sent(send.claim_id, LIMITS.claim_seconds)
    found = node.table.tick(LIMITS.claim_seconds)
    assert isinstance(finished(found)[0], outcomes.Refused)
    assert not node.table.try_mark_sent(send.claim_id, 0.0)


def test_a_call_of_a_dead_owner_is_reported_as_may_have_run():
    log, first, second = [], Node("quito-1"), Node("quito-2")
    log += appended(first.begin(make_call()))
    second.read_log(log)
    assert second.begin(make_call("r-2"), 1.0) == []
    assert second.table.tick(24.9) == []
    (failed,) = finished(second.table.tick(25.0))
    assert failed.ran is outcomes.Execution.MAY_HAVE_RUN


def test_a_claim_read_back_after_its_call_was_refused_is_not_sent():
    log, first, second = [], Node("quito-1"), Node("quito-2")
    (append,) = first.begin(make_call())
    first.table.on_append_unknown(append.operation_id, 0.0)
    log += append.records
    (refused,) = finished(first.table.tick(5.0))
    assert refused.reason is outcomes.Reason.LOG_UNAVAILABLE
    found = first.read_log(log, 6.0)
    assert not any(isinstance(effect, effects.Send) for effect in found)
    assert second.begin(make_call("r-2"), 6.0) != []


def test_a_late_copy_of_a_withdrawn_claim_does_not_hold_the_key():
    log, first, second = [], Node("quito-1"), Node("quito-2")
    (append,) = first.begin(make_call())
    first.table.on_append_unknown(append.operation_id, 0.0)
    withdrawn = appended(first.table.tick(5.0))
    log += [*append.records, *withdrawn, *append.records]
    second.read_log(log, 6.0)
    log += appended(second.begin(make_call("r-2"), 6.0))
    (send,) = second.read_log(log, 6.0)
    assert second.table.try_mark_sent(send.claim_id, 6.0)


def test_limits_under_which_keys_outlive_their_claims_in_the_log_are_rejected():
    with pytest.raises(ValueError, match="215"):
        Node("quito-1", LIMITS._replace(key_validity=keys.KeyValidity(200.0, 10.0)))


def test_a_call_that_waits_until_its_key_expires_is_reported_as_may_have_run():
    log, first, second = [], Node("quito-1"), Node("quito-2")
    old = make_call(key=f"{WALL - 99:.0f}-abcdefgh")
    log += appended(first.begin(old))
    second.read_log(log)
    assert second.begin(old._replace(request_id="r-2")) == []
    log += appended(second.begin(make_call("r-3")))
    second.read_log(log, 2.0, WALL + 2.0)
    (failed,) = finished(second.table.tick(3.0))
    assert failed.ran is outcomes.Execution.MAY_HAVE_RUN


def test_a_call_whose_holder_withdrew_claims_again_and_waits_if_another_claim_is_first():
    log, first, second, third = [], Node("quito-1"), Node("quito-2"), Node("quito-3")
    (append,) = first.begin(make_call())
    log += append.records
    second.read_log(log)
    assert second.begin(make_call("r-2")) == []
    first.table.on_append_done(append.operation_id, 5.0)
    log += appended(first.table.tick(5.0))
    third.read_log(log, 5.0)
    log += appended(third.begin(make_call("r-3"), 5.0))
    (send,) = third.read_log(log, 5.0)
    assert third.table.try_mark_sent(send.claim_id, 5.0)
    found = second.read_log(log, 6.0)
    assert finished(found) == []
    log += appended(found)
    assert second.read_log(log, 6.0) == []
