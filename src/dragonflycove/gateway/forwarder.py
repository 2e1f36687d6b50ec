"""Serves one caller's request: route, placement, sends, resumption and the final answer."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import result
import xxhash

from dragonflycove.fleet import catalog, forwarding, server_health, work
from dragonflycove.gateway import lives, send_values, sends
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dragonflycove.fleet import crash_suspects, knowledge, retry_share
    from dragonflycove.gateway import callers, reservations, server_pool
    from dragonflycove.telemetry import fleet_metrics

LEAST_SEND_SECONDS = 0.03
"""Time left below which nothing is sent; no server answers faster."""

DEFAULT_DEADLINE_SECONDS = 10.0
"""Deadline of a caller that names none."""

FINAL_MARGIN_SECONDS = 0.05
"""Time before the route's time-out at which the final answer is written."""

RETRY_AFTER_LEAST_SECONDS = 0.1
"""Shortest time to come back after."""

RETRY_AFTER_SPREAD = 0.5
"""Share of the time to come back by which callers are spread, so that they don't return together."""

MOST_SENDS = 4
"""Sends of one request, refused ones included; each costs the fleet's retry budget."""


class Forwarder:
    """Serves callers' requests."""

    def __init__(
        self,
        identity: lives.NodeIdentity,
        belief: knowledge.Knowledge,
        placing: lives.Placing,
        pool: server_pool.ServerPool,
        retries: retry_share.RetryShare,
        suspects: crash_suspects.CrashSuspects,
        reserving: reservations.Reservations,
        metrics: fleet_metrics.FleetMetrics,
        servers_age: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create a forwarder.

        Args:
            identity: This node.
            belief: What is known of configuration and servers.
            placing: Finds servers.
            pool: Connections to them.
            retries: This node's share of repeated sends.
            suspects: Requests that crash servers.
            reserving: Memory set aside at engines.
            metrics: Where times are recorded.
            servers_age: Returns the age of the belief of the servers.
            rng: Chooses among weighted services and spreads returns.
        """
        self._identity = identity
        self._belief = belief
        self._placing = placing
        self._pool = pool
        self._retries = retries
        self._suspects = suspects
        self._reserving = reserving
        self._rng = rng
        self._metrics = metrics
        self._servers_age = servers_age
        self._sender = sends.Sender(pool, belief, metrics)
        self._numbers = itertools.count(1)
        self.node_count = 1
        """Nodes that may be sending, this one included."""
        self.streams_until = float("inf")
        """Loop time after which streams are sent elsewhere, since this node is stopping."""

    async def serve(
        self, request: forwarding.CallerRequest, response: callers.CallerResponse
    ) -> None:
        """Serve a request and write its answer.

        Args:
            request: The request.
            response: Its answer.
        """
        life = self._admit(request)
        if isinstance(life, result.Err):
            await self._refuse(request, response, life.err_value)
            return
        started_at = life.ok_value.received_at
        loop = asyncio.get_running_loop()
        try:
            await self._run(life.ok_value, response)
        except asyncio.CancelledError:
            logs.event("caller_gone", request=request.attempt_id, seconds=loop.time() - started_at)
            raise
        self._metrics.whole(life.ok_value.route.kind, loop.time() - started_at)

    def _admit(
        self, request: forwarding.CallerRequest
    ) -> result.Result[lives.Life, forwarding.Final]:
        """Find the route and the organisation of a request."""
        configuration = self._belief.configuration
        if configuration is None:
            return result.Err(forwarding.Final(503, "no_configuration", 0.5))
        route = configuration.find_route(request.host, request.path)
        if route is None:
            return result.Err(forwarding.Final(404, "no_route", None))
        organisation = configuration.organisation_by_key.get(request.key or "")
        if organisation is None and configuration.needs_keys and not route.is_public:
            return result.Err(forwarding.Final(401, "unknown_key", None))
        now = asyncio.get_running_loop().time()
        if route.kind is catalog.CallKind.STREAMING and now > self.streams_until:
            return result.Err(forwarding.Final(503, "stopping", RETRY_AFTER_LEAST_SECONDS))
        wanted = request.deadline_seconds
        deadline = DEFAULT_DEADLINE_SECONDS if wanted is None else wanted
        seconds = min(deadline, route.timeout_seconds - FINAL_MARGIN_SECONDS)
        services = [name for name, _ in route.weights_by_service]
        weights = [weight for _, weight in route.weights_by_service]
        service = self._rng.choices(services, weights)[0] if sum(weights) else services[0]
        name = organisation.name if organisation else ""
        life = lives.Life(
            request=request,
            route=route,
            service=service,
            organisation=organisation,
            received_at=now,
            deadline_at=now + seconds,
            fingerprint=request.content_hash ^ hash_text(name),
        )
        logs.event(
            "received",
            request=request.attempt_id,
            route=route.name,
            kind=route.kind.value,
            service=service,
            organisation=name,
            tokens=request.prompt_tokens,
            resumes_after=request.last_event_number,
            deadline=seconds,
            version=configuration.version,
        )
        return result.Ok(life)

    async def _run(self, life: lives.Life, response: callers.CallerResponse) -> None:
        """Send a request until it is answered, or nothing more can be done."""
        loop = asyncio.get_running_loop()
        stream = send_values.StreamState(life.request.last_event_number)
        ends: list[forwarding.End] = []
        excluded: list[str] = []
        kept: send_values.KeptAnswer | None = None
        while True:
            now = loop.time()
            final = self._may_send(life, ends, now)
            if final is not None:
                break
            job = self._job(life, excluded, stream, now)
            decision = await self._placing.place(job)
            if isinstance(decision, work.Refusal):
                final = self._refused(life, ends, decision)
                break
            outcome = await self._send(life, job, decision, response, stream, ends)
            ends.append(await self._end_of(outcome, decision))
            excluded.append(outcome.unhelpful or decision.lead.instance.server_id)
            if outcome.end is forwarding.End.DELIVERED:
                return
            kept = outcome.kept or kept
            if not forwarding.may_send_again(outcome.end, life.route):
                final = forwarding.final_after(ends, out_of_time=loop.time() >= life.deadline_at)
                break
        await self._finish(life, response, kept, final)

    def _may_send(
        self, life: lives.Life, ends: list[forwarding.End], now: float
    ) -> forwarding.Final | None:
        """Return why a request is not sent, or not again; None if it is."""
        if now + LEAST_SEND_SECONDS > life.deadline_at:
            return forwarding.final_after(ends, out_of_time=True)
        if self._suspects.is_refused(life.fingerprint, now):
            logs.event("crasher_refused", request=life.request.attempt_id)
            if all(end in forwarding.PROVEN_NOT_RUN for end in ends):
                return forwarding.Final(503, "crashes_servers", 5.0)
            return forwarding.Final(502, "crashes_servers", None)
        if not ends:
            self._retries.on_request(life.service, now)
            return None
        if not forwarding.has_attempt_left(ends, life.route) or len(ends) >= MOST_SENDS:
            return forwarding.final_after(ends, out_of_time=False)
        if ends[-1] is forwarding.End.NOT_SENT:
            return None
        if not self._retries.spend(life.service, self.node_count, now):
            logs.event(
                "retry_refused",
                request=life.request.attempt_id,
                service=life.service,
                spent=self._retries.spent(life.service, now),
                limit=self._retries.limit(life.service, self.node_count, now),
            )
            return forwarding.final_after(ends, out_of_time=False)
        logs.event(
            "retried",
            request=life.request.attempt_id,
            after=ends[-1].value,
            sends=len(ends),
            spent=self._retries.spent(life.service, now),
        )
        return None

    async def _end_of(self, outcome: send_values.Outcome, grant: work.Grant) -> forwarding.End:
        """Tell a server that broke off from one that is gone."""
        if outcome.end is not forwarding.End.BROKEN:
            return outcome.end
        if outcome.judged is not server_health.Outcome.BROKEN:
            return outcome.end
        if await self._pool.is_reachable(grant.lead.address):
            return outcome.end
        return forwarding.End.SERVER_GONE

    def _may_move(self, life: lives.Life, ends: list[forwarding.End]) -> bool:
        """Whether a request whose server is silent could go to another one."""
        after = [*ends, forwarding.End.SILENT]
        now = asyncio.get_running_loop().time()
        return (
            life.route.is_repeatable
            and forwarding.has_attempt_left(after, life.route)
            and len(after) < MOST_SENDS
            and self._retries.can_spend(life.service, self.node_count, now)
        )

    def _job(
        self, life: lives.Life, excluded: list[str], stream: send_values.StreamState, now: float
    ) -> work.Job:
        request = life.request
        route = life.route
        is_begun = stream.delivered > 0
        # A caller that has events already waits for the next one.
        waits_since = stream.last_event_at if is_begun else life.received_at
        goal = route.gap_goal_seconds if is_begun else route.goal_seconds
        waited = now - waits_since
        left = life.deadline_at - now
        patience = forwarding.placing_patience(route, waited, left, is_begun=is_begun)
        return work.Job(
            key=work.JobKey(self._identity.host, self._identity.incarnation, next(self._numbers)),
            service=life.service,
            organisation=life.organisation_name,
            priority=life.priority,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens or work.DEFAULT_OUTPUT_TOKENS,
            goal_seconds=max(work.LEAST_GOAL_SECONDS, goal - waited),
            gap_goal_seconds=route.gap_goal_seconds,
            deadline_seconds=left,
            zone=self._identity.zone,
            excluded=tuple(excluded),
            fingerprint=life.fingerprint,
            patience_seconds=patience,
            is_begun=is_begun,
        )

    async def _send(
        self,
        life: lives.Life,
        job: work.Job,
        grant: work.Grant,
        response: callers.CallerResponse,
        stream: send_values.StreamState,
        ends: list[forwarding.End],
    ) -> send_values.Outcome:
        """Send a request to the servers that it was placed on."""
        logs.event(
            "sent",
            request=life.request.attempt_id,
            server=grant.lead.instance.server_id,
            helpers=len(grant.helpers),
            helped_by=",".join(part.server.instance.server_id for part in grant.helpers),
            tokens=job.prompt_tokens,
            predicted=grant.first_event_seconds,
            waited=asyncio.get_running_loop().time() - life.received_at,
            servers_age=self._servers_age(),
            resumes=stream.delivered,
        )
        judged = server_health.Outcome.ABANDONED
        held: reservations.Held | None = None
        outcome: send_values.Outcome | None = None
        try:
            reserved = await self._reserving.reserve(grant, job)
            if isinstance(reserved, result.Err):
                judged = server_health.Outcome.FULL
                outcome = send_values.Outcome(forwarding.End.NOT_SENT, judged)
                return outcome
            held = reserved.ok_value
            plan = send_values.Plan(
                grant=grant,
                helpers=held.helpers,
                predicted_seconds=grant.first_event_seconds,
                on_first_event=lambda: self._placing.on_first_event(job.key),
                may_move=lambda: self._may_move(life, ends),
            )
            outcome = await self._sender.send(life, plan, response, stream)
            judged = outcome.judged
        finally:
            if held is not None:
                self._reserving.release(held)
            unhelpful = outcome.unhelpful if outcome else ""
            is_suspect = self._placing.on_end(job.key, judged, unhelpful)
            now = asyncio.get_running_loop().time()
            logs.event(
                "send_ended",
                request=life.request.attempt_id,
                server=grant.lead.instance.server_id,
                end=outcome.end.value if outcome else "abandoned",
                unhelpful=unhelpful,
                judged=judged.value,
                first=outcome.first_event_seconds if outcome else 0.0,
                events=stream.delivered,
                seconds=now - life.received_at,
                suspect=is_suspect,
            )
        self._judge_request(life, outcome, stream, now)
        return outcome

    def _judge_request(
        self,
        life: lives.Life,
        outcome: send_values.Outcome,
        stream: send_values.StreamState,
        now: float,
    ) -> None:
        """Count a lost server against the request that it was running."""
        if outcome.end is forwarding.End.DELIVERED:
            self._suspects.on_answer(life.fingerprint)
        elif outcome.judged is server_health.Outcome.BROKEN:
            self._suspects.on_lost_server(life.fingerprint, now)

    def _refused(
        self, life: lives.Life, ends: list[forwarding.End], refusal: work.Refusal
    ) -> forwarding.Final:
        """Choose the answer to a request for which there is no place."""
        if any(end not in forwarding.PROVEN_NOT_RUN for end in ends):
            return forwarding.final_after(ends, out_of_time=False)
        base = max(RETRY_AFTER_LEAST_SECONDS, refusal.retry_after_seconds)
        spread = base * (1 + RETRY_AFTER_SPREAD * self._rng.random())
        return forwarding.Final(503, refusal.reason, spread)

    async def _finish(
        self,
        life: lives.Life,
        response: callers.CallerResponse,
        kept: send_values.KeptAnswer | None,
        final: forwarding.Final,
    ) -> None:
        """Write the final answer of a request that was not served."""
        if response.is_started:
            logs.event("stream_cut", request=life.request.attempt_id, reason=final.reason)
            response.abort()
            return
        if kept is not None:
            logs.event("failed", request=life.request.attempt_id, status=kept.head.status)
            await response.write_whole(kept.head.status, kept.head.headers, kept.body)
            return
        await self._refuse(life.request, response, final)

    async def _refuse(
        self,
        request: forwarding.CallerRequest,
        response: callers.CallerResponse,
        final: forwarding.Final,
    ) -> None:
        logs.event(
            "refused" if final.status in (503, 429) else "failed",
            request=request.attempt_id,
            status=final.status,
            reason=final.reason,
            retry_after=final.retry_after_seconds or 0.0,
        )
        await response.write_refusal(final)


def hash_text(text: str) -> int:
    """Return a hash of a text that is the same in all processes.

    Args:
        text: The text.
    """
    return xxhash.xxh3_64_intdigest(text.encode())
