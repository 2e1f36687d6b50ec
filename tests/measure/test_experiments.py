"""Simulated experiments: requests without an outcome, unreleased memory, runs that differ by chance."""

from __future__ import annotations

import pytest

from dragonflycove.measure import engine_model, experiments, main, simulation, workload
from dragonflycove.routing import policies
from dragonflycove.values import outcomes


def run(policy, load=0.6, seconds=6.0, seed=1):
    arrivals = workload.make_arrivals(workload.COOPERATIVE, load, seconds, seed)
    simulated = simulation.Simulation(workload.COOPERATIVE, policy, arrivals, seed)
    simulated.run(seconds + experiments.DRAIN_SECONDS)
    return simulated


@pytest.mark.parametrize("policy", list(policies.Policy))
@pytest.mark.parametrize("load", [0.6, 5.0])
def test_every_request_ends_by_its_deadline_and_no_engine_keeps_memory(policy, load):
    simulated = run(policy, load)
    assert len(simulated.records_by_id) == len(simulated.arrivals_by_id)
    for record in simulated.records_by_id.values():
        assert record.ended_at <= record.arrival.request.deadline + 1e-6
        if not record.was_admitted:
            assert record.ended_at == record.arrival.at
    for engine in simulated.engines_by_id.values():
        assert (engine.request_count, engine.free_kv_cache_tokens) == (0, workload.MEMORY_TOKENS)


def test_equal_seeds_give_equal_runs():
    first, second = (run(policies.Policy.BORROWING) for _ in range(2))
    assert first.records_by_id == second.records_by_id
    assert first.dispatches == second.dispatches
    assert run(policies.Policy.BORROWING, seed=2).records_by_id != first.records_by_id


def test_leaving_out_kinds_does_not_change_the_other_arrivals():
    everything = workload.make_arrivals(workload.TENGRI, 0.6, 60.0, 1)
    short = workload.make_arrivals(workload.TENGRI, 0.6, 60.0, 1, workload.KINDS[:1])
    assert [a for a in everything if a.kind == "short"] == short


def test_engine_prefills_the_higher_priority_first_and_crashes_above_its_cold_limit():
    simulated = run(policies.Policy.BORROWING, seconds=0.0)
    engine = simulated.engines_by_id["engine-00"]
    events = []

    def stream(name, priority):
        return engine_model.Stream(
            name, priority, 10_000, 10_100, 40, (), lambda: events.append(name),
            lambda is_complete: events.append((name, is_complete)),
        )  # fmt: skip

    engine.submit(stream("low", 1))
    engine.submit(stream("high", 0))
    simulated.run(simulated.timeline.now + 10.0)
    assert events == ["high", "low", ("high", True), ("low", True)]
    engine.restart()
    for index in range(workload.COLD_CONCURRENCY + 1):
        engine.submit(stream(str(index), 0))
    assert engine.crashes == 1
    assert events[-1] == (str(workload.COLD_CONCURRENCY), False)


@pytest.mark.parametrize("arguments", [[], ["nothing"], ["lengths", "--size=x"], ["a", "b"]])
def test_an_invalid_command_line_exits_with_2_and_a_message(arguments, capsys):
    assert main.run(arguments) == 2
    assert capsys.readouterr()


def test_divided_limits_add_up_to_the_limit():
    for limit in range(30):
        shares = simulation.divide_limit(limit, "engine", [f"n{i}" for i in range(6)])
        assert sum(shares.values()) == limit


def test_requests_refused_under_overload_are_recorded_as_overloaded():
    simulated = run(policies.Policy.BORROWING, load=5.0, seconds=30.0)
    refused = [r for r in simulated.records_by_id.values() if not r.was_admitted]
    assert {r.reason for r in refused} == {outcomes.Reason.OVERLOADED}
