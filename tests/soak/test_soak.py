"""Runs simulated nodes under combined faults; `SOAK_SEEDS=100:400` selects other seeds, 400 excluded."""

from __future__ import annotations

import os

import pytest
import soak_simulation

DEFAULT_SEEDS = (*range(12), 21, 41, 65, 105, 302)
"""Seeds that run without `SOAK_SEEDS`; each after the first dozen once revealed a fault."""


def choose_seeds():
    """Return the seeds that the environment variable selects, or the default ones."""
    first, _, last = os.environ.get("SOAK_SEEDS", "").partition(":")
    return range(int(first), int(last)) if last else DEFAULT_SEEDS


@pytest.mark.parametrize("seed", choose_seeds())
def test_no_invariant_is_violated_under_combined_faults(seed):
    counts = soak_simulation.Simulation(seed).run()
    assert counts["Answered"] > counts["starts"] // 4
