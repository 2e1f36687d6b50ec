"""Tests of the planner of model loads."""

from __future__ import annotations

import random

from dragonflycove.configuration import schema
from dragonflycove.placement import load_planner, states


def make_server(server_id, models=("small", "large")):
    """Return a configured engine."""
    return schema.Server(
        server_id, "answers", "cayambe", "127.0.0.1:1", models, 1, 1.0, 1, 1, 1, True, False
    )


def observe(server_id, models, running=0):
    """Return the state that was read from an engine."""
    return states.ObservedEngine(server_id, states.EngineState(frozenset(models)), 1, running)


def test_loads_do_not_exceed_the_weight_stores_rate():
    servers = {name: make_server(name) for name in ("e-1", "e-2", "e-3")}
    engines = [observe(name, []) for name in servers]
    planner = load_planner.LoadPlanner(0.5)
    given = [len(planner.plan(servers, engines, {"large": 9}, float(now))) for now in range(9)]
    assert given == [1, 0, 1, 0, 1, 0, 0, 0, 0]


def test_model_without_a_replica_is_not_loaded_after_others():
    servers = {"e-1": make_server("e-1", ("small",)), "e-2": make_server("e-2", ("small", "large"))}
    engines = [observe("e-1", []), observe("e-2", ["small"])]
    (order,) = load_planner.LoadPlanner(0.1).plan(servers, engines, {"small": 1, "large": 1}, 0.0)
    assert (order.server_id, order.state.models) == ("e-2", {"small", "large"})


def test_model_is_not_unloaded_while_the_engine_runs_streams():
    servers = {"e-1": make_server("e-1", ("small",))}
    planner = load_planner.LoadPlanner(1.0)
    assert planner.plan(servers, [observe("e-1", ["small", "old"], running=1)], {}, 0.0) == []
    (order,) = planner.plan(servers, [observe("e-1", ["small", "old"])], {}, 1.0)
    assert order.state.models == {"small"}


def test_lost_and_outdated_orders_do_not_keep_engines_from_their_desired_state():
    rng = random.Random(5)
    servers = {f"e-{i}": make_server(f"e-{i}") for i in range(6)}
    serving = {name: frozenset() for name in servers}
    planner = load_planner.LoadPlanner(0.5)
    units, now = 0.0, 0.0
    while now < 300.0:
        now += 1.0
        engines = [observe(name, serving[name]) for name in servers]
        for order in planner.plan(servers, engines, {}, now):
            units += order.units
            if rng.random() < 0.8:
                serving[order.server_id] = order.state.models
        if now == 100.0:
            serving["e-3"] = frozenset({"old"})
        assert units <= load_planner.BURST_UNITS + 0.5 * now
    assert all(models == {"small", "large"} for models in serving.values())
