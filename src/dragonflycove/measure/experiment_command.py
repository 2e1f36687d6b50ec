"""`dragonflycove measure`: simulated experiments and cost measurements, written as JSON and PNG."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import TYPE_CHECKING

from absl import flags

from dragonflycove.measure import (
    capacity,
    control_capacity,
    decision,
    experiments,
    heavy_report,
    plots,
    predictions,
    workload,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

SIZES_BY_NAME = {size.name: size for size in (workload.COOPERATIVE, workload.TENGRI)}
"""Fleets by their names on the command line."""

DECISION_SERVERS = (14, 150, 600)
"""Numbers of engines at which dispatch decisions are measured."""

DECISIONS = 5_000
"""Decisions that are measured at each number of engines."""


def _make_flags() -> flags.FlagValues:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_integer("seed", 1, "Seed of all random generators.", flag_values=values)
    flags.DEFINE_string("out", "out", "Folder for the results.", flag_values=values)
    flags.DEFINE_enum(
        "size", "both", ["both", *SIZES_BY_NAME], "The fleet to run.", flag_values=values
    )
    return values


def _write(values: flags.FlagValues, name: str, results: object) -> pathlib.Path:
    folder = pathlib.Path(values.out)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.json"
    path.write_text(json.dumps(results, indent=1) + "\n")
    print(path)
    return path


def _run_experiment(values: flags.FlagValues, name: str) -> None:
    sizes = list(SIZES_BY_NAME.values()) if values.size == "both" else [SIZES_BY_NAME[values.size]]
    for size in sizes:
        results = experiments.measure(name, size, values.seed)
        path = _write(values, f"{name}-{size.name}", results)
        plots.write(results, path.with_suffix(".png"))


def _run_decision(values: flags.FlagValues, name: str) -> None:
    results = [decision.measure(n, DECISIONS, values.seed)._asdict() for n in DECISION_SERVERS]
    _write(values, name, results)


def _run_capacity(values: flags.FlagValues, name: str) -> None:
    _write(values, name, [*capacity.measure(values.seed), *control_capacity.measure(values.seed)])


def _run_heavy(values: flags.FlagValues, name: str) -> None:
    results = heavy_report.measure(values.seed)
    heavy_report.draw(results, _write(values, name, results).with_suffix(".png"))
    print(heavy_report.table(results))


def _run_predictions(values: flags.FlagValues, name: str) -> None:
    attempts = predictions.collect(sys.stdin)
    path = _write(values, name, predictions.summarize(attempts))
    predictions.draw(attempts, path.with_suffix(".png"))


COMMANDS_BY_NAME: dict[str, Callable[[flags.FlagValues, str], None]] = {
    **dict.fromkeys(experiments.MEASUREMENT_BY_EXPERIMENT, _run_experiment),
    "decision": _run_decision,
    "capacity": _run_capacity,
    "heavy": _run_heavy,
    "predictions": _run_predictions,
}
"""Function that runs each measurement, by its name on the command line."""


def run(argv: Sequence[str]) -> int:
    """Run one measurement.

    Args:
        argv: The command line after `dragonflycove measure`.

    Returns:
        Exit status: 0, or 2 for a wrong command line.
    """
    values = _make_flags()
    if "--help" in argv:
        print(f"experiments: {', '.join(COMMANDS_BY_NAME)}")
        print(values.get_help())  # type: ignore[no-untyped-call]
        return 0
    try:
        names = values(["dragonflycove measure", *argv])[1:]
    except flags.Error as error:
        print(error, file=sys.stderr)
        return 2
    if len(names) != 1 or names[0] not in COMMANDS_BY_NAME:
        print(f"usage: measure {{{','.join(COMMANDS_BY_NAME)}}} [--seed N] [--out DIR]")
        return 2
    COMMANDS_BY_NAME[names[0]](values, names[0])
    return 0
