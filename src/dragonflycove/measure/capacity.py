"""Measures how the dispatcher's CPU time and memory grow with the size of a fleet."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from typing import TYPE_CHECKING, TypedDict

from dragonflycove.admission import dispatcher
from dragonflycove.configuration import schema
from dragonflycove.measure import decision, workload
from dragonflycove.routing import load_view, policies

if TYPE_CHECKING:
    from collections.abc import Callable

SERVER_COUNTS = (50, 200, 600)
"""Numbers of engines at which costs are measured."""

ORGANISATION_COUNTS = (1_000, 8_000, 26_000)
"""Numbers of organisations in the configurations at which costs are measured."""

RATES = (50, 200, 800)
"""Request rates at which submissions are measured, requests per second."""


class Slope(TypedDict):
    """Growth of a cost with a size; `at` has the measured costs by size, `per_unit` the fitted slope."""

    name: str
    unit: str
    at: dict[int, float]
    per_unit: float


def fit(name: str, unit: str, at: dict[int, float]) -> Slope:
    """Fit a straight line by least squares.

    Args:
        name: Name of the measured cost.
        unit: Unit of the slope.
        at: Measured cost by size.

    Returns:
        The fitted slope with its data.
    """
    count = len(at)
    mean_x = sum(at) / count
    mean_y = sum(at.values()) / count
    covariance_sum = sum((x - mean_x) * (y - mean_y) for x, y in at.items())
    slope = covariance_sum / sum((x - mean_x) ** 2 for x in at)
    return Slope(name=name, unit=unit, at=at, per_unit=slope)


def _make(servers: int, organisations: int) -> tuple[dispatcher.Dispatcher, schema.Configuration]:
    size = workload.COOPERATIVE._replace(model_servers=servers)
    names = [f"organisation-{index}" for index in range(organisations)]
    configuration = workload.make_configuration(size)._replace(
        organisations_by_name={name: schema.Organisation(name, 1.0, 0.0) for name in names}
    )
    subject = dispatcher.Dispatcher.from_config(
        configuration, size.zones[0], policies.Policy.BORROWING, random.Random(1), "node-0"
    )
    return subject, configuration


def _memory_bytes(make: Callable[[], object]) -> float:
    """Return the memory that a newly made object occupies, bytes."""
    gc.collect()
    tracemalloc.start()
    measured_object = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del measured_object
    return float(size)


def _report_microseconds(servers: int) -> float:
    """Return the mean CPU time to handle one load report from each engine, microseconds."""
    subject, configuration = _make(servers, 10)
    reports = [
        load_view.LoadReport(
            server_id, 0.2, "1", 4, 0, (0, 0), (900, 0), 9_000, 400_000, 9, (workload.MODEL,)
        )
        for server_id in configuration.servers_by_id
    ]
    before = time.thread_time_ns()
    for turn in range(10):
        for report in reports:
            subject.on_report(report, 1.0 + turn)
    return (time.thread_time_ns() - before) / 10_000


def _configuration_microseconds(organisations: int) -> float:
    """Return the mean CPU time to apply a configuration at 600 engines, microseconds."""
    subject, configuration = _make(600, organisations)
    before = time.thread_time_ns()
    for version in range(10):
        subject.set_configuration(configuration._replace(version=version), 1.0)
    return (time.thread_time_ns() - before) / 10_000


def _second_microseconds(rate: int, seed: int) -> float:
    """Return the CPU time that one second of submissions takes at 600 engines, microseconds."""
    return decision.measure(600, 2_000, seed, rate).mean_microseconds * rate


def measure(seed: int) -> list[Slope]:
    """Measure the slopes of the dispatcher's costs.

    Args:
        seed: Seed of the submissions.

    Returns:
        One slope for each cost.
    """
    return [
        fit("memory", "bytes per engine", {n: _memory_bytes(lambda n=n: _make(n, 10)[0]) for n in SERVER_COUNTS}),  # type: ignore[misc]
        fit(
            "reports",
            "us per engine and report",
            {n: _report_microseconds(n) for n in SERVER_COUNTS},
        ),
        fit(
            "memory of dispatcher and configuration",
            "bytes per organisation",
            {n: _memory_bytes(lambda n=n: _make(14, n)) for n in ORGANISATION_COUNTS},  # type: ignore[misc]
        ),
        fit(
            "configuration change at 600 engines",
            "us per organisation",
            {n: _configuration_microseconds(n) for n in ORGANISATION_COUNTS},
        ),
        fit(
            "submissions at 600 engines",
            "us per request",
            {n: _second_microseconds(n, seed) for n in RATES},
        ),
    ]
