"""Which connections give way to new ones."""

from __future__ import annotations

import itertools

import pytest

from dragonflycove.fleet.memory import byte_account, connection_limit

LIMIT = 3
"""Connections that are admitted."""


def _full() -> connection_limit.ConnectionLimit[str]:
    limit = connection_limit.ConnectionLimit[str](LIMIT)
    for number, name in enumerate("abc"):
        assert limit.admit(name, float(number)) == connection_limit.Admission(is_admitted=True)
    return limit


def test_the_connection_that_has_waited_longest_gives_way() -> None:
    limit = _full()
    limit.on_waiting("a", 5.0)
    assert limit.admit("d", 6.0) == connection_limit.Admission(is_admitted=True, closed="b")
    assert limit.admit("e", 6.0) == connection_limit.Admission(is_admitted=True, closed="c")


def test_a_connection_that_is_served_does_not_give_way() -> None:
    limit = _full()
    for name in "abc":
        limit.on_served(name)
    assert not limit.admit("d", 100.0).is_admitted
    limit.on_waiting("c", 100.0)
    assert limit.admit("d", 102.0).closed == "c"


def test_a_connection_that_has_just_begun_to_wait_does_not_give_way() -> None:
    limit = _full()
    for name in "abc":
        limit.on_waiting(name, 10.0)
    before = 10.0 + connection_limit.MIN_WAITING_SECONDS - 0.01
    assert not limit.admit("d", before).is_admitted
    assert limit.admit("d", before + 0.02).closed == "a"


def test_connections_that_have_ended_make_room() -> None:
    limit = _full()
    limit.discard("b")
    limit.on_waiting("b", 3.0)
    assert limit.admit("d", 3.0) == connection_limit.Admission(is_admitted=True)
    assert not limit.admit("e", 0.5).is_admitted


@pytest.mark.parametrize("max_descriptors", [400, 4_100, 10_436])
def test_the_limits_leave_sockets_for_a_server_of_each_request(max_descriptors: int) -> None:
    ports = connection_limit.Port
    listeners = [ports.CALLERS, ports.DIRECTORY, ports.PROBES, ports.PROBES, ports.RELAYS]
    counts = [
        connection_limit.max_connections(port, max_descriptors, 10**9)
        for port in (*listeners, ports.TRANSFERS)
    ]
    sockets = max_descriptors - connection_limit.RESERVED_FILES
    assert sum(counts) + counts[0] <= sockets


def test_limits_never_grow_with_less_memory() -> None:
    counts = [
        connection_limit.max_connections(connection_limit.Port.CALLERS, 8_192, memory)
        for memory in range(0, 600_000_000, byte_account.MIN_LIMIT_BYTES)
    ]
    assert all(first <= second for first, second in itertools.pairwise(counts))
    assert counts[0] >= connection_limit.MIN_CONNECTIONS
