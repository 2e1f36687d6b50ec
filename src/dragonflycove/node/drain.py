"""Graceful shutdown of a node."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.node import handover, node_context

HAND_OVER_TIMEOUT_SECONDS = 2.0
"""Timeout for requests to end after their handover."""


class Drain:
    """Stops a node gracefully, without aborting requests.

    First the node leaves itself out of lookup responses, but still accepts requests of callers that
    have cached its address. After the lookup's time to live it refuses new requests and waits for
    those in flight. Those still running after `drain_seconds` are handed over: their callers are
    asked to resume at another node.
    """

    def __init__(
        self, context: node_context.NodeContext, stream_handover: handover.Handover
    ) -> None:
        """Create the drain; it starts with `run`.

        Args:
            context: State shared by the node's tasks.
            stream_handover: Hands running streams over to other nodes.
        """
        self._context = context
        self._handover = stream_handover

    async def run(self) -> None:
        """Drain the node; return when no request is in flight or the timeouts have passed."""
        settings = self._context.settings
        self._context.hidden_from_lookup = True
        logs.event("drain_started", running=self._count_running())
        await asyncio.sleep(settings.lookup_ttl_seconds)
        self._context.refuses_new_work = True
        logs.event("drain_refuses_new_work", running=self._count_running())
        await self._wait_until_idle(settings.drain_seconds)
        if self._count_running():
            await self._handover.hand_over_all()
            await self._wait_until_idle(HAND_OVER_TIMEOUT_SECONDS)
        logs.event("drain_ended", running=self._count_running())

    def _count_running(self) -> int:
        waited_for = [task for task in self._context.requests_by_id.values() if task.has_caller]
        return len(waited_for) + self._context.calls_in_flight

    async def _wait_until_idle(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while self._count_running() and loop.time() < ends_at:
            self._context.work_ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await self._context.work_ended.wait()
