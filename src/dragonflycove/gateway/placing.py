"""Places and queues requests by this node's own view of the servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import load_parts, server_health, work
from dragonflycove.fleet.queueing import timely_queue
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import peer_messages, placer
    from dragonflycove.fleet.queueing import organisation_shares
    from dragonflycove.quarantine import crash_counts

QUEUE_INTERVAL_SECONDS = 0.02
"""Time between two passes over the queue; the end of an attempt triggers one at once."""

OVERDUE_SECONDS = 0.2
"""Time after a request's deadline at which it is refused if the queue has not decided on it."""

OVERDUE_RETRY_AFTER_SECONDS = 1.0
"""Retry-after of such a refusal."""


class LocalRequestPlacer:
    """Places requests by this node's own view of the servers; queues those without capacity."""

    def __init__(
        self,
        server_placer: placer.Placer,
        counts: crash_counts.CrashCounts,
        parts: load_parts.LoadParts = load_parts.NO_PARTS,
        shares: organisation_shares.OrganisationShares | None = None,
    ) -> None:
        """Create an empty queue.

        Args:
            server_placer: Chooses servers and counts requests on them.
            counts: Servers that requests have crashed.
            parts: Parts of the handling of heavy load that are in use.
            shares: Work that each organisation has received; None for equal organisations.
        """
        self._placer = server_placer
        self._crash_counts = counts
        self._checked_revision = -1
        self._queue = timely_queue.make_queue(server_placer, parts, shares)
        self._is_advance_scheduled = False
        self._has_queued = asyncio.Event()
        self._future_by_key: dict[work.JobKey, asyncio.Future[work.Grant | work.Refusal]] = {}
        self._fingerprint_by_key: dict[work.JobKey, int] = {}

    @property
    def queue_length(self) -> int:
        """Requests that wait for capacity."""
        return len(self._queue)

    @property
    def queued_organisations(self) -> int:
        """Organisations whose requests wait for capacity."""
        return self._queue.organisation_count

    @property
    def late_count(self) -> int:
        """Queued requests that give way since they are late."""
        return self._queue.late_count

    @property
    def booked_count(self) -> int:
        """Bookings of refused callers that haven't returned yet."""
        return self._queue.booked_count

    def restore_bookings(self, report: peer_messages.BookingReport) -> None:
        """Take over bookings that another hub made.

        Args:
            report: The bookings that a node reports.
        """
        self._queue.restore_bookings(report.bookings, asyncio.get_running_loop().time())
        logs.event("bookings_restored", bookings=len(report.bookings))

    async def place(self, job: work.Job) -> work.Grant | work.Refusal:
        """Wait until a request is placed or refused.

        Args:
            job: The request.

        Returns:
            The placement, or the refusal with its reason.
        """
        loop = asyncio.get_running_loop()
        refusal = self._crash_refusal(job.fingerprint, loop.time())
        if refusal is not None:
            return refusal
        decision = self._queue.offer(job, loop.time())
        if not isinstance(decision, work.Wait):
            return decision
        self._has_queued.set()
        future: asyncio.Future[work.Grant | work.Refusal] = loop.create_future()
        self._future_by_key[job.key] = future
        self._fingerprint_by_key[job.key] = job.fingerprint
        try:
            seconds = min(job.deadline_seconds, job.next_event_deadline_seconds)
            await asyncio.wait({future}, timeout=max(0.0, seconds) + OVERDUE_SECONDS)
            if future.done():
                return future.result()
            logs.warning("placement_overdue", job=job.key.number, service=job.service)
            return work.Refusal("no_room_in_time", OVERDUE_RETRY_AFTER_SECONDS)
        except asyncio.CancelledError:
            if future.done():
                # It was placed in the moment in which its caller left.
                self._placer.on_end(job.key, server_health.Outcome.ABANDONED, loop.time())
            raise
        finally:
            self._future_by_key.pop(job.key, None)
            self._fingerprint_by_key.pop(job.key, None)
            self._queue.withdraw(job.key)
            if not future.done():
                self._schedule_advance()

    def on_first_event(self, key: work.JobKey) -> None:
        """Record that the first event arrived, so the prefill is complete.

        Args:
            key: The request.
        """
        self._placer.on_first_event(key, asyncio.get_running_loop().time())

    def on_end(
        self, key: work.JobKey, outcome: server_health.Outcome, refusing_helper_id: str = ""
    ) -> bool:
        """Record that an attempt ended, and try to place queued requests.

        Args:
            key: The request.
            outcome: How it ended at its server.
            refusing_helper_id: Id of the helper engine that refused; empty if none refused.

        Returns:
            Whether this made its server a suspect.
        """
        now = asyncio.get_running_loop().time()
        is_suspect = self._placer.on_end(key, outcome, now, refusing_helper_id)
        self._queue.on_end(key, now)
        self._schedule_advance()
        return is_suspect

    async def run(self) -> None:
        """Place queued requests at intervals while there are any; runs until cancelled."""
        while True:
            await self._has_queued.wait()
            await asyncio.sleep(QUEUE_INTERVAL_SECONDS)
            self.advance()
            if not len(self._queue):
                self._has_queued.clear()

    def _schedule_advance(self) -> None:
        """Place queued requests once after all attempts that end in this iteration of the loop."""
        if len(self._queue) and not self._is_advance_scheduled:
            self._is_advance_scheduled = True
            asyncio.get_running_loop().call_soon(self.advance)

    def advance(self) -> None:
        """Place the queued requests for which there is capacity now."""
        self._is_advance_scheduled = False
        now = asyncio.get_running_loop().time()
        self._refuse_crashing(now)
        for placed in self._queue.place_queued(now):
            future = self._future_by_key.get(placed.key)
            if future is not None and not future.done():
                future.set_result(placed.decision)
            elif isinstance(placed.decision, work.Grant):
                self._placer.on_end(placed.key, server_health.Outcome.ABANDONED, now)

    def _refuse_crashing(self, now: float) -> None:
        """Refuse the queued requests that are known by now to crash servers."""
        if self._checked_revision == self._crash_counts.revision:
            return
        self._checked_revision = self._crash_counts.revision
        for key, fingerprint in list(self._fingerprint_by_key.items()):
            refusal = self._crash_refusal(fingerprint, now)
            if refusal is not None and not self._future_by_key[key].done():
                self._queue.withdraw(key)
                self._future_by_key[key].set_result(refusal)

    def _crash_refusal(self, fingerprint: int, now: float) -> work.Refusal | None:
        seconds = self._crash_counts.refusal_seconds(fingerprint, now)
        return None if seconds is None else work.Refusal(work.CRASHES_SERVERS, seconds)
