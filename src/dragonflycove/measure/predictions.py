"""Compares predicted with actual times to first event, from the nodes' logs."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypedDict

from dragonflycove.measure import figures, plots
from dragonflycove.telemetry import log_lines

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable

LENGTH_BOUNDS_TOKENS = (0, 3_000, 8_000, 24_000, 60_000, 120_000, 250_000, 2_000_000)
"""Lower bounds of the prompt length classes; the last one is the upper bound of all."""


class Prediction(NamedTuple):
    """Predicted and measured time to first event of one attempt."""

    tokens: int
    """Length of the prompt, tokens."""

    predicted_seconds: float
    """Predicted time to first event."""

    first_event_seconds: float
    """Measured time to first event."""


class PredictionRow(TypedDict):
    """Figures of one class of prompt lengths; times in seconds."""

    from_tokens: int
    """Minimum prompt length, inclusive."""
    to_tokens: int
    """Maximum prompt length, exclusive."""
    sends: int
    """Number of attempts with a first event."""
    predicted_median: float
    seen_median: float
    """Median of the measured time to first event."""
    ratio_p10: float
    """10th percentile of measured time divided by predicted time."""
    ratio_p90: float
    """90th percentile of measured time divided by predicted time."""


def collect(source: Iterable[str]) -> list[Prediction]:
    """Find the attempts that had a first event.

    Args:
        source: Log lines of one or more nodes, each node's in order.

    Returns:
        The attempts with a known prompt length.
    """
    sent_by_key: dict[tuple[str, str], dict[str, str]] = {}
    predictions = []
    for text in source:
        if "event=sent " not in text and "event=send_ended " not in text:
            continue
        fields = log_lines.parse_fields(text)
        key = (fields.get("request", ""), fields.get("server", ""))
        if fields.get("event") == "sent":
            sent_by_key[key] = fields
            continue
        sent = sent_by_key.pop(key, None)
        seen = float(fields.get("first", 0.0))
        if sent is not None and seen > 0 and int(sent.get("tokens", 0)) > 0:
            predictions.append(Prediction(int(sent["tokens"]), float(sent["predicted"]), seen))
    return predictions


def summarize(predictions: list[Prediction]) -> list[PredictionRow]:
    """Summarize attempts by prompt length.

    Args:
        predictions: The attempts.

    Returns:
        A row for each class that has attempts.
    """
    rows = []
    for low, high in zip(LENGTH_BOUNDS_TOKENS, LENGTH_BOUNDS_TOKENS[1:], strict=False):
        selected = [prediction for prediction in predictions if low <= prediction.tokens < high]
        if not selected:
            continue
        ratios = [
            prediction.first_event_seconds / max(1e-6, prediction.predicted_seconds)
            for prediction in selected
        ]
        rows.append(
            PredictionRow(
                from_tokens=low,
                to_tokens=high,
                sends=len(selected),
                predicted_median=round(
                    figures.percentile((p.predicted_seconds for p in selected), 0.5), 4
                ),
                seen_median=round(
                    figures.percentile((p.first_event_seconds for p in selected), 0.5), 4
                ),
                ratio_p10=round(figures.percentile(ratios, 0.1), 2),
                ratio_p90=round(figures.percentile(ratios, 0.9), 2),
            )
        )
    return rows


def draw(predictions: list[Prediction], path: pathlib.Path) -> None:
    """Draw actual against predicted times.

    Args:
        predictions: The attempts.
        path: PNG file to write.
    """
    figure, axes = plots.make(7, 6)
    for low, high in zip(LENGTH_BOUNDS_TOKENS, LENGTH_BOUNDS_TOKENS[1:], strict=False):
        selected = [prediction for prediction in predictions if low <= prediction.tokens < high]
        if selected:
            predicted = [prediction.predicted_seconds for prediction in selected]
            seen = [prediction.first_event_seconds for prediction in selected]
            axes.scatter(predicted, seen, s=8, label=f"{low:,} to {high:,} tokens")
    axes.plot([0.02, 20], [0.02, 20], color="grey", linewidth=1)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("predicted first event (s)")
    axes.set_ylabel("seen first event (s)")
    axes.legend(fontsize=7)
    plots.save(figure, path)
