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
    record_effects,
    records,
    restatement,
)
from dragonflycove.peering import messages
from dragonflycove.telemetry import logs
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.configuration import schema
    from dragonflycove.infrastructure import log_client

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

INLINE_CHARACTERS = 50_000
"""Longest text that is checked on the loop's own thread, characters."""


class ConfigurationTaskSettings(NamedTuple):
    """Settings of the task."""

    host: str = ""
    """Name of this host."""

    retention_seconds: float = 86_400.0
    """How long the log keeps a record, seconds."""

    freshness_bounds: freshness.FreshnessBounds = freshness.DEFAULT_BOUNDS
    """Bounds on silence."""


DEFAULT_SETTINGS = ConfigurationTaskSettings()
"""Settings of a node without peers."""


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
        self._state = acceptance.initial_state()
        self._policy = restatement.RestatementPolicy(settings.retention_seconds)
        self._restatement = restatement.RestatementView(self._policy)
        self._freshness: freshness.FreshnessView | None = None
        self._changing = asyncio.Lock()
        self._subscribers: list[Callable[[schema.Configuration], None]] = []
        self._hosts: tuple[str, ...] = ()
        self._ready = asyncio.Event()

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
        return self._view().evaluate(_now(), self._state.snapshot.next_offset)

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
        """Follow the log until cancelled."""
        self._view()
        await asyncio.gather(self._follow_log(), self._keep_restated())

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
            header: Its header.
        """
        self._view().on_peer_position(header.next_offset)

    def on_peer_answer(self, header: messages.Header, asked_at: float) -> None:
        """Take note of a peer's answer to a question of this node.

        Args:
            header: Header of the answer.
            asked_at: When the question was sent, seconds.
        """
        age = header.log_age_seconds if header.log_age_seconds >= 0 else float("inf")
        if header.next_offset > self._state.snapshot.next_offset:
            # A reading of the log elsewhere tells nothing of records that are not here yet.
            age = float("inf")
        self._view().on_peer_response(age, asked_at)

    async def adopt(self, snapshot: records.Snapshot) -> None:
        """Take over a peer's snapshot, if it is newer.

        Args:
            snapshot: The snapshot.
        """
        async with self._changing:
            size = len(snapshot.text)
            before = self.configuration
            applied = await _offload(size, acceptance.install_snapshot, self._state, snapshot)
            self._install(applied)
            self._hand_on(before)
        logs.event("snapshot_taken", version=self.configuration.version)
        if self.configuration.version:
            self._ready.set()

    async def _follow_log(self) -> None:
        pause = RETRY_SECONDS
        while True:
            asked_at = _now()
            page = await self._log.read(
                records.STREAM, self._state.next_offset, PAGE_RECORDS, POLL_SECONDS, CALL_SECONDS
            )
            if isinstance(page, result.Ok):
                pause = RETRY_SECONDS
                await self._take_page(page.ok_value, asked_at)
                continue
            logs.warning("log_read_failed", reason=page.err_value.reason)
            await asyncio.sleep(pause * (0.5 + self._rng.random()))
            pause = min(2 * pause, MAX_RETRY_SECONDS)

    async def _take_page(self, page: log_client.ReadPage, asked_at: float) -> None:
        async with self._changing:
            before = self.configuration
            skipped = acceptance.skip_expired(self._state, page.first_retained)
            self._state = skipped
            for entry in page.records:
                record = records.from_value(entry.value)
                self._restatement.on_record(entry.offset, entry.appended_at, record)
                size = len(record.text) if isinstance(record, records.TextProposed) else 0
                applied = await _offload(size, acceptance.apply, self._state, entry.offset, record)
                self._install(applied)
            # Only the last of a page is handed on: a version in between is no longer in force.
            self._hand_on(before)
        if len(page.records) < PAGE_RECORDS and self._state.anchored:
            self._view().on_log_read(asked_at)
            self._ready.set()

    def _install(self, applied: acceptance.ApplyResult) -> None:
        self._state = applied.state
        if isinstance(applied.effect, record_effects.Accepted | record_effects.Rejected):
            outcome = applied.effect.outcome
            logs.event("operation_decided", **outcome._asdict())

    def _hand_on(self, before: schema.Configuration) -> None:
        if self.configuration.version == before.version:
            return
        for subscriber in self._subscribers:
            subscriber(self.configuration)

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
    size: int, function: Callable[..., acceptance.ApplyResult], *arguments: object
) -> acceptance.ApplyResult:
    """Call a function that checks a text, on another thread if the text is long."""
    if size <= INLINE_CHARACTERS:
        return function(*arguments)
    return await asyncio.to_thread(function, *arguments)


def _now() -> float:
    return asyncio.get_running_loop().time()
