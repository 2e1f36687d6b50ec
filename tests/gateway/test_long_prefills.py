"""Prompts that several engines store, whose lead engine is silent for seconds or dies."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from dragonflycove.standins.platform import server_faults
from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.asyncio

PROMPT = {"X-Token-Counts": "260000,100", "X-Model": "m"}
"""A prompt that is larger than one engine's KV cache."""

PREFILL_SECONDS = 4.5
"""Time to the first event; about three times the predicted one."""

LONGER_PROMPT = {"X-Token-Counts": "420000,100", "X-Model": "m"}
"""A prompt whose first event is predicted after 3.5 s."""

RELEASE_SECONDS = 4.0
"""Time from an engine's end within which its helpers' KV cache must be free, as specified."""


@contextlib.asynccontextmanager
async def _fleet() -> AsyncIterator[deployment.Deployment]:
    async with deployment.deployed() as system:
        value = deployment.configuration(2)
        value["routes"][1]["timeout_ms"] = 15_000  # type: ignore[index]
        system.store.put("keyed.op", "config", value)
        for name in ("e3", "e4"):
            await system.add_server(name)
        system.beat()
        await asyncio.sleep(0.7)
        yield system


async def test_a_lead_in_a_long_prefill_is_not_given_up() -> None:
    # Its prompt was given up after 3.4 s and prefilled again by other engines, from its start.
    async with _fleet() as system:
        for name in ("e1", "e2", "e3", "e4"):
            system.server_by_id[name].prefill_seconds = PREFILL_SECONDS
        response = await system.call("/review/x", headers=PROMPT, deadline_ms=15_000)
        runs = system.runs()
    assert (response.status, response.is_complete) == (200, True)
    assert len(runs) == 1


async def test_the_helpers_of_a_lead_that_died_in_silence_are_freed() -> None:
    # A lead was awaited for 0.7 s longer than predicted, here 4.2 s, dead or not.
    async with _fleet() as system:
        for server in system.server_by_id.values():
            server.prefill_seconds = 60.0
            server.crash_mode = server_faults.CrashMode.SILENT
        call = asyncio.ensure_future(
            system.call("/review/x", headers=LONGER_PROMPT, deadline_ms=15_000)
        )
        await system.wait_for_run()
        (lead,) = [one for one in system.server_by_id.values() if one.runs]
        held = _reservations(system)
        lead.crash()
        await asyncio.sleep(RELEASE_SECONDS)
        still_held = held & _reservations(system)
        call.cancel()
    assert held
    assert not still_held


def _reservations(system: deployment.Deployment) -> set[str]:
    return {
        name for server in system.server_by_id.values() for name in server.reserved_tokens_by_id
    }
