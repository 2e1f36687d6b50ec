"""Tests of the life of a model request."""

from __future__ import annotations

import random

import pytest

from dragonflycove.attempts import effects, request_state_machine
from dragonflycove.values import outcomes, requests

REQUEST = requests.ModelRequest(
    "r-1", "andrade", "answers", "m", 2_000, 8, (1,), requests.Urgency.INTERACTIVE, 100.0
)


def start(server_id="e-1"):
    """Return a life whose first attempt has started, and that attempt."""
    life = request_state_machine.RequestStateMachine(REQUEST, random.Random(1))
    (first,) = life.on_dispatched(server_id, 0, 0.0)
    return life, first


def feed(life, attempt, indexes, token="x", finish=None):
    """Hand in frames and return the effects."""
    return [
        effect for index in indexes for effect in life.on_frame(attempt, index, token, finish, 1.0)
    ]


def test_frames_are_handed_on_in_sequence_and_others_dropped():
    life, first = start()
    emitted = feed(life, first.attempt, [0, 0, 1, 1, 0])
    emitted += feed(life, "attempt-other", [2])
    assert emitted == [effects.Emit(0, "x", None), effects.Emit(1, "x", None)]
    assert (life.frames_dropped.duplicate, life.frames_dropped.late) == (3, 1)
    last = feed(life, first.attempt, [2], finish="stop")
    assert last == [effects.Emit(2, "x", "stop"), effects.Finish(outcomes.Answered())]
    assert life.done


def test_a_gap_is_fetched_again_once():
    life, first = start()
    feed(life, first.attempt, [0])
    assert feed(life, first.attempt, [2, 3]) == [effects.ResumeAttempt(first.attempt, "e-1", 1, 1)]
    assert [e.frame_index for e in feed(life, first.attempt, [1, 2])] == [1, 2]
    assert life.retries_by_reason == {outcomes.Reason.STREAM_GAP: 1}


@pytest.mark.parametrize("second", [effects.BreakKind.SILENT, effects.BreakKind.UNREACHABLE])
def test_silence_resumes_and_only_a_second_failure_makes_the_server_suspect(second):
    life, first = start()
    feed(life, first.attempt, [0, 1])
    resumed = life.on_broken(first.attempt, effects.BreakKind.SILENT, 2.0, connection=0)
    assert resumed == [effects.ResumeAttempt(first.attempt, "e-1", 2, 1)]
    assert life.on_broken(first.attempt, effects.BreakKind.CRASHED, 2.0, connection=0) == []
    left = life.on_broken(first.attempt, second, 3.0, connection=1)
    assert left == [
        effects.SuspectServer("e-1", first.attempt, outcomes.Reason.BACKEND_SILENT),
        effects.CancelAttempt(first.attempt, "e-1"),
        effects.Redispatch(frozenset({"e-1"}), outcomes.Reason.BACKEND_SILENT),
    ]
    (again,) = life.on_dispatched("e-2", 0, 3.0)
    assert (again.base_index, again.delivered_text, again.max_tokens) == (2, "xx", 6)
    assert feed(life, first.attempt, [2]) == []
    assert feed(life, again.attempt, [0]) == [effects.Emit(2, "x", None)]


@pytest.mark.parametrize(
    ("kind", "ran"),
    [
        (effects.BreakKind.UNREACHABLE, outcomes.Ran.NOT_RUN),
        (effects.BreakKind.REFUSED_NOT_RUN, outcomes.Ran.NOT_RUN),
        (effects.BreakKind.ERROR, outcomes.Ran.MAY_HAVE_RUN),
    ],
)
def test_failure_says_what_is_known_about_whether_it_ran(kind, ran):
    life, first = start()
    asked = life.on_broken(first.attempt, kind, 1.0)
    assert isinstance(asked[-1], effects.Redispatch)
    no_server = outcomes.Failed(outcomes.Reason.NO_SERVER, "none", outcomes.Ran.NOT_RUN, 5.0)
    (finish,) = life.on_no_server(no_server, 1.0)
    assert finish.outcome == no_server._replace(ran=ran)


def test_a_moved_request_keeps_its_old_attempt_until_the_new_one_answers():
    life, first = start()
    feed(life, first.attempt, [0])
    asked = life.on_moved(outcomes.Reason.SERVER_LEAVING, 1.0)
    assert asked == [effects.Redispatch(frozenset({"e-1"}), outcomes.Reason.SERVER_LEAVING)]
    assert feed(life, first.attempt, [1]) == [effects.Emit(1, "x", None)]
    (second,) = life.on_dispatched("e-2", 0, 1.0)
    back = life.on_broken(second.attempt, effects.BreakKind.REFUSED_NOT_RUN, 1.0)
    assert back == [effects.ResumeAttempt(first.attempt, "e-1", 2, 1)]
    life.on_moved(outcomes.Reason.SERVER_LEAVING, 2.0)
    (third,) = life.on_dispatched("e-3", 0, 2.0)
    assert feed(life, third.attempt, [0]) == [
        effects.CancelAttempt(first.attempt, "e-1"),
        effects.Emit(2, "x", None),
    ]


def test_a_caller_that_comes_back_gets_what_it_lacks():
    life, first = start()
    feed(life, first.attempt, [0])
    life.on_caller_gone(1.0)
    assert feed(life, first.attempt, [1]) == feed(life, first.attempt, [2], finish="stop") == []
    assert [e.frame_index for e in life.on_caller_resumed(1, 2.0)[:-1]] == [1, 2]
    assert life.done


def test_a_caller_that_stays_away_frees_the_engine():
    life, first = start()
    life.on_caller_gone(1.0)
    assert life.tick(30.9) == []
    cancel, finish = life.tick(31.0)
    assert cancel == effects.CancelAttempt(first.attempt, "e-1")
    assert finish.outcome.reason is outcomes.Reason.CANCELLED


def test_the_deadline_ends_a_request_and_frees_the_engine():
    life, first = start()
    cancel, finish = life.tick(100.0)
    assert cancel == effects.CancelAttempt(first.attempt, "e-1")
    assert finish.outcome.reason is outcomes.Reason.DEADLINE
    assert feed(life, first.attempt, [0]) == []


def test_a_stream_goes_on_at_another_node():
    point = start()[0].resume_point
    life = request_state_machine.RequestStateMachine(REQUEST, random.Random(2), caller_from_index=2)
    assert life.on_taken_over(point, 1.0) == [
        effects.ResumeAttempt(point.attempt, point.server_id, 0, 1)
    ]
    emitted = feed(life, point.attempt, [0, 1, 2])
    assert emitted == [effects.Emit(2, "x", None)]


@pytest.mark.parametrize("kind", [effects.BreakKind.SILENT, effects.BreakKind.CRASHED])
def test_a_stream_that_a_caller_may_have_taken_elsewhere_is_neither_stolen_nor_cut(kind):
    life, first = start()
    feed(life, first.attempt, [0])
    life.on_caller_gone(1.0)
    assert life.on_broken(first.attempt, kind, 2.0) == []
    assert life.tick(31.0)[0] == effects.AbandonAttempt(first.attempt, "e-1")
    life, first = start()
    life.on_caller_gone(1.0)
    life.on_broken(first.attempt, kind, 2.0)
    assert life.on_caller_resumed(0, 3.0) == [effects.ResumeAttempt(first.attempt, "e-1", 0, 1)]
