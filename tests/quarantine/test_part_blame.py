"""Which parts of prompts are blamed for servers that ended, and which are not."""

from __future__ import annotations

import random

import pytest

from dragonflycove.fleet import catalog
from dragonflycove.quarantine import blamed_parts, crash_counts, part_blame

CALLER, BAD, WORSE, OTHER = (part_blame.part_fingerprint(one) for one in "abcd")

REQUEST = 12_345
"""Fingerprint of a whole request."""


def _crash(counts: crash_counts.CrashCounts, server: int, at: float, *parts: int) -> None:
    """Record a server that ended while it ran requests with some parts."""
    for part in parts:
        counts.add(crash_counts.Crash(part, catalog.Instance(f"s{server}", 1), at), at)


def _answer(counts: crash_counts.CrashCounts, at: float, *parts: int) -> None:
    for part in parts:
        counts.add_answer(crash_counts.Answer(part, at), at)


def _request(*parts: int, name: str = "r") -> blamed_parts.PartRequest:
    return blamed_parts.PartRequest(name, parts)


def _blamed(counts: crash_counts.CrashCounts, now: float) -> set[frozenset[int]]:
    return {one.parts for one in blamed_parts.BlamedParts(counts).found(now)}


def test_fingerprints_of_parts_differ_from_those_of_requests() -> None:
    assert all(part_blame.is_part(part) for part in (CALLER, BAD, WORSE, OTHER))
    assert not part_blame.is_part(REQUEST)


def test_the_part_that_was_never_answered_is_blamed_alone() -> None:
    counts = crash_counts.CrashCounts()
    _answer(counts, 1.0, CALLER, OTHER)
    for number in range(3):
        _crash(counts, number, 2.0 + number / 2, CALLER, BAD, OTHER)
    assert _blamed(counts, 3.1) == {frozenset({BAD})}


def test_parts_that_nothing_tells_apart_are_refused_only_together() -> None:
    counts = crash_counts.CrashCounts()
    for number in range(3):
        _crash(counts, number, number / 2, CALLER, BAD)
    blame = blamed_parts.BlamedParts(counts)
    assert blame.refusal_seconds(_request(CALLER, OTHER), 1.1) is None
    assert blame.refusal_seconds(_request(CALLER, BAD), 1.1) == pytest.approx(599.9)
    _answer(counts, 1.2, CALLER, OTHER)
    assert _blamed(counts, 1.3) == {frozenset({BAD})}


def test_two_crashing_parts_are_both_blamed() -> None:
    counts = crash_counts.CrashCounts()
    _answer(counts, 0.0, CALLER)
    for number in range(6):
        _crash(counts, number, number / 4, CALLER, (BAD, WORSE)[number % 2])
    assert _blamed(counts, 2.0) == {frozenset({BAD}), frozenset({WORSE})}


def test_parts_beside_a_blamed_one_are_not_blamed_for_its_crashes() -> None:
    counts = crash_counts.CrashCounts()
    for number in range(5):
        _crash(counts, number, number / 4, BAD)
        if number < 4:
            _crash(counts, number, number / 4, OTHER)
    assert _blamed(counts, 2.0) == {frozenset({BAD})}


def test_servers_that_end_in_the_same_moment_blame_nothing() -> None:
    counts = crash_counts.CrashCounts()
    for number in range(8):
        _crash(counts, number, 1.0 + number / 100, CALLER, OTHER)
    assert _blamed(counts, 9.0) == set()


def test_a_part_answered_before_is_blamed_once_no_answer_comes_for_a_while() -> None:
    counts = crash_counts.CrashCounts()
    _answer(counts, 0.0, BAD)
    for number in range(5):
        _crash(counts, number, 1.0 + number / 4, BAD)
    assert _blamed(counts, 2.1) == set()
    assert _blamed(counts, 2.0 + part_blame.CONFIRMATION_SECONDS) == {frozenset({BAD})}
    _answer(counts, 3.5, BAD)
    assert _blamed(counts, 3.6) == set()


def test_one_request_with_a_blamed_part_is_let_through_at_growing_intervals() -> None:
    counts = crash_counts.CrashCounts()
    for number in range(3):
        _crash(counts, number, number / 2, BAD)
    blame = blamed_parts.BlamedParts(counts)
    first = _request(BAD, name="first")
    assert blame.refusal_seconds(first, 20.0, may_try=True) is not None
    assert blame.refusal_seconds(first, 21.1, may_try=False) is not None
    assert blame.refusal_seconds(first, 21.1, may_try=True) is None
    assert blame.refusal_seconds(_request(BAD, name="other"), 21.2, may_try=True) is not None
    assert blame.refusal_seconds(first, 21.3, may_try=True) is None
    _crash(counts, 9, 21.4, BAD)
    assert blame.refusal_seconds(first, 21.5, may_try=True) is not None
    tried = sum(
        blame.refusal_seconds(_request(BAD, name=f"t{at}"), float(at), may_try=True) is None
        for at in range(22, 600)
    )
    assert tried == 2


def test_the_answer_to_a_request_that_was_let_through_clears_its_part() -> None:
    counts = crash_counts.CrashCounts()
    for number in range(3):
        _crash(counts, number, number / 2, BAD)
    blame = blamed_parts.BlamedParts(counts)
    assert blame.refusal_seconds(_request(BAD), 30.0, may_try=True) is None
    _answer(counts, 32.0, BAD)
    assert blame.refusal_seconds(_request(BAD, name="next"), 32.1) is None


def test_crashes_just_after_an_answer_count_against_a_part_but_not_a_request() -> None:
    counts = crash_counts.CrashCounts()
    _answer(counts, 1.0, BAD, REQUEST)
    _crash(counts, 1, 2.0, BAD, REQUEST)
    assert counts.crash_count(BAD, 2.0) == 1
    assert counts.crash_count(REQUEST, 2.0) == 0


def test_a_blamed_part_is_let_in_again_after_its_last_crash_has_expired() -> None:
    counts = crash_counts.CrashCounts()
    for number in range(3):
        _crash(counts, number, number / 2, BAD)
    assert _blamed(counts, 600.9) == {frozenset({BAD})}
    assert _blamed(counts, 601.1) == set()


def test_parts_that_many_prompts_share_leave_nothing_behind_once_answered() -> None:
    counts = crash_counts.CrashCounts()
    for number in range(200):
        _crash(counts, number, float(number), CALLER)
        _answer(counts, number + 0.5, CALLER)
    assert counts.crashes(200.0) == []


def test_parts_that_many_prompts_share_are_not_saved_in_the_store() -> None:
    counts = crash_counts.CrashCounts()
    _answer(counts, 0.5, CALLER)
    for number in range(3):
        _crash(counts, number, 1.0 + number, CALLER, BAD)
    saved = counts.counted_crashes(2, 4.0, omits_answered_parts=True)
    assert {crash.fingerprint for crash in saved} == {BAD}
    assert {crash.fingerprint for crash in counts.counted_crashes(2, 4.0)} == {BAD, CALLER}


def test_many_parts_take_bounded_memory_and_do_not_displace_a_blamed_one() -> None:
    counts = crash_counts.CrashCounts()
    for number in range(3):
        _crash(counts, number, number / 2, BAD)
    parts = [part_blame.part_fingerprint(f"p{number}") for number in range(10_000)]
    for number, part in enumerate(parts):
        _crash(counts, 10 + number, 3.0 + number / 1_000, part)
        _answer(counts, 3.0 + number / 1_000, part_blame.part_fingerprint(f"q{number}"))
    assert len(counts.crashes(20.0)) <= crash_counts.MAX_FINGERPRINTS + 2
    assert _blamed(counts, 20.0) == {frozenset({BAD})}


@pytest.mark.parametrize("seed", range(20))
def test_of_many_parts_the_crashing_one_is_blamed_and_no_other(seed: int) -> None:
    rng = random.Random(seed)
    counts = crash_counts.CrashCounts()
    parts = [part_blame.part_fingerprint(f"p{number}") for number in range(12)]
    _answer(counts, 0.0, *rng.sample(parts, 8))
    for number in range(8):
        at = 1.0 + number * 0.2
        running = [rng.sample(parts, 2) for _ in range(rng.randrange(4))]
        beside = {part for request in running for part in request}
        _crash(counts, number, at, CALLER, BAD, *beside)
        # Sound requests are answered at other servers.
        _answer(counts, at + 0.1, CALLER, *rng.sample(parts, 4))
    assert _blamed(counts, 4.0) == {frozenset({BAD})}
