"""Task that reads the load and the cache events of the model engines."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import result

from dragonflycove.configuration import schema
from dragonflycove.node import dispatch_messages
from dragonflycove.routing import load_view, prefix_map

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.backends import engine_values
    from dragonflycove.node import node_context

REPORT_TIMEOUT_SECONDS = 1.0
"""Timeout of one read of an engine's load or cache events."""


class EnginePollTask:
    """Reads all engines' load and cache events at an interval and posts them to the dispatch task."""

    def __init__(
        self,
        context: node_context.NodeContext,
        on_report: Callable[[load_view.LoadReport], None],
    ) -> None:
        """Create the task.

        Args:
            context: State shared by the node's tasks.
            on_report: Called with each load report before it is posted to the dispatch task.
        """
        self._context = context
        self._on_report = on_report
        self._next_sequence_by_server: dict[str, int] = {}

    async def run(self) -> None:
        """Read the engines at the configured interval until cancelled."""
        while True:
            reads = [self._read_load(server) for server in self._engines()]
            await asyncio.gather(*reads)
            await asyncio.sleep(self._context.settings.report_seconds)

    def _engines(self) -> list[schema.Server]:
        configuration = self._context.subset
        return [
            server
            for server in configuration.servers_by_id.values()
            if configuration.services_by_name[server.service].kind is schema.ServiceKind.MODEL
        ]

    async def _read_load(self, server: schema.Server) -> None:
        response = await self._context.engines.load(server.address, REPORT_TIMEOUT_SECONDS)
        if isinstance(response, result.Err):
            self._context.metrics.count("engine_report_missing")
            return
        report = _to_load_report(server.server_id, response.ok_value)
        self._on_report(report)
        self._context.dispatch.post(dispatch_messages.LoadReportRead(report))
        await self._read_cache_events(server)

    async def _read_cache_events(self, server: schema.Server) -> None:
        from_sequence = self._next_sequence_by_server.get(server.server_id, 0)
        response = await self._context.engines.cache_events(
            server.address, from_sequence, REPORT_TIMEOUT_SECONDS
        )
        if isinstance(response, result.Err):
            self._context.metrics.count("cache_events_missing")
            return
        cache_events = response.ok_value
        self._next_sequence_by_server[server.server_id] = cache_events.next_seq
        if not cache_events.events and cache_events.first <= from_sequence:
            return
        events = tuple(
            prefix_map.CacheEvent(event.seq, event.stored, event.hashes)
            for event in cache_events.events
        )
        page = prefix_map.CachePage(cache_events.first, cache_events.next_seq, events)
        self._context.dispatch.post(dispatch_messages.CacheEventsReceived(server.server_id, page))


def _to_load_report(server_id: str, load: engine_values.EngineLoad) -> load_view.LoadReport:
    age = max(0.0, time.time() - load.measured_at)
    return load_view.LoadReport(
        server_id,
        age,
        load.start_id,
        load.running,
        load.waiting,
        _split_by_priority(load.waiting_prefill_tokens),
        _split_by_priority(load.running_prefill_tokens),
        load.memory_used_tokens,
        load.memory_tokens,
        load.finished_since_start,
        load.models,
    )


def _split_by_priority(tokens_by_priority: dict[int, int]) -> tuple[int, int]:
    highest = tokens_by_priority.get(0, 0)
    lower = sum(tokens for priority, tokens in tokens_by_priority.items() if priority > 0)
    return highest, lower
