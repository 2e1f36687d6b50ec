"""Limits that servers state: the newest statement counts at all nodes, in whatever order it comes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dragonflycove.fleet import catalog, server_limits

SERVER = catalog.Instance("a", 1)


def _statement(limit: float | None, at: float) -> server_limits.Statement:
    return server_limits.Statement(SERVER, limit, at)


@given(st.lists(st.floats(0.1, 9.0), min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_nodes_that_hear_the_same_statements_agree(values: list[float], rng: object) -> None:
    heard = [_statement(value, float(at)) for at, value in enumerate(values)]
    shuffled = heard + heard
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    one, other = server_limits.ServerLimits(), server_limits.ServerLimits()
    for statement in heard:
        one.add(statement)
    for statement in shuffled:
        other.add(statement)
    assert one.limit(SERVER) == other.limit(SERVER) == values[-1]
    assert one.digest() == other.digest() != 0


def test_a_response_to_a_request_sent_before_the_limit_does_not_end_it() -> None:
    limits = server_limits.ServerLimits()
    assert limits.add(_statement(2.0, 5.0))
    assert not limits.add(_statement(None, 4.9))
    assert limits.limit(SERVER) == 2.0
    assert limits.add(_statement(None, 5.1))
    assert limits.limit(SERVER) is None
    assert limits.digest() == 0
    assert len(limits) == 0


def test_a_server_that_starts_again_has_no_limit() -> None:
    limits = server_limits.ServerLimits()
    limits.add(_statement(2.0, 5.0))
    assert limits.limit(catalog.Instance("a", 2)) is None


def test_statements_that_nothing_repeats_expire() -> None:
    limits = server_limits.ServerLimits()
    limits.add(_statement(2.0, 5.0))
    limits.discard_expired(5.0 + server_limits.RETENTION_SECONDS)
    assert limits.limit(SERVER) is None


def test_the_number_of_servers_is_bounded() -> None:
    limits = server_limits.ServerLimits()
    for number in range(server_limits.MAX_SERVERS + 10):
        instance = catalog.Instance(f"s{number}", 1)
        limits.add(server_limits.Statement(instance, 1.0, float(number)))
    assert len(limits) == server_limits.MAX_SERVERS
    assert limits.limit(catalog.Instance("s0", 1)) is None
