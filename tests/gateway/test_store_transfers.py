"""Removals of keys that a node learns from another node, which may have listed them as missing."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

import pytest

from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

pytestmark = pytest.mark.asyncio

APPLY_SECONDS = 2.0
"""Time in which a removal must be applied (`drain_ms`), counted from the end of the disruption."""

TELLER, LEARNER = 0, 1
"""The node that lists the store after a removal, and the one that has not read the removal."""


@contextlib.asynccontextmanager
async def _lagging_learner() -> AsyncIterator[deployment.Deployment]:
    """Run two nodes, of which one has just lost the store."""
    async with deployment.deployed(nodes=2) as system:
        await system.add_server("p3", "plain")
        system.store.put("keyed.op", "evacuate/z2", {})
        await _until(lambda: _usable(system, LEARNER, "plain") == {"p1", "p2", "p3"})
        await _until(lambda: _is_evacuated(system, LEARNER))
        system.faults[LEARNER].refusal_status = 503
        await asyncio.sleep(0.1)
        yield system


def _usable(system: deployment.Deployment, node: int, service: str) -> set[str]:
    view = system.nodes[node]._store_view  # noqa: SLF001
    now = asyncio.get_running_loop().time()
    return {server.instance.server_id for server in view.usable_servers(service, now)}


def _is_evacuated(system: deployment.Deployment, node: int) -> bool:
    return system.nodes[node]._store_view.is_evacuated("z2")  # noqa: SLF001


async def _until(condition: Callable[[], bool], seconds: float = APPLY_SECONDS) -> None:
    async with asyncio.timeout(seconds):
        for pause in itertools.repeat(0.02):
            if condition():
                return
            await asyncio.sleep(pause)


@pytest.mark.parametrize("is_refused", [False, True], ids=["store_is_back", "store_stays_away"])
@pytest.mark.parametrize("is_last", [False, True], ids=["newer_record_follows", "is_last_record"])
async def test_a_removal_is_not_lost_beside_a_node_that_restarts(
    is_refused: bool, is_last: bool
) -> None:
    """The restarted node holds no record of the removal, so it can't pass one on."""
    async with _lagging_learner() as system:
        system.store.put("keyed.servers", "p3", None)
        if not is_last:
            system.register("p1", "plain", slots=9)
        await system.restart_node(TELLER)
        if not is_refused:
            system.faults[LEARNER].clear()
        await _until(lambda: _usable(system, LEARNER, "plain") == {"p1", "p2"})


@pytest.mark.parametrize("is_refused", [False, True], ids=["store_is_back", "store_stays_away"])
@pytest.mark.parametrize("is_last", [False, True], ids=["newer_record_follows", "is_last_record"])
async def test_the_end_of_an_evacuation_is_not_lost_beside_a_node_that_restarts(
    is_refused: bool, is_last: bool
) -> None:
    """The same for the operators' topic: a zone would get no requests any more."""
    async with _lagging_learner() as system:
        system.store.put("keyed.op", "evacuate/z2", None)
        if not is_last:
            system.store.put("keyed.op", "config", deployment.configuration(version=2))
        await system.restart_node(TELLER)
        if not is_refused:
            system.faults[LEARNER].clear()
        await _until(lambda: not _is_evacuated(system, LEARNER))


async def test_a_removal_is_not_lost_beside_a_node_whose_history_expired() -> None:
    """A running node lists all keys too, when the store has deleted the records it reads next."""
    async with _lagging_learner() as system:
        system.faults[TELLER].refusal_status = 503
        await asyncio.sleep(0.1)
        system.store.put("keyed.servers", "p3", None)
        system.register("p1", "plain", slots=9)
        system.store.compact_topic("keyed.servers")
        system.faults[TELLER].clear()
        await _until(lambda: _usable(system, LEARNER, "plain") == {"p1", "p2"})


async def test_the_end_of_an_evacuation_is_not_lost_beside_a_node_whose_history_expired() -> None:
    """A node that lists all keys drops the evacuations that it holds for other nodes."""
    async with _lagging_learner() as system:
        system.faults[TELLER].refusal_status = 503
        await asyncio.sleep(0.1)
        system.store.put("keyed.op", "evacuate/z2", None)
        system.store.put("keyed.op", "config", deployment.configuration(version=2))
        system.store.compact_topic("keyed.op")
        system.faults[TELLER].clear()
        await _until(lambda: not _is_evacuated(system, TELLER))
        await _until(lambda: not _is_evacuated(system, LEARNER))


async def test_an_evacuation_that_ended_unread_stays_ended_for_nodes_that_restart() -> None:
    """The same for a node that takes all keys from the one that has listed them."""
    async with _lagging_learner() as system:
        system.faults[TELLER].refusal_status = 503
        await asyncio.sleep(0.1)
        system.store.put("keyed.op", "evacuate/z2", None)
        system.store.put("keyed.op", "config", deployment.configuration(version=2))
        system.store.compact_topic("keyed.op")
        system.faults[TELLER].clear()
        await _until(lambda: not _is_evacuated(system, TELLER))
        await system.restart_node(LEARNER)
        await asyncio.sleep(APPLY_SECONDS)
        assert not _is_evacuated(system, LEARNER)
