"""Keeps requests from servers that have asked this node for rest."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import work

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from dragonflycove.fleet import server_rests, store_view
    from dragonflycove.gateway import request_context, send_values

CHECK_SECONDS = 0.02
"""Interval at which a waiting request looks for a server that has rested."""

MAX_TRIAL_WAIT_SECONDS = 1.0
"""Time for which a request waits while all servers that have rested are being tried."""

RETURN_MARGIN_SECONDS = 0.05
"""Time after the end of a rest from which refused callers are told to return."""

RETURN_SPREAD_SECONDS = 0.3
"""Time over which their returns are spread."""

MAX_EXCLUDED_SERVERS = 200
"""Servers that a placement leaves out at most, as its message is one datagram."""


class RestGate:
    """Decides for each request which servers it must not go to, whether it waits or is refused."""

    def __init__(
        self, rests: server_rests.ServerRests, view: store_view.StoreView, rng: random.Random
    ) -> None:
        """Create a gate.

        Args:
            rests: Which servers want no requests from this node.
            view: Servers as this node knows them.
            rng: Spreads the returns of refused callers.
        """
        self._rng = rng
        self._rests = rests
        self._store_view = view

    async def wait(
        self,
        context: request_context.RequestContext,
        excluded: Collection[str],
        progress: send_values.StreamProgress,
    ) -> list[str] | work.Refusal:
        """Wait until some server of a service may get a request, unless that takes too long.

        Args:
            context: The request.
            excluded: Ids of servers that must not get it for other reasons.
            progress: Position in the caller's stream.

        Returns:
            Ids of the servers that must not get it because of their rest, or the refusal.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while True:
            now = loop.time()
            usable = [
                server.instance
                for server in self._store_view.usable_servers(context.service, now)
                if server.instance.server_id not in excluded
            ]
            closed = self._rests.closed(usable, now)
            if not usable or len(closed) < len(usable):
                avoided = {*closed, *self._rests.avoided(usable, now)}
                chosen = closed if len(avoided) == len(usable) else list(avoided)
                return [instance.server_id for instance in chosen[:MAX_EXCLUDED_SERVERS]]
            seconds = self._rests.seconds_to_rest_end(closed, now)
            if not self._may_wait(context, progress, seconds, started_at, now):
                spread = RETURN_SPREAD_SECONDS * self._rng.random()
                return work.Refusal(work.SERVERS_REST, seconds + RETURN_MARGIN_SECONDS + spread)
            await asyncio.sleep(max(CHECK_SECONDS, seconds))

    def _may_wait(
        self,
        context: request_context.RequestContext,
        progress: send_values.StreamProgress,
        seconds: float,
        started_at: float,
        now: float,
    ) -> bool:
        """Whether a request waits for servers that have rested after a time."""
        if now + seconds >= context.deadline_at:
            return False
        # Refusing a stream that has started would cut it off.
        if progress.relayed_events or (context.relayed is not None and context.relayed.has_started):
            return True
        if seconds > 0:
            return now + seconds <= context.received_at + context.route.latency_target_seconds
        return now - started_at < MAX_TRIAL_WAIT_SECONDS

    def admit(self, grant: work.Grant, key: work.JobKey) -> bool:
        """Whether a placed request may go to its servers now.

        Args:
            grant: The servers.
            key: The request.
        """
        now = asyncio.get_running_loop().time()
        helpers = (part.server.instance for part in grant.helpers)
        if any(self._rests.is_resting(instance, now) for instance in helpers):
            return False
        return self._rests.begin(grant.lead.instance, key, now)

    def is_resting(self, grant: work.Grant) -> bool:
        """Whether the server of a placed request wants no requests.

        Args:
            grant: The servers.
        """
        return self._rests.is_resting(grant.lead.instance, asyncio.get_running_loop().time())

    def end(self, grant: work.Grant, key: work.JobKey) -> None:
        """Record that a request has ended at its server.

        Args:
            grant: The servers.
            key: The request.
        """
        self._rests.end(grant.lead.instance, key)
