"""Places the attempts of this node's requests on servers."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from dragonflycove.fleet import forwarding, relaying, server_health, work
from dragonflycove.gateway import send_values

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.fleet import store_view
    from dragonflycove.gateway import crash_watch, request_context, rest_gate, stop_limits

WAITING_CHECK_SECONDS = 0.1
"""Interval at which a waiting request is checked for being known to crash servers, and for the
time that a stop of this node leaves it."""

STOPPING_RETRY_AFTER_SECONDS = 0.1
"""Retry-after of a waiting request that a stop of this node leaves no time for."""

SERVERS_UNKNOWN = "servers_unknown"
"""Reason of a refusal: this node may not use the servers that its hub chooses."""

MAX_VIEW_LAG_SECONDS = 1.0
"""Time for which a request waits until this node knows of servers that its hub knows of."""

VIEW_CHECK_SECONDS = 0.1
"""Interval at which such a request is placed again."""

MAX_UNKNOWN_SERVERS = 4
"""Placements on servers that this node may not use, after which it waits for news of them."""


class AttemptPlacer:
    """Finds servers for attempts, and gives up placements that no attempt uses."""

    def __init__(
        self,
        local_node: request_context.LocalNode,
        view: store_view.StoreView,
        request_placer: request_context.RequestPlacer,
        gate: rest_gate.RestGate,
        crashes: crash_watch.CrashWatch,
        limits: stop_limits.StopLimits,
    ) -> None:
        """Create a placer without attempts.

        Args:
            local_node: This node.
            view: Servers as this node knows them.
            request_placer: Places requests on servers.
            gate: Keeps requests from servers that want to rest.
            crashes: Knows the requests that crash servers.
            limits: Knows which requests a stop of this node leaves time for.
        """
        self._local_node = local_node
        self._store_view = view
        self._request_placer = request_placer
        self._rest_gate = gate
        self._crashes = crashes
        self._stop_limits = limits
        self._job_numbers = itertools.count(1)

    async def place(
        self,
        context: request_context.RequestContext,
        excluded: Sequence[str],
        progress: send_values.StreamProgress,
    ) -> send_values.PlacedAttempt | work.Refusal | None:
        """Wait until an attempt is placed or refused.

        The hub may learn before this node that servers may get requests again. A request that it
        places there goes elsewhere, or waits for up to `MAX_VIEW_LAG_SECONDS`.

        Args:
            context: The request.
            excluded: Ids of servers that must not get it.
            progress: Position in the caller's stream over all attempts.

        Returns:
            The placement, or the refusal; None if its servers have asked for rest meanwhile, and
            another placement may be tried.
        """
        loop = asyncio.get_running_loop()
        gives_up_at = loop.time() + MAX_VIEW_LAG_SECONDS
        unknown: list[str] = []
        while True:
            placed = await self._place_once(context, [*excluded, *unknown], progress)
            if isinstance(placed, send_values.PlacedAttempt):
                server = placed.grant.lead.instance
                if self._store_view.is_usable(server, loop.time()):
                    return placed
                self.release(placed)
                unknown.append(server.server_id)
                if len(unknown) < MAX_UNKNOWN_SERVERS:
                    continue
            elif not unknown or loop.time() >= gives_up_at:
                return placed
            if loop.time() >= gives_up_at:
                return work.Refusal(SERVERS_UNKNOWN, VIEW_CHECK_SECONDS)
            unknown.clear()
            await asyncio.sleep(VIEW_CHECK_SECONDS)

    async def _place_once(
        self,
        context: request_context.RequestContext,
        excluded: Sequence[str],
        progress: send_values.StreamProgress,
    ) -> send_values.PlacedAttempt | work.Refusal | None:
        """Place an attempt as `place` does, on whatever servers the hub chooses."""
        if not self._stop_limits.has_time_left(context, progress):
            return work.Refusal(relaying.STOPPING, STOPPING_RETRY_AFTER_SECONDS)
        resting = await self._rest_gate.wait(context, excluded, progress)
        if isinstance(resting, work.Refusal):
            return resting
        now = asyncio.get_running_loop().time()
        job = self._build_job(context, [*excluded, *resting], progress, now)
        decision = await self._place(context, job, progress)
        if isinstance(decision, work.Refusal):
            return decision
        if not self._rest_gate.admit(decision, job.key):
            self._request_placer.on_end(job.key, server_health.Outcome.ABANDONED)
            return None
        return send_values.PlacedAttempt(job, decision)

    def release(self, placed: send_values.PlacedAttempt) -> None:
        """Give up a placement that no attempt uses.

        Args:
            placed: The placement.
        """
        self._rest_gate.end(placed.grant, placed.job.key)
        self._request_placer.on_end(placed.job.key, server_health.Outcome.ABANDONED)

    def _build_job(
        self,
        context: request_context.RequestContext,
        excluded: Sequence[str],
        progress: send_values.StreamProgress,
        now: float,
    ) -> work.Job:
        request = context.request
        route = context.route
        is_resumed = context.relayed is not None and context.relayed.has_started
        has_started = progress.relayed_events > 0 or is_resumed
        # Once the caller has received events, the gap target applies, counted from the last event.
        waiting_since = progress.last_event_at if progress.relayed_events else context.received_at
        target_seconds = route.gap_target_seconds if has_started else route.latency_target_seconds
        waited = now - waiting_since
        seconds_left = context.deadline_at - now
        placement_timeout_seconds = forwarding.placement_timeout_seconds(
            route, waited, seconds_left, has_started=has_started
        )
        return work.Job(
            key=work.JobKey(
                self._local_node.host, self._local_node.incarnation, next(self._job_numbers)
            ),
            service=context.service,
            organisation=context.organisation_name,
            priority=context.priority,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens or work.DEFAULT_OUTPUT_TOKENS,
            latency_target_seconds=max(work.MIN_LATENCY_TARGET_SECONDS, target_seconds - waited),
            gap_target_seconds=route.gap_target_seconds,
            deadline_seconds=seconds_left,
            zone=self._local_node.zone,
            excluded=tuple(excluded),
            fingerprint=context.fingerprint,
            next_event_deadline_seconds=placement_timeout_seconds,
            has_started=has_started,
        )

    async def _place(
        self,
        context: request_context.RequestContext,
        job: work.Job,
        progress: send_values.StreamProgress,
    ) -> work.Grant | work.Refusal:
        """Place a request, or refuse it once it is known that it must not or can't run."""
        task = asyncio.ensure_future(self._request_placer.place(job))
        is_decided = False
        try:
            while True:
                await asyncio.wait({task}, timeout=WAITING_CHECK_SECONDS)
                if task.done():
                    is_decided = True
                    return task.result()
                refusal_seconds = self._crashes.refusal_seconds(context)
                if refusal_seconds is not None:
                    return work.Refusal(work.CRASHES_SERVERS, refusal_seconds)
                if not self._stop_limits.has_time_left(context, progress):
                    return work.Refusal(relaying.STOPPING, STOPPING_RETRY_AFTER_SECONDS)
        finally:
            if not is_decided:
                task.cancel()
                # It may have been placed in the moment in which its caller left.
                self._request_placer.on_end(job.key, server_health.Outcome.ABANDONED)
