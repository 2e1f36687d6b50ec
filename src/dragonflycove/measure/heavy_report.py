"""Runs every heavy load with every placement policy; reports a table and a bar chart."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from dragonflycove.measure import heavy_kinds, heavy_load, heavy_policies, plots

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable

SEEDS = 3
"""Number of runs of each load and policy, with consecutive seeds; their outcomes are added up."""

MAKE_POLICY_BY_NAME: dict[str, Callable[[int], heavy_load.Policy]] = {
    "product": heavy_policies.ProductPolicy,
    "product, order of arrival": lambda engines: heavy_policies.ProductPolicy(
        engines, heavy_policies.ArrivalOrderQueue
    ),
    "least in flight": heavy_policies.LeastInFlight,
    "round robin": heavy_policies.RoundRobin,
}
"""Creates each compared policy for a number of engines."""


class KindRow(TypedDict):
    """Outcomes of the callers of one kind over all runs; `worth` is the earned fraction of the value."""

    kind: str
    asked: int
    in_time: int
    late: int
    refused: int
    given_up: int
    worth: float


class HeavyRun(TypedDict):
    """Figures of one load with one policy."""

    load: str
    policy: str
    worth: float
    """Earned value as a fraction of the value of all prompts, from 0 to 1."""
    kinds: list[KindRow]


class HeavyFigures(TypedDict):
    """Figures of all loads with all policies, written as JSON."""

    seed: int
    runs: list[HeavyRun]


def run_policy(load: heavy_kinds.LoadScenario, policy: str, seed: int) -> HeavyRun:
    """Run one load with one policy.

    Args:
        load: The load scenario.
        policy: A key of `MAKE_POLICY_BY_NAME`.
        seed: Seed of the first run.

    Returns:
        The sums over all runs.
    """
    results = []
    for number in range(seed, seed + SEEDS):
        policy_under_test = MAKE_POLICY_BY_NAME[policy](load.engines)
        results.append(
            heavy_load.HeavyLoad(load, policy_under_test, heavy_policies.SPEC, number).run()
        )
    rows: list[KindRow] = []
    earned = offered = 0.0
    for kind in heavy_kinds.KINDS:
        of_kind = [result[kind.name] for result in results]
        kind_offered = sum(figures.offered_value for figures in of_kind)
        kind_earned = sum(figures.earned_share * figures.offered_value for figures in of_kind)
        earned += kind_earned
        offered += kind_offered
        rows.append(
            KindRow(
                kind=kind.name,
                asked=sum(figures.asked for figures in of_kind),
                in_time=sum(figures.in_time for figures in of_kind),
                late=sum(figures.late for figures in of_kind),
                refused=sum(figures.refused for figures in of_kind),
                given_up=sum(figures.given_up for figures in of_kind),
                worth=round(kind_earned / kind_offered, 3),
            )
        )
    return HeavyRun(load=load.name, policy=policy, worth=round(earned / offered, 3), kinds=rows)


def measure(seed: int) -> HeavyFigures:
    """Run every load with every policy.

    Args:
        seed: Seed of the first run of each.

    Returns:
        The figures in the order of loads, then policies.
    """
    runs = [
        run_policy(load, name, seed)
        for load in heavy_kinds.SCENARIOS
        for name in MAKE_POLICY_BY_NAME
    ]
    return HeavyFigures(seed=seed, runs=runs)


def table(results: HeavyFigures) -> str:
    """Return the figures as a Markdown table.

    Args:
        results: Figures of all loads.
    """
    lines = [
        "| load | policy | worth | short: in time, late, refused, gave up | medium | long |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for run in results["runs"]:
        cells = [
            f"{row['in_time']}, {row['late']}, {row['refused']}, {row['given_up']}"
            for row in run["kinds"]
        ]
        lines.append(f"| {run['load']} | {run['policy']} | {run['worth']} | {' | '.join(cells)} |")
    return "\n".join(lines)


def draw(results: HeavyFigures, path: pathlib.Path) -> None:
    """Draw a bar chart of the earned fraction of the value by load and policy.

    Args:
        results: Figures of all loads.
        path: PNG file to write.
    """
    figure, axes = plots.make(11, 5)
    loads = list(dict.fromkeys(run["load"] for run in results["runs"]))
    width = 0.8 / len(MAKE_POLICY_BY_NAME)
    for position, policy in enumerate(MAKE_POLICY_BY_NAME):
        heights = [run["worth"] for run in results["runs"] if run["policy"] == policy]
        bar_positions = [index + position * width for index in range(len(loads))]
        axes.bar(bar_positions, heights, width, label=policy)
    axes.set_xticks([index + 0.3 for index in range(len(loads))])
    axes.set_xticklabels(loads, fontsize=8)
    axes.set_ylabel("share of the worth earned")
    axes.set_title(f"heavy loads, {SEEDS} runs each from seed {results['seed']}")
    axes.legend(fontsize=8)
    plots.save(figure, path)
