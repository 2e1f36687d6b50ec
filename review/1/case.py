"""Servers are replaced one after the other while the nodes are restarted in turn."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import world as w  # noqa: E402

REPLACE_SECONDS = 0.85
"""Time from one replacement of a server to the next."""

OVERLAP_SECONDS = 0.6
"""Time from the new server's entry to the removal of the old one's."""

UNANNOUNCED_ONE_IN = 3
"""One server in so many never reports `draining`; the others do, and are removed as they exit."""

SERVES_SECONDS = (3.0, 8.0)
"""Times for which an old server goes on serving, drawn evenly; `drain_ms` is 2 s."""

RESTART_SECONDS = 1.0
"""Time from one node's SIGTERM to the next node's."""

RUN_SECONDS = 80.0

HELD, BROKEN, NOT_RUN = 0, 11, 2
"""Exit codes; an exception ends Python with 1, so `run.sh` turns 11 into 1 and all else into 2."""


class Late:
    """A request that reached a server after the bound."""

    def __init__(self, at: float, attempt: str, node: w.Node, server: w.Server) -> None:
        self.at, self.attempt, self.node, self.server = at, attempt, node, server


class Replacements:
    """Replaces the plain servers one after the other."""

    def __init__(self, world: w.World) -> None:
        self._world = world
        self._used = len(world.servers)
        self._count = 0
        self.removed_at: dict[str, float] = {}
        self.unannounced = 0
        self.late: list[Late] = []

    async def run(self, ends_at: float) -> None:
        while w.now() < ends_at:
            asyncio.ensure_future(self._replace())
            await asyncio.sleep(REPLACE_SECONDS)

    async def _replace(self) -> None:
        world = self._world
        self._used += 1
        old = next(one for one in world.plain_servers() if one.id not in self.removed_at)
        self.removed_at[old.id] = float("inf")
        new = w.Server(
            f"i-{random.getrandbits(40):010x}",
            w.PLAIN,
            old.zone,
            f"127.{world.block}.3.{self._used}",
            world.record,
        )
        await new.listen()
        world.servers[new.id] = new
        world.begin_heartbeats(new)
        await asyncio.sleep(OVERLAP_SECONDS)
        self._count += 1
        is_unannounced = self._count % UNANNOUNCED_ONE_IN == 0
        self.unannounced += is_unannounced
        if is_unannounced:
            world.end_heartbeats(old)
        world.states[old.id] = "draining"
        entry = None if is_unannounced else old.entry("draining")
        acknowledged_at = world.store.put("keyed.servers", old.id, entry)
        assert acknowledged_at is not None
        self.removed_at[old.id] = acknowledged_at
        change = "removed" if is_unannounced else "draining"
        world.record(f"acknowledged: the entry of server {old.id} is {change}")
        old.on_arrival = lambda at, attempt, ip: self._on_arrival(old, at, attempt, ip)
        await asyncio.sleep(random.choice(SERVES_SECONDS))
        if not is_unannounced:
            world.end_heartbeats(old)
            world.store.put("keyed.servers", old.id, None)
        old.end()
        world.record(f"server {old.id} exits")

    def _on_arrival(self, server: w.Server, at: float, attempt: str, ip: str) -> None:
        """Note a request that reaches a leaving server from a node in touch after the bound."""
        node = next(one for one in self._world.nodes if one.ip == ip)
        is_in_touch = (
            not node.is_stopping and at - node.started_at > w.BOUNDS["contact_ms"] / 1000 + 0.5
        )
        if at > self.removed_at[server.id] + w.BOUNDS["drain_ms"] / 1000 and is_in_touch:
            self.late.append(Late(at, attempt, node, server))


async def restart_in_turn(world: w.World, ends_at: float) -> None:
    while w.now() < ends_at:
        restarts = []
        for node in world.nodes:
            world.record(f"SIGTERM to {node.name}")
            restarts.append(asyncio.ensure_future(node.restart()))
            await asyncio.sleep(RESTART_SECONDS)
        await asyncio.gather(*restarts)
        await asyncio.sleep(3.0)


async def run(world: w.World) -> int:
    if not await world.start():
        world.record("the nodes did not become ready")
        return NOT_RUN
    traffic = asyncio.ensure_future(world.clients.run(per_second=30))
    await asyncio.sleep(4)
    ends_at = w.now() + RUN_SECONDS
    replacements = Replacements(world)
    tasks = [asyncio.ensure_future(replacements.run(ends_at))]
    if os.environ.get("TROUBLE") != "0":
        tasks.append(asyncio.ensure_future(restart_in_turn(world, ends_at - 10)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(max(SERVES_SECONDS))
    await world.clients.stop()
    await traffic
    return judge(world, replacements)


def judge(world: w.World, replacements: Replacements) -> int:
    clients = world.clients
    world.record(f"answers by status: {w.count(a.status for a in clients.answer_by_id.values())}")
    served = sum(answer.status == 200 for answer in clients.answer_by_id.values())
    if served < 0.8 * len(clients.sent_at):
        world.record("fewer than eight tenths were served; the case says nothing")
        return NOT_RUN
    late = replacements.late
    for one in late[:8]:
        removed_at = replacements.removed_at[one.server.id]
        world.record(
            f"DRAIN: {one.attempt}, sent {clients.sent_at[one.attempt] - removed_at:.2f} s after "
            f"the acknowledgement to {one.node.name}, reaches server {one.server.id} "
            f"{one.at - removed_at:.2f} s after it"
        )
    world.record(
        f"{len(late)} requests reached {len({one.server.id for one in late})} of "
        f"{len(replacements.removed_at)} leaving servers ({replacements.unannounced} unannounced) "
        "later than drain_ms, from nodes in touch; bound 0"
    )
    return BROKEN if late else HELD


def main() -> int:
    w.end_on_signal()
    world = w.World(pathlib.Path(__file__).with_name("record.txt"), plain=6)
    try:
        return asyncio.run(run(world))
    finally:
        world.stop()


if __name__ == "__main__":
    sys.exit(main())
