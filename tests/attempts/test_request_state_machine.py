"""Tests of the state machine of a model request."""

from __future__ import annotations

import random

import pytest

from dragonflycove.attempts import effects, request_state_machine
from dragonflycove.values import outcomes, requests

REQUEST = requests.ModelRequest(
    "r-1", "andrade", "answers", "m", 2_000, 8, (1,), requests.Urgency.INTERACTIVE, 100.0
)


def start_machine(server_id="e-1"):
    """Return a state machine whose first attempt has started, and that effect."""
    machine = request_state_machine.RequestStateMachine(REQUEST, random.Random(1))
    (first,) = machine.on_dispatched(server_id, 0, 0.0)
    return machine, first


def feed(machine, attempt, indexes, token="x", finish=None):
    """Deliver frames of an attempt and return the effects."""
    return [
        effect
        for index in indexes
        for effect in machine.on_frame(attempt, index, token, finish, 1.0)
    ]


def test_duplicate_and_stale_frames_are_dropped():
    machine, first = start_machine()
    emitted = feed(machine, first.attempt, [0, 0, 1, 1, 0])
    emitted += feed(machine, "attempt-other", [2])
    assert emitted == [effects.Emit(0, "x", None), effects.Emit(1, "x", None)]
    assert (machine.frames_dropped.duplicate, machine.frames_dropped.late) == (3, 1)
    last = feed(machine, first.attempt, [2], finish="stop")
    assert last == [effects.Emit(2, "x", "stop"), effects.Finish(outcomes.Answered())]
    assert machine.done


def test_a_gap_is_fetched_by_a_single_resume():
    machine, first = start_machine()
    feed(machine, first.attempt, [0])
    assert feed(machine, first.attempt, [2, 3]) == [
        effects.ResumeAttempt(first.attempt, "e-1", 1, 1)
    ]
    assert [e.frame_index for e in feed(machine, first.attempt, [1, 2])] == [1, 2]
    assert machine.retries_by_reason == {outcomes.Reason.STREAM_GAP: 1}


@pytest.mark.parametrize(
    "second", [effects.AttemptFailureKind.SILENT, effects.AttemptFailureKind.UNREACHABLE]
)
def test_a_stream_that_times_out_is_resumed_and_only_a_second_failure_makes_the_server_suspect(
    second,
):
    machine, first = start_machine()
    feed(machine, first.attempt, [0, 1])
    resumed = machine.on_attempt_failed(
        first.attempt, effects.AttemptFailureKind.SILENT, 2.0, connection=0
    )
    assert resumed == [effects.ResumeAttempt(first.attempt, "e-1", 2, 1)]
    assert (
        machine.on_attempt_failed(
            first.attempt, effects.AttemptFailureKind.CRASHED, 2.0, connection=0
        )
        == []
    )
    left = machine.on_attempt_failed(first.attempt, second, 3.0, connection=1)
    assert left == [
        effects.SuspectServer("e-1", first.attempt, outcomes.Reason.BACKEND_SILENT),
        effects.CancelAttempt(first.attempt, "e-1"),
        effects.Redispatch(frozenset({"e-1"}), outcomes.Reason.BACKEND_SILENT),
    ]
    (again,) = machine.on_dispatched("e-2", 0, 3.0)
    assert (again.base_index, again.received_text, again.max_tokens) == (2, "xx", 6)
    assert feed(machine, first.attempt, [2]) == []
    assert feed(machine, again.attempt, [0]) == [effects.Emit(2, "x", None)]


@pytest.mark.parametrize(
    ("kind", "ran"),
    [
        (effects.AttemptFailureKind.UNREACHABLE, outcomes.Execution.NOT_RUN),
        (effects.AttemptFailureKind.REFUSED_NOT_RUN, outcomes.Execution.NOT_RUN),
        (effects.AttemptFailureKind.ERROR, outcomes.Execution.MAY_HAVE_RUN),
    ],
)
def test_a_failure_reports_whether_the_request_may_have_run(kind, ran):
    machine, first = start_machine()
    asked = machine.on_attempt_failed(first.attempt, kind, 1.0)
    assert isinstance(asked[-1], effects.Redispatch)
    no_server = outcomes.Failed(outcomes.Reason.NO_SERVER, "none", outcomes.Execution.NOT_RUN, 5.0)
    (finish,) = machine.on_no_server(no_server, 1.0)
    assert finish.outcome == no_server._replace(ran=ran)


def test_a_moved_request_keeps_its_old_attempt_until_the_first_frame_of_the_new_one():
    machine, first = start_machine()
    feed(machine, first.attempt, [0])
    asked = machine.on_moved(outcomes.Reason.SERVER_LEAVING, 1.0)
    assert asked == [effects.Redispatch(frozenset({"e-1"}), outcomes.Reason.SERVER_LEAVING)]
    assert feed(machine, first.attempt, [1]) == [effects.Emit(1, "x", None)]
    (second,) = machine.on_dispatched("e-2", 0, 1.0)
    back = machine.on_attempt_failed(
        second.attempt, effects.AttemptFailureKind.REFUSED_NOT_RUN, 1.0
    )
    assert back == [effects.ResumeAttempt(first.attempt, "e-1", 2, 1)]
    machine.on_moved(outcomes.Reason.SERVER_LEAVING, 2.0)
    (third,) = machine.on_dispatched("e-3", 0, 2.0)
    assert feed(machine, third.attempt, [0]) == [
        effects.CancelAttempt(first.attempt, "e-1"),
        effects.Emit(2, "x", None),
    ]


def test_a_caller_that_reconnects_receives_the_frames_that_it_lacks():
    machine, first = start_machine()
    feed(machine, first.attempt, [0])
    machine.on_caller_disconnected(1.0)
    assert (
        feed(machine, first.attempt, [1]) == feed(machine, first.attempt, [2], finish="stop") == []
    )
    assert [e.frame_index for e in machine.on_caller_resumed(1, 2.0)[:-1]] == [1, 2]
    assert machine.done


def test_the_attempt_is_cancelled_when_the_caller_does_not_return():
    machine, first = start_machine()
    machine.on_caller_disconnected(1.0)
    assert machine.tick(30.9) == []
    cancel, finish = machine.tick(31.0)
    assert cancel == effects.CancelAttempt(first.attempt, "e-1")
    assert finish.outcome.reason is outcomes.Reason.CANCELLED


def test_the_deadline_ends_a_request_and_cancels_its_attempt():
    machine, first = start_machine()
    cancel, finish = machine.tick(100.0)
    assert cancel == effects.CancelAttempt(first.attempt, "e-1")
    assert finish.outcome.reason is outcomes.Reason.DEADLINE
    assert feed(machine, first.attempt, [0]) == []


def test_a_stream_is_resumed_at_another_node_without_duplicate_frames():
    point = start_machine()[0].resume_point
    machine = request_state_machine.RequestStateMachine(
        REQUEST, random.Random(2), caller_from_index=2
    )
    assert machine.on_taken_over(point, 1.0) == [
        effects.ResumeAttempt(point.attempt, point.server_id, 0, 1)
    ]
    emitted = feed(machine, point.attempt, [0, 1, 2])
    assert emitted == [effects.Emit(2, "x", None)]


@pytest.mark.parametrize(
    "kind", [effects.AttemptFailureKind.SILENT, effects.AttemptFailureKind.CRASHED]
)
def test_a_stream_that_may_belong_to_another_node_is_neither_resumed_nor_cancelled(kind):
    machine, first = start_machine()
    feed(machine, first.attempt, [0])
    machine.on_caller_disconnected(1.0)
    assert machine.on_attempt_failed(first.attempt, kind, 2.0) == []
    assert machine.tick(31.0)[0] == effects.AbandonAttempt(first.attempt, "e-1")
    machine, first = start_machine()
    machine.on_caller_disconnected(1.0)
    machine.on_attempt_failed(first.attempt, kind, 2.0)
    assert machine.on_caller_resumed(0, 3.0) == [effects.ResumeAttempt(first.attempt, "e-1", 0, 1)]
