"""The store view under lost, stale, repeated and expired records."""

from __future__ import annotations

import random

import pytest

from dragonflycove.fleet import catalog, store_view
from tests.fleet import builders


def view_of(*server_ids: str) -> store_view.StoreView:
    """Return a view with ready servers, current at time 0."""
    view = store_view.StoreView()
    view.on_synced(0.0, 0.0)
    for offset, server_id in enumerate(server_ids):
        view.apply_server(server_id, builders.server(server_id), offset, 0.0)
    return view


def usable_ids(view: store_view.StoreView, now: float) -> set[str]:
    """Return the ids of the servers that may get requests."""
    return {server.instance.server_id for server in view.usable_servers("svc", now)}


def test_a_deleted_server_is_unusable_at_once_while_peers_keep_the_view_current() -> None:
    # The store was unreachable for this node alone, and the node kept a deleted server for the
    # grace period that is meant for outages of the store for all nodes.
    view = view_of("a", "b")
    view.on_synced(0.5, 0.6)
    view.on_synced(1.0, 1.1)
    view.apply_server("a", None, 7, 1.2)
    assert usable_ids(view, 1.2) == {"b"}


def test_a_server_that_expired_in_an_outage_stays_usable_until_it_could_register_again() -> None:
    view = view_of("a", "b")
    view.on_synced(10.0, 10.0)
    view.apply_server("a", None, 7, 10.0)
    assert usable_ids(view, 10.0 + 2.0) == {"a", "b"}
    assert usable_ids(view, 10.0 + 2.5) == {"b"}


def test_an_expired_server_that_registers_again_stays_usable() -> None:
    view = view_of("a")
    view.on_synced(10.0, 10.0)
    view.apply_server("a", None, 7, 10.0)
    view.apply_server("a", builders.server("a"), 8, 11.0)
    assert usable_ids(view, 20.0) == {"a"}


def test_a_draining_server_that_expired_in_an_outage_is_unusable() -> None:
    view = view_of("a")
    leaving = builders.server("a")._replace(state=catalog.ServerState.DRAINING)
    view.apply_server("a", leaving, 3, 1.0)
    view.on_synced(10.0, 10.0)
    view.apply_server("a", None, 7, 10.0)
    assert usable_ids(view, 10.0) == set()


def test_an_older_record_never_replaces_a_newer_one() -> None:
    view = view_of("a")
    leaving = builders.server("a")._replace(state=catalog.ServerState.DRAINING)
    assert view.apply_server("a", leaving, 5, 1.0)
    assert not view.apply_server("a", builders.server("a"), 4, 2.0)
    assert usable_ids(view, 2.0) == set()


def test_a_stale_listing_does_not_remove_newer_servers() -> None:
    view = view_of("a")
    view.apply_server("b", builders.server("b"), 9, 1.0)
    assert view.drop_missing_servers(["a"], end=10, now=2.0) == []
    assert view.drop_missing_servers(["a"], end=11, now=2.0) == ["b"]


def test_an_older_configuration_never_replaces_a_newer_one() -> None:
    view = store_view.StoreView()
    assert view.apply_configuration(builders.configuration(version=7), 3)
    assert not view.apply_configuration(builders.configuration(version=5), 4)
    assert not view.apply_configuration(builders.configuration(version=9), 2)
    assert view.configuration is not None
    assert view.configuration.version == 7


def test_a_zone_is_evacuated_until_a_newer_record_ends_it() -> None:
    view = view_of("a")
    assert view.apply_evacuation("z1", True, 4)
    assert usable_ids(view, 1.0) == set()
    assert not view.apply_evacuation("z1", False, 3)
    assert view.apply_evacuation("z1", False, 5)
    assert usable_ids(view, 1.0) == {"a"}


def test_a_listing_without_a_zone_ends_its_evacuation() -> None:
    view = view_of("a")
    view.apply_evacuation("z1", True, 4)
    assert view.drop_missing_zones([], end=5) == []
    assert view.drop_missing_zones([], end=6) == ["z1"]


def test_a_restart_under_the_same_id_is_another_instance() -> None:
    view = view_of("a")
    first = builders.server("a").instance
    view.apply_server("a", builders.server("a", started_at_ms=99), 5, 1.0)
    assert not view.is_usable(first, 1.0)
    assert view.is_usable(catalog.Instance("a", 99), 1.0)


def test_an_unreadable_record_makes_its_server_unusable() -> None:
    view = view_of("a")
    view.apply_server("a", None, 5, 1.0)
    assert usable_ids(view, 1.0) == set()


@pytest.mark.parametrize("seed", range(30))
def test_any_order_of_records_ends_in_the_same_view(seed: int) -> None:
    rng = random.Random(seed)
    written = [(rng.choice("abc"), rng.choice([None, 1, 2]), offset) for offset in range(20)]

    def apply_records(order: list[tuple[str, int | None, int]]) -> set[catalog.Instance]:
        view = store_view.StoreView()
        for server_id, started_at_ms, offset in order:
            server = (
                None
                if started_at_ms is None
                else builders.server(server_id, started_at_ms=started_at_ms)
            )
            view.apply_server(server_id, server, offset, 0.0)
        return {server.instance for server in view.usable_servers("svc", 1.0)}

    shuffled = written + rng.sample(written, 5)
    rng.shuffle(shuffled)
    assert apply_records(shuffled) == apply_records(written)


def test_a_server_is_alive_as_of_its_heartbeats_and_not_as_of_those_of_another_start() -> None:
    view = store_view.StoreView()
    first, second = builders.server("a"), builders.server("a", started_at_ms=2)
    view.apply_server("a", first, 1, 10.0)
    assert view.alive_at(first.instance) == float("-inf")
    view.on_heartbeat("a", 9.0)
    view.apply_server("a", second, 2, 12.0)
    view.on_heartbeat("a", 11.0)
    assert view.alive_at(first.instance) == 9.0
    assert view.alive_at(second.instance) == 11.0
    assert view.has_crashed(first.instance, 12.0)
    assert not view.has_crashed(second.instance, 12.0)


def test_a_server_whose_record_lapses_has_crashed_unless_it_drained() -> None:
    view = store_view.StoreView()
    draining = catalog.ServerState.DRAINING
    running = builders.server("a")
    leaving = builders.server("b")._replace(state=draining)
    for name, server in (("a", running), ("b", leaving)):
        view.apply_server(name, server, 1, 10.0)
        assert not view.has_crashed(server.instance, 10.0)
        view.apply_server(name, None, 2, 11.0)
    assert view.has_crashed(running.instance, 11.0)
    assert not view.has_crashed(leaving.instance, 11.0)
