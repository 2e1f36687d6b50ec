"""The prefix map against an unbounded oracle, and its confidence after lost events."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies as st

from dragonflycove.routing import prefix_map

CHAIN = tuple(range(1, 9))


def make_page(sequence, is_stored, hashes, first=0):
    event = prefix_map.CacheEvent(sequence, is_stored, hashes)
    return prefix_map.CachePage(first, sequence + 1, (event,))


@hypothesis.given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 8), st.booleans())))
def test_without_lost_events_the_longest_cached_prefixes_are_found(steps):
    subject = prefix_map.PrefixMap()
    depth = {"a": 0, "b": 0}
    sequence = {"a": 0, "b": 0}
    for server, blocks, is_stored in steps:
        hashes = CHAIN[:blocks] if is_stored else CHAIN[blocks:]
        depth[server] = max(depth[server], blocks) if is_stored else min(depth[server], blocks)
        subject.on_page(server, make_page(sequence[server], is_stored, hashes))
        sequence[server] += 1
    deepest = max(depth.values())
    found = subject.find(CHAIN)
    assert {name for name, cached in found.items() if cached.blocks == deepest} == {
        name for name, blocks in depth.items() if blocks == deepest and blocks
    }
    assert all(cached.blocks <= depth[name] for name, cached in found.items())


@pytest.mark.parametrize(
    ("following", "confidence"),
    [
        (make_page(1, True, (99,)), 1.0),
        (make_page(2, True, (99,)), 0.5),
        (make_page(9, True, (99,), first=9), 0.5),
        (prefix_map.CachePage(0, 4, ()), 0.5),
        (make_page(0, False, CHAIN), 1.0),
    ],
)
def test_lost_events_lower_the_confidence_and_an_old_event_changes_nothing(following, confidence):
    subject = prefix_map.PrefixMap()
    subject.on_page("a", make_page(0, True, CHAIN))
    subject.on_page("a", following)
    assert subject.find(CHAIN)["a"] == prefix_map.CachedPrefix(8, confidence)


def test_prefix_is_not_found_after_many_lost_events_or_a_restart():
    subject = prefix_map.PrefixMap()
    for server in "ab":
        subject.on_page(server, make_page(0, True, CHAIN))
    for _ in range(3):
        subject.on_events_lost("a")
    subject.on_restart("b")
    assert subject.find(CHAIN) == {}


def test_number_of_blocks_and_of_engines_per_block_is_bounded():
    subject = prefix_map.PrefixMap(100)
    for block in range(1_000):
        for server in range(20):
            subject.store(f"s{server}", block)
    assert len(subject) == 100
    assert len(subject.find((999,))) == prefix_map.SERVERS_PER_BLOCK_LIMIT
