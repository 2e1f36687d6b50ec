"""Tests of the share table."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from dragonflycove.shares import share_table

LAG_SECONDS = 5.0
RECLAIM_SECONDS = 20.0
GROWTH_DELAY_SECONDS = 2 * (LAG_SECONDS + RECLAIM_SECONDS)
HOSTS = frozenset(f"entry-{number}" for number in range(6))
LIMIT = share_table.Limit("cold/engine-1", 2)


def settled_table(host: str, names: frozenset[str] = HOSTS) -> share_table.ShareTable:
    """Return a table whose host list has been stable long enough to use its shares at 100 s."""
    table = share_table.ShareTable(host, LAG_SECONDS, RECLAIM_SECONDS)
    for second in range(0, 101, 4):
        table.on_host_list(names, 0.0, float(second))
    return table


@hypothesis.given(st.integers(0, 50), st.integers(1, 40), st.data())
def test_divided_units_sum_to_the_limit_and_do_not_grow_when_a_host_is_added(
    units: int, hosts: int, data: st.DataObject
) -> None:
    parts = [share_table.divide(units, rank, hosts) for rank in range(hosts)]
    assert sum(parts) == units
    above = data.draw(st.integers(0, hosts - 1))
    for rank in (above, above + 1):
        assert share_table.divide(units, rank, hosts + 1) <= parts[above]


def test_all_hosts_agree_which_two_of_six_get_a_limit_of_two_units() -> None:
    tables = {host: settled_table(host) for host in HOSTS}
    shares = {host: table.units(LIMIT, 100.0) for host, table in tables.items()}
    assert sorted(shares.values()) == [0, 0, 0, 0, 1, 1]
    holders = {table.holders(LIMIT, 100.0) for table in tables.values()}
    assert [set(names) for names in holders] == [{h for h, units in shares.items() if units}]


def test_a_new_node_has_no_units_until_its_predecessors_use_has_ended() -> None:
    table = share_table.ShareTable("a", LAG_SECONDS, RECLAIM_SECONDS)
    for second in range(int(GROWTH_DELAY_SECONDS)):
        assert table.units(LIMIT, float(second)) == 0
        table.on_host_list(frozenset({"a"}), 0.0, float(second))
    assert table.units(LIMIT, GROWTH_DELAY_SECONDS) == LIMIT.units


def test_units_are_zero_with_a_stale_host_list_and_until_the_delay_has_passed_again() -> None:
    table = settled_table("a", frozenset({"a"}))
    assert table.units(LIMIT, 100.0 + LAG_SECONDS) == 2
    assert table.units(LIMIT, 100.1 + LAG_SECONDS) == 0
    assert table.units_from_last_list(LIMIT, 500.0) == 2
    table.on_host_list(frozenset({"a"}), 0.0, 100.0 + 2 * RECLAIM_SECONDS)
    assert table.units(LIMIT, 100.0 + 2 * RECLAIM_SECONDS) == 0


def test_a_short_gap_between_host_lists_does_not_restart_the_delay() -> None:
    table = settled_table("a", frozenset({"a"}))
    assert table.units(LIMIT, 120.0) == 0
    table.on_host_list(frozenset({"a"}), 0.0, 120.0)
    assert table.units(LIMIT, 120.0) == 2


def test_a_share_shrinks_at_once_and_grows_after_the_delay() -> None:
    table = settled_table("a", frozenset({"a"}))
    table.on_host_list(frozenset({"a", "b"}), 0.0, 101.0)
    assert table.units(LIMIT, 101.0) == 1
    assert table.excess(LIMIT, 2, 101.0) == share_table.Excess(1, 101.0 + RECLAIM_SECONDS)
    for second in range(102, 170):
        table.on_host_list(frozenset({"a"}), 0.0, float(second))
        grown = second >= 102 + GROWTH_DELAY_SECONDS
        assert table.units(LIMIT, float(second)) == (2 if grown else 1)


def test_a_later_shrink_does_not_postpone_the_deadline_of_the_first() -> None:
    table = settled_table("a", frozenset({"a"}))
    table.on_host_list(frozenset({"a", "b"}), 0.0, 101.0)
    first = table.excess(LIMIT, 2, 101.0)
    table.on_host_list(frozenset({"a", "b", "c"}), 0.0, 104.0)
    second = table.excess(LIMIT, 2, 104.0)
    assert first is not None and second is not None
    assert second.due_at == first.due_at


def test_an_unlisted_host_has_no_units() -> None:
    assert settled_table("entry-0", HOSTS - {"entry-0"}).units(LIMIT, 100.0) == 0
