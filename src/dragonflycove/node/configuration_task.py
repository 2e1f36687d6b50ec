"""Follows the configuration stream and hands every new configuration on."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.configuration import (
    acceptance,
    freshness,
    records,
    restatement,
    verdicts,
)
from dragonflycove.peering import messages, snapshots
from dragonflycove.telemetry import logs
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.configuration import schema
    from dragonflycove.platform import log_client

POLL_SECONDS = 2.0
"""How long the log may hold a reading that finds nothing new, seconds."""

CALL_SECONDS = 5.0
"""Bound on one call to the log, seconds."""

PAGE_RECORDS = 200
"""Most records read at once."""

RETRY_SECONDS = 0.5
"""First pause before the log is tried again, seconds; it doubles."""

MAX_RETRY_SECONDS = 5.0
"""Longest pause before the log is tried again, seconds."""

RESTATEMENT_CHECK_SECONDS = 30.0
"""Time between checks whether a restatement is due, seconds."""

PEER_GRACE_SECONDS = 1.0
"""Time in which the log may show a version that a peer has, before the peer is asked, seconds."""

PEER_CHECK_SECONDS = 0.5
"""Time between checks whether a peer is to be asked, seconds."""

POSITION_SECONDS = 20.0
"""Age of what a peer said of its position after which it is not asked, seconds."""

REQUEST_SECONDS = 3.0
"""Time after which an unanswered request for a snapshot is given up, seconds."""

INLINE_CHARACTERS = 50_000
"""Longest text that is checked on the loop's own thread, characters."""


class ConfigurationTaskSettings(NamedTuple):
    """Settings of the task."""

    host: str = ""
    """Name of this host."""

    retention_seconds: float = 86_400.0
    """How long the log keeps a record, seconds."""

    freshness_bounds: freshness.FreshnessBounds = freshness.FreshnessBounds(6.0, 4.0, 0.5)
    """Bounds on silence."""


DEFAULT_SETTINGS = ConfigurationTaskSettings()
"""Settings of a node without peers."""


class PeerPosition(NamedTuple):
    """How far a peer has applied the configuration stream."""

    version: int
    """Version in force there."""

    next_offset: int
    """Offset of the first record that it has not applied."""

    seen_at: float
    """When it said so, seconds."""


class ConfigurationTask:
    """Owns the acceptance state; nobody else changes it."""

    def __init__(
        self,
        log: log_client.LogClient,
        settings: ConfigurationTaskSettings = DEFAULT_SETTINGS,
        rng: random.Random | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create the task.

        Args:
            log: The log service.
            settings: Settings.
            rng: Where identifiers come from.
            wall_clock: Unix time, to compare with the log's time stamps.
        """
        self._log = log
        self._settings = settings
        self._rng = rng or random.Random()
        self._wall_clock = wall_clock
        self._state = acceptance.begin()
        self._policy = restatement.RestatementPolicy(settings.retention_seconds)
        self._restatement = restatement.RestatementView(self._policy)
        self._freshness: freshness.FreshnessView | None = None
        self._changing = asyncio.Lock()
        self._subscribers: list[Callable[[schema.Configuration], None]] = []
        self._hosts: tuple[str, ...] = ()
        self._position_by_host: dict[str, PeerPosition] = {}
        self._assembler: snapshots.SnapshotAssembler | None = None
        self._asked_at = float("-inf")
        self._ready = asyncio.Event()
        self.send: Callable[[str, object], None] = _send_nowhere
        """Sends a message to a host; set by whoever owns the peer connections."""

    @property
    def state(self) -> acceptance.AcceptanceState:
        """The acceptance state."""
        return self._state

    @property
    def configuration(self) -> schema.Configuration:
        """The configuration in force here."""
        return self._state.configuration

    @property
    def is_ready(self) -> bool:
        """Whether the log or a peer has told this node which version is in force."""
        return self._ready.is_set()

    def evaluate_freshness(self) -> freshness.Freshness:
        """Tell how fresh the configuration is."""
        return self._view().evaluate(_now())

    def subscribe(self, subscriber: Callable[[schema.Configuration], None]) -> None:
        """Hand every new configuration to a callable, the one in force at once.

        Args:
            subscriber: Called on the loop; it must not block.
        """
        self._subscribers.append(subscriber)
        if self.configuration.version:
            subscriber(self.configuration)

    async def wait_ready(self) -> None:
        """Wait until the log or a peer has told which version is in force."""
        await self._ready.wait()

    async def run(self) -> None:
        """Follow the log and the peers until cancelled."""
        self._view()
        await asyncio.gather(self._follow_log(), self._follow_peers(), self._keep_restated())

    def header(self, sender: str) -> messages.Header:
        """Return what this node's frames tell.

        Args:
            sender: This process, `host/incarnation`.
        """
        age = self._view().log_age_seconds(_now())
        known_age = age if age != float("inf") else -1.0
        snapshot = self._state.snapshot
        return messages.Header(sender, snapshot.version, snapshot.next_offset, known_age)

    def on_hosts(self, hosts: tuple[str, ...]) -> None:
        """Take note of the host list.

        Args:
            hosts: Names of the live hosts, this one included.
        """
        self._hosts = hosts

    def on_reachability(self, expects_peers: bool, reachable_fraction: float) -> None:
        """Take note of how many of the other hosts answer.

        Args:
            expects_peers: Whether the host list names other hosts.
            reachable_fraction: Estimated part of them that can be reached, 0 to 1.
        """
        self._view().on_reachability(expects_peers, reachable_fraction)

    def on_peer_header(self, header: messages.Header) -> None:
        """Take note of what a peer's frame tells.

        Args:
            header: The header.
        """
        host = identifiers.NodeIdentity.parse(header.sender).host
        now = _now()
        age = header.log_age_seconds if header.log_age_seconds >= 0 else float("inf")
        if header.next_offset > self._state.snapshot.next_offset:
            # A reading of the log elsewhere tells nothing of records that are not here yet.
            age = float("inf")
        self._view().on_peer_frame(age, now)
        self._position_by_host[host] = PeerPosition(header.version, header.next_offset, now)

    def on_snapshot_requested(self, host: str, message: snapshots.SnapshotRequested) -> None:
        """Answer a peer that asks for the snapshot.

        Args:
            host: Name of the peer's host.
            message: Its request.
        """
        for part in snapshots.split(self._state.snapshot, message.request_id):
            self.send(host, part)

    async def on_snapshot_part(self, host: str, part: snapshots.SnapshotPart) -> None:
        """Take a part of a snapshot that was asked for.

        Args:
            host: Name of the peer's host.
            part: The part.
        """
        if self._assembler is None or part.request_id != self._assembler.request_id:
            return
        added = self._assembler.add(part)
        if isinstance(added, result.Err):
            logs.warning("snapshot_refused", host=host, reason=added.err_value)
            self._assembler = None
            return
        if added.ok_value is None:
            return
        self._assembler = None
        await self._adopt(host, added.ok_value)

    async def _adopt(self, host: str, snapshot: records.Snapshot) -> None:
        async with self._changing:
            size = len(snapshot.text)
            applied = await _offload(size, acceptance.adopt, self._state, snapshot)
            self._install(applied)
        logs.event("snapshot_taken", host=host, version=self.configuration.version)
        if self.configuration.version:
            self._ready.set()

    async def _follow_log(self) -> None:
        pause = RETRY_SECONDS
        while True:
            page = await self._log.read(
                records.STREAM, self._state.next_offset, PAGE_RECORDS, POLL_SECONDS, CALL_SECONDS
            )
            if isinstance(page, result.Ok):
                pause = RETRY_SECONDS
                await self._take_page(page.ok_value)
                continue
            logs.warning("log_read_failed", reason=page.err_value.reason)
            await asyncio.sleep(pause * (0.5 + self._rng.random()))
            pause = min(2 * pause, MAX_RETRY_SECONDS)

    async def _take_page(self, page: log_client.ReadPage) -> None:
        async with self._changing:
            skipped = acceptance.skip_expired(self._state, page.first_retained)
            self._state = skipped
            for entry in page.records:
                record = records.from_value(entry.value)
                self._restatement.on_record(entry.offset, entry.appended_at, record)
                size = len(record.text) if isinstance(record, records.TextProposed) else 0
                applied = await _offload(size, acceptance.apply, self._state, entry.offset, record)
                self._install(applied)
        if len(page.records) < PAGE_RECORDS and self._state.anchored:
            self._view().on_log_read(_now())
            self._ready.set()

    def _install(self, applied: acceptance.Applied) -> None:
        before = self.configuration
        self._state = applied.state
        if isinstance(applied.verdict, verdicts.Accepted | verdicts.Rejected):
            outcome = applied.verdict.outcome
            logs.event("operation_decided", **outcome._asdict())
        if self.configuration.version == before.version:
            return
        for subscriber in self._subscribers:
            subscriber(self.configuration)

    async def _follow_peers(self) -> None:
        """Ask a peer that is ahead, if the log does not show its version soon."""
        behind_since: float | None = None
        while True:
            await asyncio.sleep(PEER_CHECK_SECONDS)
            ahead = self._find_host_ahead()
            if ahead is None:
                behind_since = None
                continue
            now = _now()
            behind_since = now if behind_since is None else behind_since
            if now - behind_since >= PEER_GRACE_SECONDS and now - self._asked_at > REQUEST_SECONDS:
                self._ask(ahead, now)

    def _find_host_ahead(self) -> str | None:
        ours = self._state.snapshot.next_offset
        recent = _now() - POSITION_SECONDS
        offset_by_host = {
            host: position.next_offset
            for host, position in self._position_by_host.items()
            if position.next_offset > ours and position.seen_at > recent
        }
        furthest = max(offset_by_host.values(), default=0)
        ahead = sorted(host for host, offset in offset_by_host.items() if offset == furthest)
        return self._rng.choice(ahead) if ahead else None

    def _ask(self, host: str, now: float) -> None:
        request_id = identifiers.new_id(self._rng, "snapshot")
        self._assembler = snapshots.SnapshotAssembler(request_id)
        self._asked_at = now
        self.send(host, snapshots.SnapshotRequested(request_id))

    async def _keep_restated(self) -> None:
        while True:
            await asyncio.sleep(RESTATEMENT_CHECK_SECONDS)
            if self._restatement.is_due(
                self._state, self._settings.host, self._hosts, self._wall_clock()
            ):
                await self._restate()

    async def _restate(self) -> None:
        operation_id = identifiers.new_id(self._rng, "restatement")
        value = records.to_value(restatement.restate(self._state, operation_id))
        appended = await self._log.append(records.STREAM, [value], CALL_SECONDS)
        taken = isinstance(appended, result.Ok)
        logs.event("configuration_restated", operation_id=operation_id, taken=taken)

    def _view(self) -> freshness.FreshnessView:
        if self._freshness is None:
            bounds = self._settings.freshness_bounds
            self._freshness = freshness.FreshnessView(bounds, _now())
        return self._freshness


async def _offload(
    size: int, function: Callable[..., acceptance.Applied], *arguments: object
) -> acceptance.Applied:
    """Call a function that checks a text, on another thread if the text is long."""
    if size <= INLINE_CHARACTERS:
        return function(*arguments)
    return await asyncio.to_thread(function, *arguments)


def _send_nowhere(host: str, message: object) -> None:
    """Drop a message, while there are no peer connections."""


def _now() -> float:
    return asyncio.get_running_loop().time()
