"""Which services a node reaches, and which node serves a relayed request."""

from __future__ import annotations

import collections
import random

import pytest

from dragonflycove.fleet import catalog, peer_reach, relaying, roster, server_reach


def _server(number: int, zone: str) -> catalog.BackendServer:
    return catalog.BackendServer(
        catalog.Instance(f"s{number}", 1),
        "svc",
        catalog.Address("10.0.0.1", number),
        zone,
        8,
        catalog.ServerState.READY,
        0.0,
    )


def _candidate(host: str, zone: str = "z1", relayed: int = 0) -> relaying.Candidate:
    address = catalog.Address("10.0.0.1", 1)
    member = roster.Member(host, 1, zone, "r1", address, address, 1.0)
    return relaying.Candidate(member, relayed)


def test_a_service_is_unreached_from_a_failed_check_until_a_server_accepts() -> None:
    reach = server_reach.ServerReach()
    assert reach.on_checked("svc", probed=4, accepted=0, now=1.0)
    assert not reach.on_checked("svc", probed=4, accepted=0, now=2.0)
    assert reach.unreached_services == ("svc",)
    assert reach.on_checked("svc", probed=4, accepted=1, now=3.0)
    assert not reach.is_unreached("svc")
    assert reach.has_opened_since("svc", 3.0)


def test_a_service_without_servers_to_probe_is_not_unreached() -> None:
    reach = server_reach.ServerReach()
    assert not reach.on_checked("svc", probed=0, accepted=0, now=1.0)
    assert not reach.is_unreached("svc")


def test_a_sample_takes_servers_of_all_zones_in_turn() -> None:
    servers = [_server(number, f"z{number // 4}") for number in range(12)]
    zones = [one.zone for one in server_reach.spread_over_zones(servers)]
    assert zones[:3] == ["z0", "z1", "z2"]
    assert len(zones) == 12


def test_rechecks_probe_all_servers_in_turn() -> None:
    reach = server_reach.ServerReach()
    servers = [_server(number, "z1") for number in range(7)]
    probed = {one for _ in range(3) for one in reach.recheck_sample(servers)}
    assert probed == set(servers)


def test_a_report_of_a_node_holds_for_its_incarnation_and_lapses() -> None:
    peers = peer_reach.PeerReach()
    node = peer_reach.NodeKey("a", 1)
    peers.on_report(node, ["svc"], 10.0)
    assert not peers.reaches(node, "svc", 10.5)
    assert not peers.reaches_all(node, 10.5)
    assert peers.reaches(node, "other", 10.5)
    assert peers.reaches(node._replace(incarnation=2), "svc", 10.5)
    assert peers.reaches(node, "svc", 10.0 + peer_reach.REPORT_RETENTION_SECONDS)
    peers.on_report(node, ["svc"], 20.0)
    peers.on_report(node, [], 20.1)
    assert peers.reaches(node, "svc", 20.2)


def test_a_relayed_request_stays_in_its_zone_while_few_nodes_are_cut_there() -> None:
    candidates = [_candidate("a"), _candidate("b", "z2"), _candidate("c", "z2")]
    rng = random.Random(1)
    chosen = {relaying.choose_peer(candidates, "z1", {"z1": 2}, rng) for _ in range(50)}
    assert {one.host for one in chosen if one} == {"a"}


@pytest.mark.parametrize("cut", [3, 20])
def test_relayed_requests_go_to_all_zones_if_many_nodes_are_cut(cut: int) -> None:
    candidates = [_candidate("a"), _candidate("b", "z2"), _candidate("c", "z2")]
    rng = random.Random(1)
    chosen = {relaying.choose_peer(candidates, "z1", {"z1": cut}, rng) for _ in range(50)}
    assert {one.host for one in chosen if one} == {"a", "b", "c"}


def test_relayed_requests_spread_evenly_over_nodes() -> None:
    rng = random.Random(1)
    load: collections.Counter[str] = collections.Counter()
    for _ in range(400):
        candidates = [_candidate(host, relayed=load[host]) for host in "abcd"]
        chosen = relaying.choose_peer(candidates, "z1", {"z1": 4}, rng)
        assert chosen is not None
        load[chosen.host] += 1
    assert max(load.values()) - min(load.values()) <= 8


def test_no_node_is_chosen_without_candidates() -> None:
    assert relaying.choose_peer([], "z1", {"z1": 1}, random.Random(1)) is None
