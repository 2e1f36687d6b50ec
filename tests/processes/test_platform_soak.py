"""A short seeded run of the fault soak on real node processes."""

from __future__ import annotations

import asyncio
import random

import pytest

from dragonflycove.measure.soak import main as soak_main
from dragonflycove.measure.soak import plan

SEED = 1
"""Seed of the run in CI; fresh seeds are played by hand."""

SECONDS = 6.0
"""Length of the disturbed part."""


@pytest.mark.processes
def test_a_short_soak_breaks_no_promise() -> None:
    soak = soak_main.SoakSettings(SEED, SECONDS, sizes=(3, 3, 2), callers=6, block=19)
    verdict = asyncio.run(soak_main.run_soak(soak))
    assert verdict.violations == []
    assert verdict.response_count_by_status[200] > 100


def test_a_seed_fixes_the_plan() -> None:
    first = plan.draw_faults(random.Random(7), 30.0)
    assert first == plan.draw_faults(random.Random(7), 30.0)
    assert first != plan.draw_faults(random.Random(8), 30.0)
    assert len({step.kind for step in plan.draw_faults(random.Random(1), 600.0)}) == len(
        plan.FaultKind
    )
