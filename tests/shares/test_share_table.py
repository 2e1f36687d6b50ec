"""Tests of the share table."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from dragonflycove.shares import share_table

LAG_SECONDS = 5.0
RECLAIM_SECONDS = 20.0
WAIT_SECONDS = 2 * (LAG_SECONDS + RECLAIM_SECONDS)
HOSTS = frozenset(f"entry-{number}" for number in range(6))
LIMIT = share_table.Limit("cold/engine-1", 2)


def settled(host: str, names: frozenset[str] = HOSTS) -> share_table.ShareTable:
    """Return a table that has seen the same host list long enough to use its shares at 100 s."""
    table = share_table.ShareTable(host, LAG_SECONDS, RECLAIM_SECONDS)
    for second in range(0, 101, 4):
        table.on_host_list(names, 0.0, float(second))
    return table


@hypothesis.given(st.integers(0, 50), st.integers(1, 40), st.data())
def test_divide_sums_to_the_limit_and_never_grows_with_a_host(
    units: int, hosts: int, data: st.DataObject
) -> None:
    parts = [share_table.divide(units, rank, hosts) for rank in range(hosts)]
    assert sum(parts) == units
    above = data.draw(st.integers(0, hosts - 1))
    for rank in (above, above + 1):
        assert share_table.divide(units, rank, hosts + 1) <= parts[above]


def test_two_units_go_to_two_of_six_hosts_and_all_agree_who() -> None:
    tables = {host: settled(host) for host in HOSTS}
    shares = {host: table.units(LIMIT, 100.0) for host, table in tables.items()}
    assert sorted(shares.values()) == [0, 0, 0, 0, 1, 1]
    holders = {table.holders(LIMIT, 100.0) for table in tables.values()}
    assert [set(names) for names in holders] == [{h for h, units in shares.items() if units}]


def test_a_fresh_node_waits_for_its_predecessor() -> None:
    table = share_table.ShareTable("a", LAG_SECONDS, RECLAIM_SECONDS)
    for second in range(int(WAIT_SECONDS)):
        assert table.units(LIMIT, float(second)) == 0
        table.on_host_list(frozenset({"a"}), 0.0, float(second))
    assert table.units(LIMIT, WAIT_SECONDS) == LIMIT.units


def test_an_old_host_list_gives_nothing_and_starts_the_wait_anew() -> None:
    table = settled("a", frozenset({"a"}))
    assert table.units(LIMIT, 100.0 + LAG_SECONDS) == 2
    assert table.units(LIMIT, 100.1 + LAG_SECONDS) == 0
    assert table.units_from_last_list(LIMIT, 500.0) == 2
    table.on_host_list(frozenset({"a"}), 0.0, 100.0 + 2 * RECLAIM_SECONDS)
    assert table.units(LIMIT, 100.0 + 2 * RECLAIM_SECONDS) == 0


def test_a_short_gap_between_host_lists_does_not_start_the_wait_anew() -> None:
    table = settled("a", frozenset({"a"}))
    assert table.units(LIMIT, 120.0) == 0
    table.on_host_list(frozenset({"a"}), 0.0, 120.0)
    assert table.units(LIMIT, 120.0) == 2


def test_a_share_shrinks_at_once_and_grows_after_the_wait() -> None:
    table = settled("a", frozenset({"a"}))
    table.on_host_list(frozenset({"a", "b"}), 0.0, 101.0)
    assert table.units(LIMIT, 101.0) == 1
    assert table.excess(LIMIT, 2, 101.0) == share_table.Excess(1, 101.0 + RECLAIM_SECONDS)
    for second in range(102, 170):
        table.on_host_list(frozenset({"a"}), 0.0, float(second))
        grown = second >= 102 + WAIT_SECONDS
        assert table.units(LIMIT, float(second)) == (2 if grown else 1)


def test_a_later_change_does_not_put_off_the_end_of_use() -> None:
    table = settled("a", frozenset({"a"}))
    table.on_host_list(frozenset({"a", "b"}), 0.0, 101.0)
    first = table.excess(LIMIT, 2, 101.0)
    table.on_host_list(frozenset({"a", "b", "c"}), 0.0, 104.0)
    second = table.excess(LIMIT, 2, 104.0)
    assert first is not None and second is not None
    assert second.due_at == first.due_at


def test_a_host_that_is_not_listed_has_nothing() -> None:
    assert settled("entry-0", HOSTS - {"entry-0"}).units(LIMIT, 100.0) == 0
