"""The prefix map against an oracle that keeps everything."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies as st

from dragonflycove.routing import prefix_map

CHAIN = tuple(range(1, 9))


def page(sequence, is_stored, hashes, first=0):
    event = prefix_map.CacheEvent(sequence, is_stored, hashes)
    return prefix_map.CachePage(first, sequence + 1, (event,))


@hypothesis.given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 8), st.booleans())))
def test_without_gaps_it_finds_what_the_engines_hold(steps):
    subject = prefix_map.PrefixMap()
    depth = {"a": 0, "b": 0}
    sequence = {"a": 0, "b": 0}
    for server, blocks, is_stored in steps:
        hashes = CHAIN[:blocks] if is_stored else CHAIN[blocks:]
        depth[server] = max(depth[server], blocks) if is_stored else min(depth[server], blocks)
        subject.on_page(server, page(sequence[server], is_stored, hashes))
        sequence[server] += 1
    deepest = max(depth.values())
    found = subject.find(CHAIN)
    assert {name for name, held in found.items() if held.blocks == deepest} == {
        name for name, blocks in depth.items() if blocks == deepest and blocks
    }
    assert all(held.blocks <= depth[name] for name, held in found.items())


@pytest.mark.parametrize(
    ("following", "confidence"),
    [
        (page(1, True, (99,)), 1.0),
        (page(2, True, (99,)), 0.5),
        (page(9, True, (99,), first=9), 0.5),
        (prefix_map.CachePage(0, 4, ()), 0.5),
        (page(0, False, CHAIN), 1.0),
    ],
)
def test_gap_lowers_the_trust_and_an_old_event_changes_nothing(following, confidence):
    subject = prefix_map.PrefixMap()
    subject.on_page("a", page(0, True, CHAIN))
    subject.on_page("a", following)
    assert subject.find(CHAIN)["a"] == prefix_map.CachedPrefix(8, confidence)


def test_many_gaps_and_a_restart_end_the_trust():
    subject = prefix_map.PrefixMap()
    for server in "ab":
        subject.on_page(server, page(0, True, CHAIN))
    for _ in range(3):
        subject.on_events_lost("a")
    subject.on_restart("b")
    assert subject.find(CHAIN) == {}


def test_memory_is_bounded():
    subject = prefix_map.PrefixMap(100)
    for block in range(1_000):
        for server in range(20):
            subject.store(f"s{server}", block)
    assert len(subject) == 100
    assert len(subject.find((999,))) == prefix_map.SERVERS_PER_BLOCK_LIMIT
