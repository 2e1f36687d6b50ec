"""Runs a soak with one seed and returns the violated guarantees."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import tempfile
import time
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.measure.soak import callers, checks, crashes, deployment, plan

if TYPE_CHECKING:
    from collections.abc import Sequence

START_SECONDS = 4.0
"""Time for the processes to start and discover each other."""

RECOVERY_SECONDS = 12.0
"""Time after the last fault by which service must have recovered."""

EVALUATED_SECONDS = 5.0
"""Last part of the recovery time, whose requests are evaluated."""

RELEASE_SECONDS = 1.0
"""Time after the last request by which all reservations must be released."""

MIN_SERVED_SHARE = 0.95
"""Fraction of the evaluated requests that must be served."""

MAX_LISTED_FAULTS = 6
"""Most preceding faults that are listed with a violation."""


class SoakSettings(NamedTuple):
    """Settings of one soak."""

    seed: int
    """Seed of the faults and of the callers' requests."""

    seconds: float
    """Length of the part with faults."""

    sizes: tuple[int, int, int]
    """Numbers of nodes, engines and plain servers."""

    callers: int
    """Number of callers."""

    block: int
    """Second byte of all loopback addresses."""

    has_crashing_requests: bool = True
    """Whether callers also send requests that crash servers, and servers state limits."""

    is_planned_only: bool = False
    """Whether only planned work and pauses of servers are drawn, which end no request."""


class SoakResult(NamedTuple):
    """Result of one soak."""

    violations: list[str]
    """Violated guarantees with their times and preceding faults; empty if all held."""

    response_count_by_status: dict[int, int]
    """Responses by status; 0 counts requests without a response."""

    folder: pathlib.Path
    """Folder with the nodes' settings and logs."""

    crash_counts: str
    """Servers crashed by each crashing request, as JSON."""


async def run_soak(soak: SoakSettings) -> SoakResult:
    """Run a soak to its end.

    SIGTERM cancels it, as SIGINT does, so that its node processes end with it.

    Args:
        soak: Settings of the soak.

    Returns:
        Violations, response counts and the log folder.
    """
    own_task = asyncio.current_task()
    assert own_task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, own_task.cancel)
    try:
        return await _run(soak)
    finally:
        loop.remove_signal_handler(signal.SIGTERM)


async def _run(soak: SoakSettings) -> SoakResult:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{soak.seed}-"))
    rng = random.Random(soak.seed)
    planned_faults = _draw_faults(soak, rng)
    checker = checks.Checker(deployment.EVENTS)
    running = deployment.Deployment(rng, folder, soak.block, soak.sizes, checker)
    soak_callers = [
        callers.Caller(number, running.nodes, checker, random.Random(soak.seed * 1_000 + number))
        for number in range(soak.callers)
    ]
    tasks: list[asyncio.Task[None]] = []
    try:
        await running.start()
        await asyncio.sleep(START_SECONDS)
        tasks = [asyncio.ensure_future(one.run()) for one in soak_callers]
        caller_tasks = tasks[:]
        watch_task = asyncio.ensure_future(_watch(running, checker, soak_callers, planned_faults))
        tasks.append(watch_task)
        await _apply_faults(running, planned_faults)
        await asyncio.sleep(RECOVERY_SECONDS)
        since = time.monotonic() - EVALUATED_SECONDS
        await asyncio.sleep(callers.CALLER_DEADLINE_SECONDS / 2)
        evaluated = [name for one in soak_callers for at, name in one.sent_requests if at >= since][
            :-1
        ]
        finished = evaluated[: max(1, len(evaluated) - 2 * soak.callers)]
        share = checker.served_share(finished)
        if share < MIN_SERVED_SHARE:
            checker.violations.append(f"RECOVER: {share:.2f} of {len(finished)} served at the end")
        for task in caller_tasks:
            task.cancel()
        await asyncio.sleep(RELEASE_SECONDS)
        running.check_leaks(checker)
        checker.check_executions(running.runs)
        if soak.is_planned_only:
            checker.check_unanswered(running.runs)
        for log in (running.crash_log, running.limit_log, running.statement_log):
            checker.violations += log.violations()
        if watch_task.done():
            watch_task.result()
    finally:
        try:
            await _cancel(tasks)
        finally:
            await running.close()
    return SoakResult(
        [*checker.violations, *running.stop_failures],
        checker.response_count_by_status(),
        folder,
        crashes.describe(running.crash_log),
    )


def _draw_faults(soak: SoakSettings, rng: random.Random) -> list[plan.PlannedFault]:
    allowed = plan.PLANNED_WORK if soak.is_planned_only else frozenset(plan.FaultKind)
    planned_faults = plan.draw_faults(rng, soak.seconds, allowed)
    if soak.has_crashing_requests:
        for kind in plan.DRAWN_APART & allowed:
            planned_faults += plan.draw_apart(soak.seed, kind, soak.seconds)
        planned_faults.sort(key=lambda planned: planned.at)
    return planned_faults


async def _apply_faults(
    running: deployment.Deployment, planned_faults: list[plan.PlannedFault]
) -> None:
    started_at = time.monotonic()
    tasks: list[asyncio.Task[None]] = []
    try:
        for planned in planned_faults:
            await asyncio.sleep(max(0.0, started_at + planned.at - time.monotonic()))
            tasks.append(asyncio.ensure_future(running.apply_fault(planned)))
        await asyncio.gather(*tasks)
    finally:
        # A restart that goes on would start a node after the others were killed.
        await _cancel(tasks)


async def _cancel(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _watch(
    running: deployment.Deployment,
    checker: checks.Checker,
    soak_callers: Sequence[callers.Caller],
    planned_faults: Sequence[plan.PlannedFault],
) -> None:
    """Check executions as they happen; append time and preceding faults to new violations."""
    started_at = time.monotonic()
    checked = annotated = 0
    while True:
        await asyncio.sleep(0.1)
        for one in running.runs[checked:]:
            checker.check_execution(one)
            checked += 1
        for caller in soak_callers:
            caller.cancelling_until = running.cancelling_until
            caller.reading_slowly_until = running.reading_slowly_until
        now = time.monotonic() - started_at
        for index in range(annotated, len(checker.violations)):
            preceding = [f"{s.at:.1f} {s.kind.value}" for s in planned_faults if s.at <= now][
                -MAX_LISTED_FAULTS:
            ]
            checker.violations[index] += f" [at {now:.1f} s, after {', '.join(preceding)}]"
        annotated = len(checker.violations)
