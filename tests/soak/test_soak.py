"""Combined faults against the promises; `SOAK_SEEDS=100:400` runs those seeds instead."""

from __future__ import annotations

import os

import pytest
import soak_world

FIRST, _, LAST = os.environ.get("SOAK_SEEDS", "0:12").partition(":")


@pytest.mark.parametrize("seed", range(int(FIRST), int(LAST)))
def test_every_promise_holds_under_combined_faults(seed):
    counts = soak_world.World(seed).run()
    assert counts["Answered"] > counts["starts"] // 4
