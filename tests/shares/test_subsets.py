"""Tests of the choice of the nodes that use each backend server."""

from __future__ import annotations

import collections

from dragonflycove.shares import subsets

ZONES = ("zone-1", "zone-2", "zone-3")
ZONE_BY_HOST = {f"entry-{number}": ZONES[number % 3] for number in range(320)}
SERVERS = [subsets.ZonedServer(f"engine-{number}", ZONES[number % 3]) for number in range(600)]


def test_every_server_has_enough_nodes_and_no_node_has_too_many_servers() -> None:
    load: collections.Counter[str] = collections.Counter()
    for server in SERVERS:
        nodes = subsets.choose_nodes(server, ZONE_BY_HOST)
        assert len(set(nodes)) == subsets.NODES_PER_SERVER
        local = sum(ZONE_BY_HOST[node] == server.zone for node in nodes)
        assert local >= subsets.LOCAL_NODES_PER_SERVER
        load.update(nodes)
    mean = len(SERVERS) * subsets.NODES_PER_SERVER / len(ZONE_BY_HOST)
    assert min(load[host] for host in ZONE_BY_HOST) > 0
    assert max(load.values()) <= 3 * mean


def test_removing_a_host_changes_only_the_servers_that_it_used() -> None:
    remaining = {host: zone for host, zone in ZONE_BY_HOST.items() if host != "entry-7"}
    for server in SERVERS:
        before = set(subsets.choose_nodes(server, ZONE_BY_HOST))
        after = set(subsets.choose_nodes(server, remaining))
        assert len(after - before) == ("entry-7" in before)


def test_in_a_small_fleet_every_node_uses_every_server_until_the_fleet_grows() -> None:
    small_fleet = dict(list(ZONE_BY_HOST.items())[:6])
    table = subsets.SubsetTable("entry-1")
    assert len(table.update(small_fleet, frozenset(SERVERS[:18]))) == 18
    chosen = table.update(ZONE_BY_HOST, frozenset(SERVERS))
    assert chosen == {s.name for s in SERVERS if "entry-1" in subsets.choose_nodes(s, ZONE_BY_HOST)}


def test_an_incrementally_updated_table_equals_a_new_one() -> None:
    table = subsets.SubsetTable("entry-1")
    zone_by_host = dict(ZONE_BY_HOST)
    for number in range(30):
        zone_by_host.pop(f"entry-{number * 7 + 2}")
        zone_by_host[f"new-{number}"] = ZONES[number % 3]
        if number % 3 == 0:
            fresh = subsets.SubsetTable("entry-1").update(zone_by_host, frozenset(SERVERS))
            assert table.update(zone_by_host, frozenset(SERVERS)) == fresh
