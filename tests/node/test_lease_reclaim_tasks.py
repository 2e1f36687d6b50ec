"""Tests of the lease and reclaim tasks with simulated time and an in-memory engine."""

from __future__ import annotations

import asyncio
import random

import pytest
import result
from test_claim_task import MemoryLog

from dragonflycove.backends import engine_values
from dragonflycove.configuration import schema
from dragonflycove.leases import lease_table
from dragonflycove.node import lease_task, reclaim_task
from dragonflycove.reclaim import reclaimer
from dragonflycove.values import identifiers

HOSTS = frozenset({"quito-1", "quito-2"})
RULES = lease_table.LeaseTimings(15.0, 4.0, 1.0, 3.0, 20.0, 2.0)


def make_configuration(checks_fencing=True):
    """Return a configuration with one model service on one engine."""
    server = schema.Server(
        "e-1", "answers", "z", "127.0.0.1:1", ("m",), 9, 1.0, 2, 1, 1, checks_fencing, False
    )
    service = schema.Service("answers", schema.ServiceKind.MODEL, (), ("m",), ())
    return schema.EMPTY._replace(
        version=1, services_by_name={"answers": service}, servers_by_id={"e-1": server}
    )


class MemoryEngine:
    """Engine client of one in-memory engine that records its orders and has streams."""

    def __init__(self):
        self.state = engine_values.EngineState(0, ("old",), (), {}, "")
        self.orders = []
        self.streams_by_attempt = {}

    async def get_state(self, address, timeout_seconds):
        return result.Ok(self.state)

    async def load(self, address, timeout_seconds):
        return result.Ok(engine_values.EngineLoad(0.0, "s", 0, 0, {}, {}, 0, 9, 0, ()))

    async def put_state(self, address, state, timeout_seconds):
        self.orders.append((asyncio.get_running_loop().time(), state))
        self.state = state
        return result.Ok(None)

    async def streams(self, address, timeout_seconds):
        entries = [
            engine_values.StreamEntry(attempt, owner, 1, "decode")
            for attempt, owner in self.streams_by_attempt.items()
        ]
        return result.Ok(engine_values.EngineStreams("s", tuple(entries), (), ()))

    async def cancel(self, address, attempt, timeout_seconds):
        self.streams_by_attempt.pop(attempt, None)
        return result.Ok(None)


class StampedLog(MemoryLog):
    """In-memory log whose records carry the loop time of their append, seconds."""

    def __init__(self):
        super().__init__()
        self.times = []

    async def append(self, stream, records, timeout_seconds):
        response = await super().append(stream, records, timeout_seconds)
        now = asyncio.get_running_loop().time()
        self.times += [now] * (len(self.records) - len(self.times))
        return response

    async def read(self, stream, from_offset, limit, wait_seconds, timeout_seconds):
        response = await super().read(stream, from_offset, limit, wait_seconds, timeout_seconds)
        return response.map(
            lambda page: page._replace(
                records=tuple(r._replace(appended_at=self.times[r.offset]) for r in page.records)
            )
        )


def start_leases(name, log, engine, configuration):
    """Start a lease task and return the asyncio task that runs it."""
    identity = identifiers.NodeIdentity(name, "1")
    rng = random.Random(name)
    task = lease_task.LeaseTask(
        log, engine, identity, rng, lambda: configuration, lambda: {}, RULES, 1.0
    )
    task.on_hosts(HOSTS)
    return asyncio.create_task(task.run())


@pytest.mark.asyncio
@pytest.mark.looptime
@pytest.mark.parametrize(("checks_fencing", "earliest"), [(True, 15.0), (False, 35.0)])
async def test_only_the_lease_holder_sends_orders_and_only_after_the_margin(
    checks_fencing, earliest
):
    log, engine = StampedLog(), MemoryEngine()
    configuration = make_configuration(checks_fencing)
    running = [start_leases(name, log, engine, configuration) for name in sorted(HOSTS)]
    await asyncio.sleep(60.0)
    assert [state.models for _, state in engine.orders] == [("m",)]
    assert engine.orders[0][0] >= earliest
    engine.state = engine.state._replace(models=("wrong",))
    await asyncio.sleep(30.0)
    assert engine.state.models == ("m",)
    for task in running:
        task.cancel()


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_streams_of_dead_owners_are_reclaimed_and_those_of_live_owners_are_not():
    engine = MemoryEngine()
    engine.streams_by_attempt = {"a-1": "quito-2/1", "a-2": "quito-1/1", "a-3": "quito-1/1"}
    identity = identifiers.NodeIdentity("quito-1", "1")
    task = reclaim_task.ReclaimTask(
        engine,
        identity,
        make_configuration,
        lambda: frozenset({"a-2"}),
        frozenset,
        reclaimer.ReclaimRules.from_config(3.0, 5.0),
    )
    running = asyncio.create_task(task.run())
    for _ in range(20):
        task.on_hosts(HOSTS)
        task.on_peer_frame(identifiers.NodeIdentity("quito-2", "1"))
        await asyncio.sleep(1.0)
    assert set(engine.streams_by_attempt) == {"a-1", "a-2"}
    for _ in range(9):
        task.on_hosts(frozenset({"quito-1"}))
        await asyncio.sleep(1.0)
    assert set(engine.streams_by_attempt) == {"a-2"}
    assert task.reclaimed_count == 2
    running.cancel()
