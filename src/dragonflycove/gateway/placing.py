"""Places and queues requests by this node's own view of the servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import placement_queue, server_health, work

if TYPE_CHECKING:
    from dragonflycove.fleet import placer

QUEUE_INTERVAL_SECONDS = 0.02
"""Time between two passes over the queue; the end of an attempt triggers one at once."""


class LocalRequestPlacer:
    """Places requests by this node's own view of the servers; queues those without capacity."""

    def __init__(self, server_placer: placer.Placer) -> None:
        """Create an empty queue.

        Args:
            server_placer: Chooses servers and counts requests on them.
        """
        self._placer = server_placer
        self._queue = placement_queue.PlacementQueue(server_placer)
        self._has_queued = asyncio.Event()
        self._future_by_key: dict[work.JobKey, asyncio.Future[work.Grant | work.Refusal]] = {}

    @property
    def queue_length(self) -> int:
        """Requests that wait for capacity."""
        return len(self._queue)

    async def place(self, job: work.Job) -> work.Grant | work.Refusal:
        """Wait until a request is placed or refused.

        Args:
            job: The request.

        Returns:
            The placement, or the refusal with its reason.
        """
        loop = asyncio.get_running_loop()
        decision = self._queue.offer(job, loop.time())
        if not isinstance(decision, work.Wait):
            return decision
        self._has_queued.set()
        future: asyncio.Future[work.Grant | work.Refusal] = loop.create_future()
        self._future_by_key[job.key] = future
        try:
            return await future
        finally:
            self._future_by_key.pop(job.key, None)
            self._queue.withdraw(job.key)
            if future.cancelled():
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
        is_suspect = self._placer.on_end(
            key, outcome, asyncio.get_running_loop().time(), refusing_helper_id
        )
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
        if len(self._queue):
            asyncio.get_running_loop().call_soon(self.advance)

    def advance(self) -> None:
        """Place the queued requests for which there is capacity now."""
        now = asyncio.get_running_loop().time()
        for placed in self._queue.place_queued(now):
            future = self._future_by_key.get(placed.key)
            if future is not None and not future.done():
                future.set_result(placed.decision)
            elif isinstance(placed.decision, work.Grant):
                self._placer.on_end(placed.key, server_health.Outcome.ABANDONED, now)
