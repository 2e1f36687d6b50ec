"""Tests of following the configuration stream and of its restatement, on the paused clock."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import fake_log
import pytest

from dragonflycove.configuration import freshness, records
from dragonflycove.node import configuration_task
from dragonflycove.peering import messages

if TYPE_CHECKING:
    from collections.abc import Sequence

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

RETENTION_SECONDS = 1000.0

HOSTS = ("a", "b", "c")

TEXT = '{"zones": ["cayambe"], "organisations": {"herders": {}}}'


class ExpiringLog(fake_log.FakeLog):
    """A log that keeps its records for a while."""

    async def keep_time(self) -> None:
        """Let old records expire."""
        while True:
            self.unix_time += 10.0
            oldest = self.unix_time - RETENTION_SECONDS
            while (
                self.first_retained < len(self.records)
                and self.records[self.first_retained].appended_at < oldest
            ):
                self.first_retained += 1
            await asyncio.sleep(10.0)


def make_node(host: str, log: ExpiringLog) -> configuration_task.ConfigurationTask:
    """Return the task of a node that sees three hosts."""
    settings = configuration_task.ConfigurationTaskSettings(host, RETENTION_SECONDS)
    node = configuration_task.ConfigurationTask(
        log, settings, random.Random(host), lambda: log.unix_time
    )
    node.on_hosts(HOSTS)
    return node


async def run_for(
    log: ExpiringLog, nodes: Sequence[configuration_task.ConfigurationTask], seconds: float
) -> None:
    """Run nodes for some time, then stop them."""
    running = [asyncio.create_task(node.run()) for node in nodes]
    running.append(asyncio.create_task(log.keep_time()))
    await asyncio.sleep(seconds)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


def list_restatements(log: ExpiringLog) -> list[records.Restated]:
    """Return the restatements ever taken."""
    return [record for record in log.read_back() if isinstance(record, records.Restated)]


@pytest.mark.parametrize("alive", [("a", "b", "c"), ("a",), ("b",), ("c",)])
async def test_restated_before_it_expires(alive: tuple[str, ...]) -> None:
    """Whoever is alive, a node that starts after the first record expired is at the same version."""
    log = ExpiringLog()
    log.put(records.TextProposed("op-0", 0, "ana", TEXT))
    log.put(records.ZoneChanged("op-1", 1, "ana", "cayambe", True))
    nodes = [make_node(host, log) for host in alive]
    await run_for(log, nodes, 3 * RETENTION_SECONDS)
    assert log.first_retained > 2
    fresh = make_node("a", log)
    await run_for(log, [fresh], 30.0)
    assert fresh.is_ready
    assert fresh.configuration == nodes[0].configuration
    assert fresh.configuration.version == 2
    assert fresh.configuration.zones_out == {"cayambe"}
    # A quarter of the retention each, and no flood by the three.
    assert 6 <= len(list_restatements(log)) <= 13


async def test_repeat_after_restatement_is_dropped() -> None:
    """A node that started from a restatement drops the repeat of an operation before it."""
    log = ExpiringLog()
    out = records.ZoneChanged("op-out", 1, "ana", "cayambe", True)
    back = records.ZoneChanged("op-back", 2, "ana", "cayambe", False)
    log.put(records.TextProposed("op-0", 0, "ana", TEXT), out, back)
    await run_for(log, [make_node("a", log)], 2 * RETENTION_SECONDS)
    fresh = make_node("b", log)
    await run_for(log, [fresh], 30.0)
    log.put(out)
    await run_for(log, [fresh], 30.0)
    assert fresh.configuration.version == 3
    assert not fresh.configuration.zones_out


async def test_restatement_is_tried_again_after_an_outage() -> None:
    """A log that is down when the restatement is due gets it as soon as it is back."""
    log = ExpiringLog()
    log.put(records.TextProposed("op-0", 0, "ana", TEXT))
    node = make_node("a", log)
    await run_for(log, [node], 60.0)
    log.down = True
    await run_for(log, [node], 0.6 * RETENTION_SECONDS)
    assert not list_restatements(log)
    log.down = False
    await run_for(log, [node], 120.0)
    assert list_restatements(log)


async def test_an_answer_that_waited_while_the_process_was_paused_is_no_news() -> None:
    """A reading counts from when it was asked for, not from when its answer was looked at."""
    log = ExpiringLog()
    node = make_node("a", log)
    node.on_reachability(True, 1.0)
    reading = log.read

    async def read_late(*arguments: object) -> object:
        page = await reading(*arguments)
        await asyncio.sleep(20.0)
        return page

    log.read = read_late
    await run_for(log, [node], 25.0)
    assert node.evaluate_freshness() is freshness.Freshness.STALE


async def test_subscribers_get_each_version_in_turn() -> None:
    """A late subscriber gets the version in force at once, and each later one in turn."""
    log = ExpiringLog()
    log.put(records.TextProposed("op-0", 0, "ana", TEXT))
    node = make_node("a", log)
    await run_for(log, [node], 10.0)
    seen: list[int] = []
    node.subscribe(lambda configuration: seen.append(configuration.version))
    log.put(records.TextProposed("op-1", 1, "ana", TEXT + " "))
    log.put(records.TextProposed("op-lost", 1, "sisa", TEXT))
    await run_for(log, [node], 10.0)
    log.put(records.TextProposed("op-2", 2, "ana", TEXT))
    await run_for(log, [node], 10.0)
    assert seen == [1, 2, 3]


async def test_of_versions_that_come_at_once_only_the_last_is_handed_on() -> None:
    """A version that a later record has replaced already must not start any work."""
    log = ExpiringLog()
    log.put(records.TextProposed("op-0", 0, "ana", TEXT))
    log.put(records.TextProposed("op-1", 1, "ana", TEXT + " "))
    log.put(records.TextProposed("op-2", 2, "ana", TEXT))
    node = make_node("a", log)
    seen: list[int] = []
    node.subscribe(lambda configuration: seen.append(configuration.version))
    await run_for(log, [node], 10.0)
    assert seen == [3]


@pytest.mark.parametrize(
    ("frames", "expects_peers", "reachable", "expected"),
    [
        (True, True, 1.0, freshness.Freshness.LOG_SILENT),
        (True, True, 0.4, freshness.Freshness.STALE),
        (False, True, 1.0, freshness.Freshness.STALE),
        (False, False, 1.0, freshness.Freshness.LOG_SILENT),
    ],
)
async def test_freshness_with_the_log_down(
    frames: bool, expects_peers: bool, reachable: float, expected: freshness.Freshness
) -> None:
    """With the log down, a node that hears most others goes on; one that may be cut off is stale."""
    log = ExpiringLog()
    node = make_node("a", log)
    await run_for(log, [node], 5.0)
    assert node.evaluate_freshness() is freshness.Freshness.FRESH
    log.down = True
    for _ in range(20):
        await asyncio.sleep(1.0)
        node.on_reachability(expects_peers, reachable)
        if frames:
            header = messages.Header("b/start", 0, 0, 30.0)
            node.on_peer_answer(header, asyncio.get_running_loop().time())
    assert node.evaluate_freshness() is expected


@pytest.mark.parametrize(
    ("next_offset", "waited", "expected"),
    [
        (1, 0.5, freshness.Freshness.FRESH),
        (2, 0.5, freshness.Freshness.STALE),
        (1, 8.0, freshness.Freshness.STALE),
    ],
)
async def test_what_a_peers_reading_counts(
    next_offset: int, waited: float, expected: freshness.Freshness
) -> None:
    """A peer that read the log lately makes fresh; one that is ahead, or asked long ago, does not."""
    log = ExpiringLog()
    log.put(records.TextProposed("op-0", 0, "ana", TEXT))
    node = make_node("a", log)
    await run_for(log, [node], 5.0)
    await asyncio.sleep(20.0)
    node.on_reachability(True, 1.0)
    asked_at = asyncio.get_running_loop().time() - waited
    header = messages.Header("b/start", 1, next_offset, 1.0)
    node.on_peer_header(header)
    node.on_peer_answer(header, asked_at)
    assert node.evaluate_freshness() is expected
