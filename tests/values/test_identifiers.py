"""Tests of node identities, stable hashes and rendezvous hashing."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from dragonflycove.values import identifiers


@hypothesis.given(st.sets(st.text(min_size=1), min_size=2), st.text())
def test_removing_a_candidate_keeps_the_order_of_the_others(names: set[str], key: str) -> None:
    ranked = identifiers.rendezvous_rank(key, names)
    removed = ranked[0]
    assert identifiers.rendezvous_rank(key, names - {removed}) == ranked[1:]


def test_stable_hash_depends_on_the_boundaries_of_its_parts() -> None:
    assert identifiers.stable_hash("ab", "c") != identifiers.stable_hash("a", "bc")


def test_identity_is_parsed_from_its_string_form() -> None:
    identity = identifiers.NodeIdentity("entry-1", "inc-9")
    assert identifiers.NodeIdentity.parse(str(identity)) == identity
