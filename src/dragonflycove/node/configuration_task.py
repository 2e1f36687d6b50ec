"""Task that follows the configuration stream and passes each new configuration to subscribers."""

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

LONG_POLL_SECONDS = 2.0
"""Time for which the log may delay the response to a read while it has no new records."""

LOG_TIMEOUT_SECONDS = 5.0
"""Timeout of one call to the log."""

MAX_PAGE_RECORDS = 200
"""Maximum number of records per read of the log."""

MIN_RETRY_DELAY_SECONDS = 0.5
"""Base delay before the first retry of a failed read of the log; it doubles with each retry."""

MAX_RETRY_DELAY_SECONDS = 5.0
"""Maximum base delay before a retry; the actual delay is random, 0.5 to 1.5 times the base."""

RESTATEMENT_CHECK_INTERVAL_SECONDS = 30.0
"""Interval between checks whether a restatement is due."""

MAX_INLINE_CHARACTERS = 50_000
"""Maximum length of a configuration text that is checked on the event loop's thread."""


class ConfigurationTaskSettings(NamedTuple):
    """Settings of the configuration task."""

    host: str = ""
    """Name of this host."""

    retention_seconds: float = 86_400.0
    """Time for which the log retains a record, seconds."""

    freshness_bounds: freshness.FreshnessBounds = freshness.DEFAULT_BOUNDS
    """Bounds on ages and reachability beyond which the configuration is not fresh."""


DEFAULT_SETTINGS = ConfigurationTaskSettings()
"""Settings of a node without peers."""


class ConfigurationTask:
    """Owns the acceptance state, which only this task changes."""

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
            settings: Host, retention time of the log and bounds on freshness.
            rng: Generator for identifiers and retry delays; `None` for one with a random seed.
            wall_clock: Returns Unix time in seconds, to compare with the log's timestamps.
        """
        self._log = log
        self._settings = settings
        self._rng = rng or random.Random()
        self._wall_clock = wall_clock
        self._state = acceptance.initial_state()
        self._policy = restatement.RestatementPolicy(settings.retention_seconds)
        self._restatement = restatement.RestatementView(self._policy)
        self._freshness: freshness.FreshnessView | None = None
        self._state_lock = asyncio.Lock()
        self._subscribers: list[Callable[[schema.Configuration], None]] = []
        self._hosts: tuple[str, ...] = ()
        self._ready = asyncio.Event()

    @property
    def state(self) -> acceptance.AcceptanceState:
        """Result of applying the configuration stream up to `state.next_offset`."""
        return self._state

    @property
    def configuration(self) -> schema.Configuration:
        """Configuration in force at this node; version 0 if none has been received."""
        return self._state.configuration

    @property
    def is_ready(self) -> bool:
        """Whether this node has learned from the log or a peer which version is in force."""
        return self._ready.is_set()

    def evaluate_freshness(self) -> freshness.Freshness:
        """Return how recently the configuration was confirmed by the log or by peers."""
        return self._freshness_view().evaluate(_now(), self._state.snapshot.next_offset)

    def subscribe(self, subscriber: Callable[[schema.Configuration], None]) -> None:
        """Call a function with the configuration in force, if any, and with each new one.

        Args:
            subscriber: Called on the event loop; it must not block.
        """
        self._subscribers.append(subscriber)
        if self.configuration.version:
            subscriber(self.configuration)

    async def wait_ready(self) -> None:
        """Wait until `is_ready`."""
        await self._ready.wait()

    async def run(self) -> None:
        """Follow the log and restate the configuration when due, until cancelled."""
        self._freshness_view()
        await asyncio.gather(self._follow_log(), self._run_restatement())

    def header(self, sender: str) -> messages.Header:
        """Return the header for this node's frames to peers.

        Args:
            sender: This process, `host/incarnation`.

        Returns:
            Version, offset and age of the last read of the log; the age is -1 if there was none.
        """
        age = self._freshness_view().log_age_seconds(_now())
        known_age = age if age != float("inf") else -1.0
        snapshot = self._state.snapshot
        return messages.Header(sender, snapshot.version, snapshot.next_offset, known_age)

    def on_hosts(self, hosts: tuple[str, ...]) -> None:
        """Process a host list.

        Args:
            hosts: Names of the live hosts, including this one.
        """
        self._hosts = hosts

    def on_reachability(self, expects_peers: bool, reachable_fraction: float) -> None:
        """Process an estimate of how many of the other hosts can be reached.

        Args:
            expects_peers: Whether the host list holds other hosts.
            reachable_fraction: Estimated fraction of them that can be reached, 0 to 1.
        """
        self._freshness_view().on_reachability(expects_peers, reachable_fraction)

    def on_peer_header(self, header: messages.Header) -> None:
        """Process the position in the configuration stream that a peer's frame carries.

        Args:
            header: Header of the frame.
        """
        self._freshness_view().on_peer_position(header.next_offset)

    def on_peer_answer(self, header: messages.Header, requested_at: float) -> None:
        """Process a peer's answer to a probe.

        Args:
            header: Header of the answer.
            requested_at: Loop time at which the probe was sent, seconds.
        """
        age = header.log_age_seconds if header.log_age_seconds >= 0 else float("inf")
        if header.next_offset > self._state.snapshot.next_offset:
            # The peer has records that this node has not, so its read of the log doesn't show that
            # this node's configuration is current.
            age = float("inf")
        self._freshness_view().on_peer_response(age, requested_at)

    async def install_snapshot(self, snapshot: records.Snapshot) -> None:
        """Replace this node's state by a peer's snapshot if that is newer.

        Args:
            snapshot: Complete snapshot that a peer sent.
        """
        async with self._state_lock:
            size = len(snapshot.text)
            previous = self.configuration
            applied = await _call_on_thread_if_long(
                size, acceptance.install_snapshot, self._state, snapshot
            )
            self._install(applied)
            self._notify_subscribers(previous)
        logs.event("snapshot_taken", version=self.configuration.version)
        if self.configuration.version:
            self._ready.set()

    async def _follow_log(self) -> None:
        delay_seconds = MIN_RETRY_DELAY_SECONDS
        while True:
            requested_at = _now()
            page = await self._log.read(
                records.STREAM,
                self._state.next_offset,
                MAX_PAGE_RECORDS,
                LONG_POLL_SECONDS,
                LOG_TIMEOUT_SECONDS,
            )
            if isinstance(page, result.Ok):
                delay_seconds = MIN_RETRY_DELAY_SECONDS
                await self._apply_page(page.ok_value, requested_at)
                continue
            logs.warning("log_read_failed", reason=page.err_value.reason)
            await asyncio.sleep(delay_seconds * (0.5 + self._rng.random()))
            delay_seconds = min(2 * delay_seconds, MAX_RETRY_DELAY_SECONDS)

    async def _apply_page(self, page: log_client.ReadPage, requested_at: float) -> None:
        async with self._state_lock:
            previous = self.configuration
            skipped = acceptance.skip_expired(self._state, page.first_retained)
            self._state = skipped
            for entry in page.records:
                record = records.from_value(entry.value)
                self._restatement.on_record(entry.offset, entry.appended_at, record)
                size = len(record.text) if isinstance(record, records.TextProposed) else 0
                applied = await _call_on_thread_if_long(
                    size, acceptance.apply, self._state, entry.offset, record
                )
                self._install(applied)
            # Subscribers get only the last version of a page; earlier ones are no longer in force.
            self._notify_subscribers(previous)
        if len(page.records) < MAX_PAGE_RECORDS and self._state.anchored:
            self._freshness_view().on_log_read(requested_at)
            self._ready.set()

    def _install(self, applied: acceptance.ApplyResult) -> None:
        self._state = applied.state
        if isinstance(applied.effect, record_effects.Accepted | record_effects.Rejected):
            outcome = applied.effect.outcome
            logs.event("operation_decided", **outcome._asdict())

    def _notify_subscribers(self, previous: schema.Configuration) -> None:
        if self.configuration.version == previous.version:
            return
        for subscriber in self._subscribers:
            subscriber(self.configuration)

    async def _run_restatement(self) -> None:
        while True:
            await asyncio.sleep(RESTATEMENT_CHECK_INTERVAL_SECONDS)
            if self._restatement.is_due(
                self._state, self._settings.host, self._hosts, self._wall_clock()
            ):
                await self._restate()

    async def _restate(self) -> None:
        operation_id = identifiers.new_id(self._rng, "restatement")
        value = records.to_value(restatement.restate(self._state, operation_id))
        appended = await self._log.append(records.STREAM, [value], LOG_TIMEOUT_SECONDS)
        taken = isinstance(appended, result.Ok)
        logs.event("configuration_restated", operation_id=operation_id, taken=taken)

    def _freshness_view(self) -> freshness.FreshnessView:
        if self._freshness is None:
            bounds = self._settings.freshness_bounds
            self._freshness = freshness.FreshnessView(bounds, _now())
        return self._freshness


async def _call_on_thread_if_long(
    size: int, function: Callable[..., acceptance.ApplyResult], *arguments: object
) -> acceptance.ApplyResult:
    """Call a function that checks a text, on another thread if the text is long.

    Args:
        size: Length of the text, characters.
        function: Function to call.
        *arguments: Its arguments.
    """
    if size <= MAX_INLINE_CHARACTERS:
        return function(*arguments)
    return await asyncio.to_thread(function, *arguments)


def _now() -> float:
    return asyncio.get_running_loop().time()
