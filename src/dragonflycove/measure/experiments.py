"""Experiments that run the real dispatchers with every routing policy on the same load."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from dragonflycove.measure import figures, simulation, workload
from dragonflycove.routing import policies

if TYPE_CHECKING:
    from collections.abc import Callable

DRAIN_SECONDS = 950.0
"""Virtual time simulated after the last arrival; longer than every request's deadline."""

ARRIVAL_SECONDS = 300.0
"""Length of the arrival period of all experiments except overload."""

OVERLOAD_ARRIVAL_SECONDS = 240.0
"""Length of the arrival period of the overload experiment."""

MODERATE_LOAD = 0.6
"""Offered prompt tokens as a fraction of the engines' prefill capacity; used by most experiments."""

BLOCKING_LOADS = (0.6, 0.8)
"""Loads of the blocking experiment, as fractions of the prefill capacity, long prompts included."""

OVERLOADS = (2.0, 5.0)
"""Loads of the overload experiment, as fractions of the prefill capacity."""

ZONE_OUT_AT_SECONDS = 100.0
"""Virtual time at which a zone is taken out of service or its engines restart cold."""

ZONE_RESTORED_AT_SECONDS = 200.0
"""Virtual time at which the zone returns to service."""

COLD_PHASE_SECONDS = 60.0
"""Length of the phase after a cold restart that is reported separately."""


class PolicyFigures(TypedDict, total=False):
    """Figures of one policy in one run; each experiment sets some of the keys."""

    policy: str
    load: float
    lengths: list[figures.FirstToken]
    ends: list[figures.Ends]
    short_p95: float
    """95th percentile of the short prompts' time to first token, seconds."""
    short_p95_without_long: float
    """95th percentile of the short prompts' time to first token, seconds, without long prompts."""
    blocking_ratio: float
    """`short_p95` divided by `short_p95_without_long`."""
    long_in_time: float
    """Fraction of the long prompts that got their complete output before their deadline."""
    idle_with_work: float
    """Fraction of engine samples in which the engine was idle although it could serve queued requests."""
    preemptions: int
    goodput: float
    """Prompt tokens of answered requests as a fraction of the engines' prefill capacity."""
    kept_promises: float
    """Fraction of the admitted requests that got their complete output before their deadline."""
    phases: list[PhaseFigures]
    crashes: int
    """Number of engine crashes because a cold engine got too many requests."""
    last_new_work_in_zone_seconds: float
    """Time from the zone's removal to the last dispatch into it; 0 if there was none."""


class PhaseFigures(TypedDict):
    """Figures of the requests that arrived in one phase of a run."""

    phase: str
    answered_in_time: float
    """Fraction of the requests that got their complete output before their deadline."""
    short_answered_in_time: float
    """Fraction of the short prompts that got their complete output before their deadline."""
    short_p95: float
    """95th percentile of the short prompts' time to first token, seconds."""


class ExperimentFigures(TypedDict):
    """Result of one experiment, written as JSON."""

    experiment: str
    size: str
    seed: int
    arrival_seconds: float
    runs: list[PolicyFigures]


def _run(
    size: workload.Size,
    policy: policies.Policy,
    load: float,
    seed: int,
    seconds: float,
    kinds: tuple[workload.Kind, ...] = workload.KINDS,
    applies_cold_limits: bool = True,
    plan: Callable[[simulation.Simulation], None] | None = None,
) -> simulation.Simulation:
    arrivals = workload.make_arrivals(size, load, seconds, seed, kinds)
    run = simulation.Simulation(size, policy, arrivals, seed, applies_cold_limits)
    if plan is not None:
        plan(run)
    run.run(seconds + DRAIN_SECONDS)
    assert len(run.records_by_id) == len(arrivals), "a request has no outcome"
    return run


def _short_p95(run: simulation.Simulation) -> float:
    records = [r for r in run.records_by_id.values() if r.arrival.kind == "short"]
    return figures.first_token("short", records)["p95"]


def _long_answered_share(run: simulation.Simulation) -> float:
    return figures.answered_share(r for r in run.records_by_id.values() if r.arrival.kind == "long")


def _idle_with_work_share(run: simulation.Simulation) -> float:
    return round(run.idle_with_work_samples / max(1, run.samples), 4)


def _all_ends(run: simulation.Simulation) -> list[figures.Ends]:
    records = list(run.records_by_id.values())
    return [figures.count_ends(kind.name, records) for kind in workload.KINDS]


def measure_lengths(size: workload.Size, seed: int) -> list[PolicyFigures]:
    """Measure the time to first token by prompt length at moderate load.

    Args:
        size: The fleet.
        seed: Seed of arrivals and dispatchers.

    Returns:
        Figures of each policy.
    """
    results = []
    for policy in policies.Policy:
        run = _run(size, policy, MODERATE_LOAD, seed, ARRIVAL_SECONDS)
        lengths = figures.first_tokens_by_length(run.records_by_id.values())
        entry = PolicyFigures(policy=policy.value, load=MODERATE_LOAD, lengths=lengths)
        entry["ends"] = _all_ends(run)
        results.append(entry)
    return results


def measure_blocking(size: workload.Size, seed: int) -> list[PolicyFigures]:
    """Measure how much long prompts delay short ones.

    Args:
        size: The fleet.
        seed: Seed of arrivals and dispatchers.

    Returns:
        Figures of each policy and load. The runs with and without long prompts have the same
        other requests.
    """
    kinds_without_long = tuple(kind for kind in workload.KINDS if kind.name != "long")
    results = []
    for load in BLOCKING_LOADS:
        for policy in policies.Policy:
            mixed = _run(size, policy, load, seed, ARRIVAL_SECONDS)
            plain = _run(size, policy, load, seed, ARRIVAL_SECONDS, kinds_without_long)
            with_long, without = _short_p95(mixed), _short_p95(plain)
            entry = PolicyFigures(policy=policy.value, load=load, short_p95=with_long)
            entry["short_p95_without_long"] = without
            entry["blocking_ratio"] = round(with_long / without, 3)
            entry["long_in_time"] = _long_answered_share(mixed)
            entry["idle_with_work"] = _idle_with_work_share(mixed)
            entry["preemptions"] = sum(n.dispatcher.status().preemptions for n in mixed.nodes)
            entry["ends"] = _all_ends(mixed)
            results.append(entry)
    return results


def measure_overload(size: workload.Size, seed: int) -> list[PolicyFigures]:
    """Measure goodput and the share of admitted requests that are answered, under overload.

    Args:
        size: The fleet.
        seed: Seed of arrivals and dispatchers.

    Returns:
        Figures of each policy and load.
    """
    results = []
    for load in OVERLOADS:
        for policy in policies.Policy:
            run = _run(size, policy, load, seed, OVERLOAD_ARRIVAL_SECONDS)
            entry = PolicyFigures(policy=policy.value, load=load)
            entry["goodput"] = figures.goodput(
                run, OVERLOAD_ARRIVAL_SECONDS / 3, OVERLOAD_ARRIVAL_SECONDS
            )
            admitted = [r for r in run.records_by_id.values() if r.was_admitted]
            entry["kept_promises"] = figures.answered_share(admitted)
            entry["ends"] = _all_ends(run)
            results.append(entry)
    return results


def _phases(
    run: simulation.Simulation, bounds: list[tuple[str, float, float]]
) -> list[PhaseFigures]:
    results = []
    for name, start, end in bounds:
        records = [r for r in run.records_by_id.values() if start <= r.arrival.at < end]
        short = [r for r in records if r.arrival.kind == "short"]
        results.append(
            PhaseFigures(
                phase=name,
                answered_in_time=figures.answered_share(records),
                short_answered_in_time=figures.answered_share(short),
                short_p95=figures.first_token(name, short)["p95"],
            )
        )
    return results


def measure_zone_move(size: workload.Size, seed: int) -> list[PolicyFigures]:
    """Measure service while a zone is out of service and after it returns with cold engines.

    Args:
        size: The fleet.
        seed: Seed of arrivals and dispatchers.

    Returns:
        Figures of each policy.
    """
    zone = size.zones[0]

    def plan(run: simulation.Simulation) -> None:
        run.timeline.after(ZONE_OUT_AT_SECONDS, run.set_zones_out, frozenset({zone}))
        run.timeline.after(ZONE_RESTORED_AT_SECONDS - 1.0, run.restart_zone, zone)
        run.timeline.after(ZONE_RESTORED_AT_SECONDS, run.set_zones_out, frozenset())

    bounds = [
        ("before", 0.0, ZONE_OUT_AT_SECONDS),
        ("out", ZONE_OUT_AT_SECONDS, ZONE_RESTORED_AT_SECONDS),
        ("back", ZONE_RESTORED_AT_SECONDS, ARRIVAL_SECONDS),
    ]
    results = []
    for policy in policies.Policy:
        run = _run(size, policy, MODERATE_LOAD, seed, ARRIVAL_SECONDS, plan=plan)
        entry = PolicyFigures(policy=policy.value, load=MODERATE_LOAD)
        entry["phases"] = _phases(run, bounds)
        servers = run.configuration.servers_by_id
        seconds_after_zone_out = [
            at - ZONE_OUT_AT_SECONDS
            for at, server_id in run.dispatches
            if servers[server_id].zone == zone
            and ZONE_OUT_AT_SECONDS <= at < ZONE_RESTORED_AT_SECONDS
        ]
        entry["last_new_work_in_zone_seconds"] = round(max(seconds_after_zone_out, default=0.0), 3)
        entry["crashes"] = sum(engine.crashes for engine in run.engines_by_id.values())
        results.append(entry)
    return results


def measure_cold_zone(size: workload.Size, seed: int) -> list[PolicyFigures]:
    """Measure service after all engines of a zone restart cold at the same time.

    Args:
        size: The fleet.
        seed: Seed of arrivals and dispatchers.

    Returns:
        Figures of each policy, and of borrowing without cold limits.
    """
    zone = size.zones[0]

    def plan(run: simulation.Simulation) -> None:
        run.timeline.after(ZONE_OUT_AT_SECONDS, run.restart_zone, zone)

    bounds = [
        ("before", 0.0, ZONE_OUT_AT_SECONDS),
        ("cold", ZONE_OUT_AT_SECONDS, ZONE_OUT_AT_SECONDS + COLD_PHASE_SECONDS),
        ("after", ZONE_OUT_AT_SECONDS + COLD_PHASE_SECONDS, ARRIVAL_SECONDS),
    ]
    results = []
    cases = [(policy, True) for policy in policies.Policy]
    for policy, applies_limits in [*cases, (policies.Policy.BORROWING, False)]:
        run = _run(
            size,
            policy,
            MODERATE_LOAD,
            seed,
            ARRIVAL_SECONDS,
            applies_cold_limits=applies_limits,
            plan=plan,
        )
        name = policy.value if applies_limits else f"{policy.value}, no cold limits"
        entry = PolicyFigures(policy=name, load=MODERATE_LOAD)
        entry["phases"] = _phases(run, bounds)
        entry["crashes"] = sum(engine.crashes for engine in run.engines_by_id.values())
        results.append(entry)
    return results


MEASUREMENT_BY_EXPERIMENT: dict[str, Callable[[workload.Size, int], list[PolicyFigures]]] = {
    "lengths": measure_lengths,
    "blocking": measure_blocking,
    "zone-move": measure_zone_move,
    "overload": measure_overload,
    "cold-zone": measure_cold_zone,
}
"""Function that runs each experiment, by the name on the command line."""


def measure(experiment: str, size: workload.Size, seed: int) -> ExperimentFigures:
    """Run an experiment.

    Args:
        experiment: A key of `MEASUREMENT_BY_EXPERIMENT`.
        size: The fleet.
        seed: Seed of arrivals and dispatchers.

    Returns:
        The figures of all policies.
    """
    seconds = OVERLOAD_ARRIVAL_SECONDS if experiment == "overload" else ARRIVAL_SECONDS
    return ExperimentFigures(
        experiment=experiment,
        size=size.name,
        seed=seed,
        arrival_seconds=seconds,
        runs=MEASUREMENT_BY_EXPERIMENT[experiment](size, seed),
    )
