"""Bar charts of the experiments' figures, and helpers for other charts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

if TYPE_CHECKING:
    import pathlib

    from matplotlib import axes as axes_module
    from matplotlib import figure as figure_module

    from dragonflycove.measure import experiments


def make(width: float, height: float) -> tuple[figure_module.Figure, axes_module.Axes]:
    """Return an empty chart with one pair of axes.

    Args:
        width: Width in inches.
        height: Height in inches.
    """
    return plt.subplots(figsize=(width, height))


def save(figure: figure_module.Figure, path: pathlib.Path) -> None:
    """Write a chart to a PNG file and close it; equal charts give equal bytes.

    Args:
        figure: The chart.
        path: PNG file to write.
    """
    figure.tight_layout()
    figure.savefig(path, dpi=100, metadata={"Software": None})
    plt.close(figure)


def _bars(run: experiments.PolicyFigures) -> dict[str, float]:
    """Return the labels and heights of a run's bars."""
    if "lengths" in run:
        return {item["name"]: item["p95"] for item in run["lengths"]}
    if "blocking_ratio" in run:
        return {
            "short p95 without long (s)": run["short_p95_without_long"],
            "short p95 with long (s)": run["short_p95"],
        }
    if "goodput" in run:
        return {"goodput": run["goodput"], "kept promises": run["kept_promises"]}
    return {f"short p95, {item['phase']} (s)": item["short_p95"] for item in run["phases"]}


def write(results: experiments.ExperimentFigures, path: pathlib.Path) -> None:
    """Draw an experiment's bar chart.

    Args:
        results: Figures of the experiment.
        path: PNG file to write.
    """
    figure, axes = make(10, 5)
    runs = results["runs"]
    names = list(_bars(runs[0]))
    width = 0.8 / len(names)
    for position, name in enumerate(names):
        heights = [max(0.0, _bars(run)[name]) for run in runs]
        bar_positions = [index + position * width for index in range(len(runs))]
        axes.bar(bar_positions, heights, width, label=name)
    axes.set_xticks(range(len(runs)))
    labels = [f"{run['policy']}\nload {run['load']}" for run in runs]
    axes.set_xticklabels(labels, fontsize=6, rotation=30)
    if "goodput" not in runs[0]:
        axes.set_yscale("log")
    axes.set_title(f"{results['experiment']}, {results['size']}, seed {results['seed']}")
    axes.legend(fontsize=7)
    save(figure, path)
