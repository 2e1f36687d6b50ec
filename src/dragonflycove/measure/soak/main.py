"""Plays one seed of the soak and says what was broken."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import time
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.measure.soak import callers, checks, deployment, plan

if TYPE_CHECKING:
    from collections.abc import Sequence

START_SECONDS = 4.0
"""Time for the processes to start and find each other."""

RECOVERY_SECONDS = 12.0
"""Time after the last disturbance in which service must be whole again."""

EVALUATED_SECONDS = 5.0
"""Last part of the calm time, in which nearly all requests must be served."""

RELEASE_SECONDS = 1.0
"""Time after the last request in which all memory is given back."""

MIN_SERVED_SHARE = 0.95
"""Share of the requests of that part that must be served."""

MAX_LISTED_FAULTS = 6
"""Disturbances before a break that are printed."""


class SoakSettings(NamedTuple):
    """What one soak plays."""

    seed: int
    """Seed of the plan."""

    seconds: float
    """Length of the disturbed part."""

    sizes: tuple[int, int, int]
    """How many nodes, engines and plain servers."""

    callers: int
    """How many callers."""

    block: int
    """Second part of all loopback addresses."""


class SoakResult(NamedTuple):
    """What a soak found."""

    violations: list[str]
    """Broken promises, with the time and the disturbances before."""

    response_count_by_status: dict[int, int]
    """Answers by status."""

    folder: pathlib.Path
    """Where the logs are."""


async def run_soak(soak: SoakSettings) -> SoakResult:
    """Play a soak to its end.

    Args:
        soak: What to play.

    Returns:
        What it found.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{soak.seed}-"))
    rng = random.Random(soak.seed)
    planned_faults = plan.draw_faults(rng, soak.seconds)
    checker = checks.Checker(deployment.EVENTS)
    running = deployment.Deployment(rng, folder, soak.block, soak.sizes)
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
        if watch_task.done():
            watch_task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await running.close()
    return SoakResult(
        [*checker.violations, *running.stop_failures], checker.response_count_by_status(), folder
    )


async def _apply_faults(
    running: deployment.Deployment, planned_faults: list[plan.PlannedFault]
) -> None:
    started_at = time.monotonic()
    tasks = []
    for planned in planned_faults:
        await asyncio.sleep(max(0.0, started_at + planned.at - time.monotonic()))
        tasks.append(asyncio.ensure_future(running.apply_fault(planned)))
    await asyncio.gather(*tasks)


async def _watch(
    running: deployment.Deployment,
    checker: checks.Checker,
    soak_callers: Sequence[callers.Caller],
    planned_faults: Sequence[plan.PlannedFault],
) -> None:
    """Check runs while they come, and say what came before a break."""
    started_at = time.monotonic()
    checked = annotated = 0
    while True:
        await asyncio.sleep(0.1)
        for one in running.runs[checked:]:
            checker.check_execution(one)
            checked += 1
        for caller in soak_callers:
            caller.cancelling_until = running.cancelling_until
        now = time.monotonic() - started_at
        for index in range(annotated, len(checker.violations)):
            preceding = [f"{s.at:.1f} {s.kind.value}" for s in planned_faults if s.at <= now][
                -MAX_LISTED_FAULTS:
            ]
            checker.violations[index] += f" [at {now:.1f} s, after {', '.join(preceding)}]"
        annotated = len(checker.violations)
