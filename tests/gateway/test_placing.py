"""Requests that wait at this node for capacity."""

from __future__ import annotations

import asyncio

import pytest

from dragonflycove.fleet import placer, server_health
from dragonflycove.gateway import placing
from dragonflycove.quarantine import crash_counts
from tests.fleet import builders

pytestmark = pytest.mark.asyncio


async def test_capacity_granted_in_the_moment_in_which_a_caller_leaves_is_free_again() -> None:
    server_placer = placer.Placer(
        builders.view(builders.server("p", service="plain", slots=1)), "z1"
    )
    local = placing.LocalRequestPlacer(server_placer, crash_counts.CrashCounts())
    first, second = (builders.job(number, tokens=0, service="plain") for number in (1, 2))
    await local.place(first)
    waiting = asyncio.ensure_future(local.place(second))
    await asyncio.sleep(0)
    server_placer.on_end(first.key, server_health.Outcome.ANSWERED, 0.0)
    local.advance()
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert server_placer.placement(second.key) is None
