"""The router: no herding, prefix affinity without overload, pools and borrowed capacity."""

from __future__ import annotations

import collections
import random

import node_fleet
import pytest

from dragonflycove.routing import demands, engine_pools, load_view, policies, router

CHAIN = tuple(range(100, 108))


def make(count, policy=policies.Policy.BORROWING, **changes):
    subject = router.Router(policy, random.Random(3))
    servers = [node_fleet.make_server(f"s{i}", concurrency=1_000, **changes) for i in range(count)]
    subject.set_configuration(node_fleet.make_configuration(*servers))
    return subject


def demand(tokens=1_000, priority=0, is_long=False, prefix=(), excluded=frozenset()):
    return demands.Demand(
        node_fleet.MODEL, tokens, tokens + 30, priority, prefix, is_long, excluded
    )


def report(server_id, higher=0, lower=0, memory=0):
    return load_view.LoadReport(
        server_id, 0.0, "1", 1, 0, (0, 0), (higher, lower), memory, 100_000, 9, (node_fleet.MODEL,)
    )


def test_nodes_with_the_same_view_do_not_all_choose_one_engine():
    chosen = collections.Counter()
    for seed in range(200):
        subject = router.Router(policies.Policy.BORROWING, random.Random(seed))
        servers = [node_fleet.make_server(f"s{i}") for i in range(10)]
        subject.set_configuration(node_fleet.make_configuration(*servers))
        chosen[subject.choose(demand(), 0.0).server_id] += 1
    assert len(chosen) == 10
    assert max(chosen.values()) <= 40


def test_own_dispatches_are_counted_before_any_report():
    subject = make(4, policies.Policy.PRIORITIES_ONLY)
    chosen = []
    for index in range(8):
        chosen.append(subject.choose(demand(), 0.0).server_id)
        subject.acquire_slots((chosen[-1],), str(index), demand(), 1_000, 0.0)
    assert set(collections.Counter(chosen).values()) == {2}


@pytest.mark.parametrize(("backlog", "is_chosen"), [(0, True), (6_000, True), (9_000, False)])
def test_engine_with_the_prefix_is_chosen_only_while_that_saves_time(backlog, is_chosen):
    subject = make(4, policies.Policy.PRIORITIES_ONLY)
    for block in CHAIN:
        subject.prefixes.store("s2", block)
    subject.on_report(report("s2", backlog), 0.0)
    choice = subject.choose(demand(8_000, prefix=CHAIN), 0.0)
    assert (choice.server_id == "s2") == is_chosen


@pytest.mark.parametrize(
    ("pool", "reported", "needed", "utilisation", "expected"),
    [
        (engine_pools.Pool.SHORT, (0, 9_000), demand(), 0.0, engine_pools.CapacitySource.OWN),
        (
            engine_pools.Pool.LOWER_PRIORITY,
            (0, 9_000),
            demand(),
            0.0,
            engine_pools.CapacitySource.NONE,
        ),
        (
            engine_pools.Pool.LOWER_PRIORITY,
            (9_000, 0),
            demand(),
            0.0,
            engine_pools.CapacitySource.NONE,
        ),
        (engine_pools.Pool.SHORT, (11_000, 0), demand(), 0.0, engine_pools.CapacitySource.NONE),
        (engine_pools.Pool.SHORT, (0, 0), demand(30_000, 1), 0.0, engine_pools.CapacitySource.OWN),
        (engine_pools.Pool.SHORT, (0, 0), demand(30_000, 1), 0.9, engine_pools.CapacitySource.NONE),
        (engine_pools.Pool.LONG, (0, 0), demand(30_000, 1), 0.9, engine_pools.CapacitySource.OWN),
        (
            engine_pools.Pool.LONG,
            (0, 30_000),
            demand(30_000, 1),
            0.0,
            engine_pools.CapacitySource.NONE,
        ),
        (engine_pools.Pool.SHORT, (0, 0), demand(90_000, 1), 0.0, engine_pools.CapacitySource.NONE),
        (
            engine_pools.Pool.LONG,
            (0, 0),
            demand(60_000, 1, True),
            0.0,
            engine_pools.CapacitySource.OWN,
        ),
        (
            engine_pools.Pool.SHORT,
            (0, 0),
            demand(60_000, 1, True),
            0.0,
            engine_pools.CapacitySource.BORROWED,
        ),
        (
            engine_pools.Pool.SHORT,
            (0, 9_000),
            demand(60_000, 1, True),
            0.0,
            engine_pools.CapacitySource.NONE,
        ),
        (
            engine_pools.Pool.LONG,
            (0, 0),
            demand(120_000, 1, True),
            0.0,
            engine_pools.CapacitySource.NONE,
        ),
    ],
)
def test_capacity_depends_on_pool_load_priority_and_utilisation(
    pool, reported, needed, utilisation, expected
):
    load = load_view.EngineLoadView(node_fleet.make_server("s1"), 4)
    load.on_report(report("s1", *reported), 0.0)
    found = engine_pools.find_capacity(
        policies.Policy.BORROWING,
        load,
        needed,
        {"s1": pool},
        utilisation,
        load.backlog_seconds(0.0),
    )
    assert found is expected


@pytest.mark.parametrize("policy", list(policies.Policy))
def test_excluded_and_blocked_engines_are_not_chosen(policy):
    subject = make(3, policy)
    subject.block("s1", 5.0)
    excluded = frozenset({"s0"})
    chosen = {subject.choose(demand(excluded=excluded), 0.0) for _ in range(20)}
    assert {choice.server_id for choice in chosen if choice} <= {"s2"}


def test_every_kind_of_request_has_an_engine_for_any_number_of_engines():
    for policy in policies.Policy:
        for count in range(1, 8):
            subject = make(count, policy)
            for needed in (demand(), demand(30_000, 1), demand(60_000, 1, True)):
                assert subject.choose(needed, 0.0) is not None, (policy, count, needed)


def test_requests_are_spread_over_a_large_fleet_that_is_sampled():
    subject = make(600)
    for index in range(2_000):
        choice = subject.choose(demand(), 0.0)
        subject.acquire_slots((choice.server_id,), str(index), demand(), 1_000, 0.0)
    used = collections.Counter(load.in_flight for load in subject.view.loads_by_id.values())
    assert max(used) <= 6
