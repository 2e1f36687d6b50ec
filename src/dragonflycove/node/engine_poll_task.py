"""The task that reads the load of the model engines."""

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
"""Longest time for one reading, seconds."""


class EnginePollTask:
    """Reads each engine's load in turn and hands it to the dispatch task."""

    def __init__(
        self,
        context: node_context.NodeContext,
        on_report: Callable[[load_view.LoadReport], None],
    ) -> None:
        """Create the task.

        Args:
            context: What all tasks of the node share.
            on_report: Told of every report, before the dispatch task.
        """
        self._context = context
        self._on_report = on_report
        self._next_event_by_server: dict[str, int] = {}

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            readings = [self._read(server) for server in self._engines()]
            await asyncio.gather(*readings)
            await asyncio.sleep(self._context.settings.report_seconds)

    def _engines(self) -> list[schema.Server]:
        configuration = self._context.subset
        return [
            server
            for server in configuration.servers_by_id.values()
            if configuration.services_by_name[server.service].kind is schema.ServiceKind.MODEL
        ]

    async def _read(self, server: schema.Server) -> None:
        answer = await self._context.engines.load(server.address, REPORT_TIMEOUT_SECONDS)
        if isinstance(answer, result.Err):
            self._context.metrics.count("engine_report_missing")
            return
        report = _to_report(server.server_id, answer.ok_value)
        self._on_report(report)
        self._context.dispatch.post(dispatch_messages.LoadReported(report))
        await self._read_cache(server)

    async def _read_cache(self, server: schema.Server) -> None:
        from_sequence = self._next_event_by_server.get(server.server_id, 0)
        answer = await self._context.engines.cache_events(
            server.address, from_sequence, REPORT_TIMEOUT_SECONDS
        )
        if isinstance(answer, result.Err):
            self._context.metrics.count("cache_events_missing")
            return
        found = answer.ok_value
        self._next_event_by_server[server.server_id] = found.next_seq
        if not found.events and found.first <= from_sequence:
            return
        events = tuple(
            prefix_map.CacheEvent(event.seq, event.stored, event.hashes) for event in found.events
        )
        page = prefix_map.CachePage(found.first, found.next_seq, events)
        self._context.dispatch.post(dispatch_messages.CacheEventsReceived(server.server_id, page))


def _to_report(server_id: str, load: engine_values.EngineLoad) -> load_view.LoadReport:
    age = max(0.0, time.time() - load.measured_at)
    return load_view.LoadReport(
        server_id,
        age,
        load.start_id,
        load.running,
        load.waiting,
        _by_priority(load.waiting_prefill_tokens),
        _by_priority(load.running_prefill_tokens),
        load.memory_used_tokens,
        load.memory_tokens,
        load.finished_since_start,
        load.models,
    )


def _by_priority(tokens_by_priority: dict[int, int]) -> tuple[int, int]:
    first = tokens_by_priority.get(0, 0)
    rest = sum(tokens for priority, tokens in tokens_by_priority.items() if priority > 0)
    return first, rest
