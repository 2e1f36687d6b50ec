"""Probes the lead engine of a silent stream while other engines hold KV cache for it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.gateway import limit_watch
from dragonflycove.liveness import lead_liveness
from dragonflycove.platform import engine_orders
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog
    from dragonflycove.gateway import engine_calls


class LeadWatch:
    """Probes lead engines by requests for their load reports, which need no slot."""

    def __init__(self, calls: engine_calls.EngineCalls) -> None:
        """Create a watch.

        Args:
            calls: Calls to engines.
        """
        self._calls = calls

    async def wait_until_lost(self, lead: catalog.BackendServer, attempt_id: str) -> None:
        """Return once an engine that has just fallen silent no longer runs its request.

        Args:
            lead: The engine.
            attempt_id: The request, for the log.
        """
        loop = asyncio.get_running_loop()
        silent_since = loop.time()
        liveness = lead_liveness.LeadLiveness(lead.instance.started_at_ms, silent_since)
        request = engine_orders.report_request(lead.address)
        while not liveness.is_lost:
            await asyncio.sleep(max(0.0, liveness.next_probe_at - loop.time()))
            response = await self._calls.call(lead, request, fresh=liveness.needs_fresh_connection)
            if response is None or response.status == limit_watch.WRONG_INSTANCE_STATUS:
                liveness.on_no_response(loop.time())
                continue
            report = engine_orders.decode_report(response.body)
            liveness.on_response(report.started_at_ms if report else 0, loop.time())
        logs.event(
            "lead_lost",
            request=attempt_id,
            server=lead.instance.server_id,
            silent=loop.time() - silent_since,
        )
