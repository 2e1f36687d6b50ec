"""Measures the speed of servers where this node sees their responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import engine_forecast, plain_servers
from dragonflycove.fleet.capacity import pace_samples

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, peer_messages, store_view, work

MAX_WRITING_SHARE = 0.2
"""Share of a gap that may have passed writing to the caller; else the gap may be the caller's."""


class PaceMeter:
    """Sums up gaps and response times by server."""

    def __init__(self, view: store_view.StoreView) -> None:
        """Create without measurements.

        Args:
            view: Servers and configuration as this node knows them.
        """
        self._store_view = view
        self._samples = pace_samples.PaceSamples()

    def _spec(self, server: catalog.BackendServer) -> catalog.EngineSpec | None:
        configuration = self._store_view.configuration
        service = configuration.service_by_name.get(server.service) if configuration else None
        return service.engine if service else None

    def on_gap(self, grant: work.Grant, seconds: float, writing_seconds: float) -> None:
        """Record the gap before an event of a stream.

        Args:
            grant: The stream's servers.
            seconds: The gap.
            writing_seconds: Time of the gap in which this node wrote to the caller.
        """
        # The stream of a prompt whose KV cache is on several engines waits for all of them.
        is_alone = not any(part.reserved_tokens for part in grant.helpers)
        if not is_alone or writing_seconds > MAX_WRITING_SHARE * seconds:
            return
        spec = self._spec(grant.lead)
        if spec is not None:
            pass_seconds = engine_forecast.step_seconds(spec, 1, 0) * spec.steps_per_pass
            # An engine without a declared step time has nothing to compare with.
            if pass_seconds > 0:
                now = asyncio.get_running_loop().time()
                self._samples.on_gap(grant.lead.instance, seconds, pass_seconds, now)

    def on_response(self, grant: work.Grant, seconds: float) -> None:
        """Record the time to a complete response.

        Args:
            grant: The server.
            seconds: Time since the request was sent.
        """
        if self._spec(grant.lead) is None:
            ratio = seconds / plain_servers.PLAIN_CALL_SECONDS
            self._samples.on_response(grant.lead.instance, ratio)

    def take(self) -> list[peer_messages.PaceReport]:
        """Return what was measured since the last call."""
        return self._samples.take()
