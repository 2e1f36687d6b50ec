"""Counts of the servers that requests have crashed, and their agreement between nodes."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from dragonflycove.fleet import catalog
from dragonflycove.quarantine import crash_counts, quarantine

VALIDITY = crash_counts.ANSWER_VALIDITY_SECONDS


def crash(
    server: str = "s1", at: float = 100.0, *, fingerprint: int = 7, born: int = 1
) -> crash_counts.Crash:
    """Return a crash."""
    return crash_counts.Crash(fingerprint, catalog.Instance(server, born), at)


def counts(*known: crash_counts.Crash) -> crash_counts.CrashCounts:
    """Return a node's counts with some crashes."""
    node = crash_counts.CrashCounts()
    for one in known:
        node.add(one, one.at)
    return node


def test_a_request_is_refused_after_it_crashed_three_servers() -> None:
    node = counts()
    for number in range(1, 4):
        assert node.refusal_seconds(7, 100.0) is None
        assert node.add(crash(f"s{number}"), 100.0)
        assert node.crash_count(7, 100.0) == number
    assert node.refusal_seconds(7, 101.0) == quarantine.REFUSAL_SECONDS - 1.0
    assert node.refusal_seconds(8, 100.0) is None
    assert node.refusal_seconds(7, 100.0 + quarantine.REFUSAL_SECONDS) is None


def test_one_crash_reported_by_several_nodes_counts_once() -> None:
    node = counts(crash(), crash(at=101.0), crash(at=104.0))
    assert node.crash_count(7, 104.0) == 1
    assert not node.add(crash(at=105.0), 105.0)


def test_each_start_of_a_server_under_the_same_id_counts() -> None:
    assert counts(crash(born=1), crash(born=2)).crash_count(7, 100.0) == 2


def test_crashes_of_different_nodes_add_up() -> None:
    first, second = counts(crash("s1")), counts(crash("s2"), crash("s3"))
    for one in second.crashes(100.0):
        first.add(one, 100.0)
    assert first.refusal_seconds(7, 100.0) is not None


def test_an_answer_clears_earlier_crashes_and_those_shortly_after() -> None:
    node = counts(crash("s1"), crash("s2"), crash("s3"))
    assert node.add_answer(crash_counts.Answer(7, 105.0), 105.0)
    assert node.refusal_seconds(7, 105.0) is None
    node.add(crash("s4", 105.0 + VALIDITY), 105.0 + VALIDITY)
    assert node.crash_count(7, 105.0 + VALIDITY) == 0
    node.add(crash("s5", 106.0 + VALIDITY), 106.0 + VALIDITY)
    assert node.crash_count(7, 106.0 + VALIDITY) == 1


def test_a_late_report_of_an_earlier_answer_clears_no_later_crash() -> None:
    node = counts(crash("s1", 200.0), crash("s2", 200.0), crash("s3", 200.0))
    assert not node.add_answer(crash_counts.Answer(7, 100.0), 201.0)
    assert node.refusal_seconds(7, 201.0) is not None


def test_the_number_of_kept_fingerprints_is_bounded_and_refused_ones_are_kept() -> None:
    node = counts(crash("s1"), crash("s2"), crash("s3"))
    for fingerprint in range(100, 100 + crash_counts.MAX_FINGERPRINTS + 50):
        node.add(crash("s9", 101.0, fingerprint=fingerprint), 101.0)
    assert node.refusal_seconds(7, 101.0) is not None
    assert node.crash_count(100, 101.0) == 0
    assert node.suspect_count(101.0) == crash_counts.MAX_FINGERPRINTS


_EVENTS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(0, 2), st.integers(0, 5), st.booleans()), max_size=40
)


@given(_EVENTS, st.randoms(use_true_random=False))
def test_nodes_agree_once_each_has_heard_the_others_in_any_order(
    events: list[tuple[int, int, int, bool]], rng: object
) -> None:
    nodes = [crash_counts.CrashCounts() for _ in range(4)]
    now = 100.0
    for node, fingerprint, server, is_answer in events:
        now += 1.0
        if is_answer:
            nodes[node].add_answer(crash_counts.Answer(fingerprint, now), now)
        else:
            nodes[node].add(crash(f"s{server}", now, fingerprint=fingerprint), now)
    pairs = list(itertools.permutations(nodes, 2)) * 2
    rng.shuffle(pairs)  # type: ignore[attr-defined]
    for _ in range(2):
        for source, target in pairs:
            for one in source.crashes(now):
                target.add(one, now)
            for answer in source.answers(now):
                target.add_answer(answer, now)
    assert len({node.digest(now) for node in nodes}) == 1
    for fingerprint in range(3):
        assert len({node.crash_count(fingerprint, now) for node in nodes}) == 1


def test_a_server_that_was_alive_later_was_not_crashed() -> None:
    node = counts(crash("s1"), crash("s2"), crash("s3"))
    alive = catalog.Instance("s2", 1)
    assert not counts().add_survival(crash_counts.Survival(alive, float("-inf")))
    assert node.add_survival(crash_counts.Survival(alive, 100.0))
    assert node.refusal_seconds(7, 101.0) is None
    node.add(crash("s2", 102.0, born=2), 102.0)
    assert node.refusal_seconds(7, 102.0) is not None
