"""Plays one seed of the soak and says what was broken."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import time
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.measure.soak import callers, checks, plan, world

if TYPE_CHECKING:
    from collections.abc import Sequence

WARM_SECONDS = 4.0
"""Time for the processes to start and find each other."""

CALM_SECONDS = 12.0
"""Time after the last disturbance in which service must be whole again."""

JUDGED_SECONDS = 5.0
"""Last part of the calm time, in which nearly all requests must be served."""

RELEASE_SECONDS = 1.0
"""Time after the last request in which all memory is given back."""

LEAST_SERVED = 0.95
"""Share of the requests of that part that must be served."""

TRACE_STEPS = 6
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
    steps = plan.draw_faults(rng, soak.seconds)
    checking = checks.Checks(world.EVENTS)
    playing = world.World(rng, folder, soak.block, soak.sizes)
    asking = [
        callers.Caller(number, playing.nodes, checking, random.Random(soak.seed * 1_000 + number))
        for number in range(soak.callers)
    ]
    tasks: list[asyncio.Task[None]] = []
    try:
        await playing.start()
        await asyncio.sleep(WARM_SECONDS)
        tasks = [asyncio.ensure_future(one.run()) for one in asking]
        calling = tasks[:]
        watching = asyncio.ensure_future(_watch(playing, checking, asking, steps))
        tasks.append(watching)
        await _disturb(playing, steps)
        await asyncio.sleep(CALM_SECONDS)
        since = time.monotonic() - JUDGED_SECONDS
        await asyncio.sleep(callers.DEADLINE_SECONDS / 2)
        judged = [name for one in asking for at, name in one.attempt_ids if at >= since][:-1]
        finished = judged[: max(1, len(judged) - 2 * soak.callers)]
        share = checking.served_share(finished)
        if share < LEAST_SERVED:
            checking.violations.append(f"RECOVER: {share:.2f} of {len(finished)} served at the end")
        for task in calling:
            task.cancel()
        await asyncio.sleep(RELEASE_SECONDS)
        playing.check_leaks(checking)
        checking.check_all_runs(playing.runs)
        if watching.done():
            watching.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await playing.close()
    return SoakResult(
        [*checking.violations, *playing.failed], checking.response_count_by_status(), folder
    )


async def _disturb(playing: world.World, steps: list[plan.PlannedFault]) -> None:
    began = time.monotonic()
    running = []
    for step in steps:
        await asyncio.sleep(max(0.0, began + step.at - time.monotonic()))
        running.append(asyncio.ensure_future(playing.disturb(step)))
    await asyncio.gather(*running)


async def _watch(
    playing: world.World,
    checking: checks.Checks,
    asking: Sequence[callers.Caller],
    steps: Sequence[plan.PlannedFault],
) -> None:
    """Check runs while they come, and say what came before a break."""
    began = time.monotonic()
    seen = told = 0
    while True:
        await asyncio.sleep(0.1)
        for one in playing.runs[seen:]:
            checking.check_run(one)
            seen += 1
        for caller in asking:
            caller.leaving_until = playing.leaving_until
        now = time.monotonic() - began
        for index in range(told, len(checking.violations)):
            before = [f"{s.at:.1f} {s.kind.value}" for s in steps if s.at <= now][-TRACE_STEPS:]
            checking.violations[index] += f" [at {now:.1f} s, after {', '.join(before)}]"
        told = len(checking.violations)
