"""The graceful stop of a node."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.node import handover, node_context

HAND_OVER_SECONDS = 2.0
"""Longest time for callers to be told where to go on, seconds."""


class Drain:
    """Takes a node out of service without cutting a request.

    First the node is no longer named to callers, but still takes those who hold its address. After
    the lookup's time to live it refuses new work, and waits for what runs. What still runs after
    that is handed over: its caller is told to resume at another node.
    """

    def __init__(self, context: node_context.NodeContext, streams: handover.Handover) -> None:
        """Create the drain.

        Args:
            context: What all tasks of the node share.
            streams: Hands running streams over.
        """
        self._context = context
        self._handover = streams

    async def run(self) -> None:
        """Drain the node; returns when nothing runs any more."""
        settings = self._context.settings
        self._context.withdrawn = True
        logs.event("drain_started", running=self._running())
        await asyncio.sleep(settings.lookup_ttl_seconds)
        self._context.leaving = True
        logs.event("drain_refuses_new_work", running=self._running())
        await self._wait_for_end(settings.drain_seconds)
        if self._running():
            await self._handover.run_all()
            await self._wait_for_end(HAND_OVER_SECONDS)
        logs.event("drain_ended", running=self._running())

    def _running(self) -> int:
        waited_for = [task for task in self._context.requests_by_id.values() if task.has_caller]
        return len(waited_for) + self._context.calls_running

    async def _wait_for_end(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while self._running() and loop.time() < ends_at:
            self._context.work_ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await self._context.work_ended.wait()
