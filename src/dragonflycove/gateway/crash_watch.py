"""Notices backend servers that end while they run a request, and refuses what crashes servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.quarantine import crash_counts
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, forwarding
    from dragonflycove.gateway import connection_pool, crash_exchange, request_context


class CrashWatch:
    """Probes servers after attempts without a complete response."""

    def __init__(
        self,
        counts: crash_counts.CrashCounts,
        exchange: crash_exchange.CrashExchange,
        pool: connection_pool.ConnectionPool,
    ) -> None:
        """Create a watch.

        Args:
            counts: Servers that requests have crashed.
            exchange: Reports crashes to the other nodes.
            pool: Connections to servers.
        """
        self._counts = counts
        self._exchange = exchange
        self._pool = pool

    def refusal_seconds(self, context: request_context.RequestContext) -> float | None:
        """Return for how long a request is refused because it crashes servers; None if it isn't.

        Args:
            context: The request.
        """
        now = asyncio.get_running_loop().time()
        seconds = self._counts.refusal_seconds(context.fingerprint, now)
        if seconds is not None:
            logs.event(
                "crasher_refused",
                request=context.request.attempt_id,
                fingerprint=context.fingerprint_text,
                lost=self._counts.crash_count(context.fingerprint, now),
            )
        return seconds

    def on_answered(self, context: request_context.RequestContext) -> None:
        """Clear a request of crashes, after a server has responded completely and with success.

        Args:
            context: The request.
        """
        now = asyncio.get_running_loop().time()
        answer = crash_counts.Answer(context.fingerprint, now)
        if self._counts.add_answer(answer, now):
            logs.event("suspect_cleared", fingerprint=context.fingerprint_text)
            self._exchange.report_answer(answer)

    async def is_reachable(
        self,
        server: catalog.BackendServer,
        context: request_context.RequestContext,
        end: forwarding.AttemptEnd,
    ) -> bool:
        """Whether a server accepts connections after an attempt; if not, it counts as crashed.

        Args:
            server: The server.
            context: The request that it ran.
            end: How the attempt ended.
        """
        if await self._pool.is_reachable(server.address):
            return True
        self._on_crash(server.instance, context, end)
        return False

    def _on_crash(
        self,
        instance: catalog.Instance,
        context: request_context.RequestContext,
        end: forwarding.AttemptEnd,
    ) -> None:
        now = asyncio.get_running_loop().time()
        crash = crash_counts.Crash(context.fingerprint, instance, now)
        if not self._counts.add(crash, now):
            return
        logs.event(
            "server_lost",
            request=context.request.attempt_id,
            fingerprint=context.fingerprint_text,
            server=instance.server_id,
            born=instance.started_at_ms,
            end=end.value,
            lost=self._counts.crash_count(context.fingerprint, now),
        )
        self._exchange.report_crash(crash)
