"""What a node believes under lost, stale, repeated and lapsed records."""

from __future__ import annotations

import random

import pytest

from dragonflycove.fleet import catalog, store_view
from tests.fleet import builders


def known(*server_ids: str) -> store_view.StoreView:
    """Return a belief of ready servers, fresh at time 0."""
    belief = store_view.StoreView()
    belief.on_synced(0.0, 0.0)
    for offset, server_id in enumerate(server_ids):
        belief.apply_server(server_id, builders.server(server_id), offset, 0.0)
    return belief


def usable_ids(belief: store_view.StoreView, now: float) -> set[str]:
    """Return the ids of the servers that may get requests."""
    return {server.instance.server_id for server in belief.usable_servers("svc", now)}


def test_a_dropped_server_is_gone_at_once_while_peers_keep_the_belief_fresh() -> None:
    # Seed 64123213007 of trouble-1: the store was silent to this node alone, and it held a
    # dropped server for the grace that is meant for outages of the whole store.
    belief = known("a", "b")
    belief.on_synced(0.5, 0.6)
    belief.on_synced(1.0, 1.1)
    belief.apply_server("a", None, 7, 1.2)
    assert usable_ids(belief, 1.2) == {"b"}


def test_a_server_that_lapsed_in_an_outage_stays_until_it_could_be_back() -> None:
    belief = known("a", "b")
    belief.on_synced(10.0, 10.0)
    belief.apply_server("a", None, 7, 10.0)
    assert usable_ids(belief, 10.0 + 2.0) == {"a", "b"}
    assert usable_ids(belief, 10.0 + 2.5) == {"b"}


def test_a_lapsed_server_that_registers_again_stays() -> None:
    belief = known("a")
    belief.on_synced(10.0, 10.0)
    belief.apply_server("a", None, 7, 10.0)
    belief.apply_server("a", builders.server("a"), 8, 11.0)
    assert usable_ids(belief, 20.0) == {"a"}


def test_a_draining_server_that_lapsed_in_an_outage_is_gone() -> None:
    belief = known("a")
    leaving = builders.server("a")._replace(state=catalog.ServerState.DRAINING)
    belief.apply_server("a", leaving, 3, 1.0)
    belief.on_synced(10.0, 10.0)
    belief.apply_server("a", None, 7, 10.0)
    assert usable_ids(belief, 10.0) == set()


def test_an_older_record_never_replaces_a_newer_one() -> None:
    belief = known("a")
    leaving = builders.server("a")._replace(state=catalog.ServerState.DRAINING)
    assert belief.apply_server("a", leaving, 5, 1.0)
    assert not belief.apply_server("a", builders.server("a"), 4, 2.0)
    assert usable_ids(belief, 2.0) == set()


def test_a_stale_listing_does_not_drop_what_is_newer() -> None:
    belief = known("a")
    belief.apply_server("b", builders.server("b"), 9, 1.0)
    assert belief.drop_missing_servers(["a"], end=10, now=2.0) == []
    assert belief.drop_missing_servers(["a"], end=11, now=2.0) == ["b"]


def test_configurations_never_step_back() -> None:
    belief = store_view.StoreView()
    assert belief.apply_configuration(builders.configuration(version=7), 3)
    assert not belief.apply_configuration(builders.configuration(version=5), 4)
    assert not belief.apply_configuration(builders.configuration(version=9), 2)
    assert belief.configuration is not None
    assert belief.configuration.version == 7


def test_a_zone_is_out_until_its_record_is_dropped() -> None:
    belief = known("a")
    assert belief.apply_evacuation("z1", True, 4)
    assert usable_ids(belief, 1.0) == set()
    assert not belief.apply_evacuation("z1", False, 3)
    assert belief.apply_evacuation("z1", False, 5)
    assert usable_ids(belief, 1.0) == {"a"}


def test_a_listing_without_the_zone_takes_it_back() -> None:
    belief = known("a")
    belief.apply_evacuation("z1", True, 4)
    assert belief.drop_missing_zones([], end=5) == []
    assert belief.drop_missing_zones([], end=6) == ["z1"]


def test_another_start_under_the_same_id_is_another_instance() -> None:
    belief = known("a")
    first = builders.server("a").instance
    belief.apply_server("a", builders.server("a", started_at_ms=99), 5, 1.0)
    assert not belief.is_usable(first, 1.0)
    assert belief.is_usable(catalog.Instance("a", 99), 1.0)


def test_unreadable_records_name_no_server() -> None:
    belief = known("a")
    belief.apply_server("a", None, 5, 1.0)
    assert usable_ids(belief, 1.0) == set()


@pytest.mark.parametrize("seed", range(30))
def test_any_order_of_records_ends_in_the_same_belief(seed: int) -> None:
    rng = random.Random(seed)
    written = [(rng.choice("abc"), rng.choice([None, 1, 2]), offset) for offset in range(20)]

    def play(order: list[tuple[str, int | None, int]]) -> set[catalog.Instance]:
        belief = store_view.StoreView()
        for server_id, born, offset in order:
            server = None if born is None else builders.server(server_id, started_at_ms=born)
            belief.apply_server(server_id, server, offset, 0.0)
        return {server.instance for server in belief.usable_servers("svc", 1.0)}

    shuffled = written + rng.sample(written, 5)
    rng.shuffle(shuffled)
    assert play(shuffled) == play(written)
