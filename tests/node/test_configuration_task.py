"""Tests of the configuration task (applying the stream, restating, freshness), simulated time."""

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
    """Fake log that drops records after `RETENTION_SECONDS`."""

    async def keep_time(self) -> None:
        """Advance Unix time and drop expired records until cancelled."""
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
    """Return the configuration task of a node whose host list holds `HOSTS`."""
    settings = configuration_task.ConfigurationTaskSettings(host, RETENTION_SECONDS)
    node = configuration_task.ConfigurationTask(
        log, settings, random.Random(host), lambda: log.unix_time
    )
    node.on_hosts(HOSTS)
    return node


async def run_for(
    log: ExpiringLog, nodes: Sequence[configuration_task.ConfigurationTask], seconds: float
) -> None:
    """Run the nodes' tasks and the log's clock for some time, then cancel them."""
    running = [asyncio.create_task(node.run()) for node in nodes]
    running.append(asyncio.create_task(log.keep_time()))
    await asyncio.sleep(seconds)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


def list_restatements(log: ExpiringLog) -> list[records.Restated]:
    """Return all restatements that were appended to the log, including expired ones."""
    return [record for record in log.all_records() if isinstance(record, records.Restated)]


@pytest.mark.parametrize("alive", [("a", "b", "c"), ("a",), ("b",), ("c",)])
async def test_configuration_is_restated_before_its_records_expire(alive: tuple[str, ...]) -> None:
    """A node that starts after the original records expired gets the same configuration.

    This must hold whichever of the hosts are alive.
    """
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
    # One restatement per quarter of the retention, not one from each of the three nodes.
    assert 6 <= len(list_restatements(log)) <= 13


async def test_duplicate_of_an_operation_before_the_restatement_is_dropped() -> None:
    """A node that started from a restatement ignores a duplicate of an earlier operation."""
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


async def test_restatement_is_retried_after_a_log_outage() -> None:
    """If the log is down when a restatement is due, it is appended after the log recovers."""
    log = ExpiringLog()
    log.put(records.TextProposed("op-0", 0, "ana", TEXT))
    node = make_node("a", log)
    await run_for(log, [node], 60.0)
    log.is_down = True
    await run_for(log, [node], 0.6 * RETENTION_SECONDS)
    assert not list_restatements(log)
    log.is_down = False
    await run_for(log, [node], 120.0)
    assert list_restatements(log)


async def test_response_that_was_processed_late_does_not_make_the_configuration_fresh() -> None:
    """A read counts from the time of its request, not from when its response is processed.

    A process that was paused may process a response long after the log sent it.
    """
    log = ExpiringLog()
    node = make_node("a", log)
    node.on_reachability(True, 1.0)
    original_read = log.read

    async def read_late(*arguments: object) -> object:
        page = await original_read(*arguments)
        await asyncio.sleep(20.0)
        return page

    log.read = read_late
    await run_for(log, [node], 25.0)
    assert node.evaluate_freshness() is freshness.Freshness.STALE


async def test_subscriber_gets_the_current_version_and_each_later_one_in_order() -> None:
    """A late subscriber is called at once with the version in force, then with each new one."""
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


async def test_only_the_last_of_several_versions_in_a_page_is_passed_to_subscribers() -> None:
    """A version that a later record of the same page replaces must not reach subscribers."""
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
async def test_freshness_if_the_log_is_down(
    frames: bool, expects_peers: bool, reachable: float, expected: freshness.Freshness
) -> None:
    """While the log is down, a node is stale only if it may be partitioned from its peers."""
    log = ExpiringLog()
    node = make_node("a", log)
    await run_for(log, [node], 5.0)
    assert node.evaluate_freshness() is freshness.Freshness.FRESH
    log.is_down = True
    for _ in range(20):
        await asyncio.sleep(1.0)
        node.on_reachability(expects_peers, reachable)
        if frames:
            header = messages.Header("b/start", 0, 0, 30.0)
            node.on_peer_answer(header, asyncio.get_running_loop().time())
    assert node.evaluate_freshness() is expected


@pytest.mark.parametrize(
    ("next_offset", "probe_age_seconds", "expected"),
    [
        (1, 0.5, freshness.Freshness.FRESH),
        (2, 0.5, freshness.Freshness.STALE),
        (1, 8.0, freshness.Freshness.STALE),
    ],
)
async def test_freshness_by_a_peers_read_of_the_log(
    next_offset: int, probe_age_seconds: float, expected: freshness.Freshness
) -> None:
    """A peer's recent read of the log keeps the configuration fresh.

    It does not if the peer is ahead of this node or if it was probed too long ago.
    """
    log = ExpiringLog()
    log.put(records.TextProposed("op-0", 0, "ana", TEXT))
    node = make_node("a", log)
    await run_for(log, [node], 5.0)
    await asyncio.sleep(20.0)
    node.on_reachability(True, 1.0)
    asked_at = asyncio.get_running_loop().time() - probe_age_seconds
    header = messages.Header("b/start", 1, next_offset, 1.0)
    node.on_peer_header(header)
    node.on_peer_answer(header, asked_at)
    assert node.evaluate_freshness() is expected
