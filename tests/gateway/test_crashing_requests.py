"""Requests that crash every server that runs them, sent again at any node of the fleet."""

from __future__ import annotations

import asyncio

import pytest

from dragonflycove.standins.platform.server import CrashMode
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio

NODES = 6
"""Nodes of the fleet; three of them are hubs."""

ENGINES = 12
"""Engines of the fleet, more than the sends of one request."""

MAX_CRASHES = 3
"""Servers that a request may crash before it is refused."""

ALLOWED_RETRIES = 3
"""Retries that may reach servers after the third crash, over the whole fleet."""

CONTACT_SECONDS = 3.0
"""Time after the third crash from which retries are limited."""


async def _fleet(
    system: deployment.Deployment, path: str, mode: CrashMode = CrashMode.RESET
) -> None:
    for number in range(ENGINES):
        await system.add_crashing_server(f"c{number}", path, mode)
    for name in ("e1", "e2"):
        system.server_by_id[name].close()
        system.store.put("keyed.servers", name, None)
    await asyncio.sleep(1.5)


async def test_a_crashing_request_sent_to_each_node_in_turn_crashes_three_servers() -> None:
    async with deployment.deployed(NODES) as system:
        await _fleet(system, "/ask/bad")
        for number in range(3 * NODES):
            await system.call("/ask/bad", node=number % NODES, attempt=f"f{number}")
        crashes = system.crash_count_by_path["/ask/bad"]
    assert crashes <= MAX_CRASHES
