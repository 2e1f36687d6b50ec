"""Serves one caller's request: routing, placement, attempts, resumption and the final response."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import result
import xxhash

from dragonflycove.fleet import catalog, forwarding, server_health, work
from dragonflycove.gateway import crash_watch, request_context, send_values, sends
from dragonflycove.quarantine import part_blame
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dragonflycove.fleet import retry_budget_share, store_view
    from dragonflycove.gateway import callers, connection_pool, limit_watch, reservations
    from dragonflycove.telemetry import fleet_metrics

MIN_ATTEMPT_SECONDS = 0.03
"""Time to the deadline below which no attempt starts; no server responds faster."""

DEFAULT_DEADLINE_SECONDS = 10.0
"""Deadline of a request that has no deadline header."""

FINAL_RESPONSE_MARGIN_SECONDS = 0.05
"""Time before the route's timeout at which the final response is written."""

MIN_RETRY_AFTER_SECONDS = 0.1
"""Minimum retry-after of a refusal."""

RETRY_AFTER_JITTER_RATIO = 0.5
"""Maximum random addition to retry-after, as a share of it; spreads the callers' resends."""

WAITING_CHECK_SECONDS = 0.1
"""Interval at which a waiting request is checked for being known to crash servers."""

MAX_ATTEMPTS_PER_REQUEST = 4
"""Maximum attempts of one request, refused ones included; the retry budget also limits them."""


class Forwarder:
    """Serves callers' requests: places each, runs its attempts and writes its response."""

    def __init__(
        self,
        local_node: request_context.LocalNode,
        view: store_view.StoreView,
        request_placer: request_context.RequestPlacer,
        pool: connection_pool.ConnectionPool,
        retry_budget: retry_budget_share.RetryBudgetShare,
        crashes: crash_watch.CrashWatch,
        limits: limit_watch.LimitWatch,
        reservation_manager: reservations.ReservationManager,
        metrics: fleet_metrics.FleetMetrics,
        servers_age: Callable[[], float],
        count_senders: Callable[[float], int],
        rng: random.Random,
    ) -> None:
        """Create a forwarder.

        Args:
            local_node: This node.
            view: Configuration and servers as this node knows them.
            request_placer: Places requests on servers.
            pool: Connections to servers.
            retry_budget: This node's share of the retry budget.
            crashes: Notices servers that end while they run a request, and refuses such requests.
            limits: Reads the rate limits that servers state.
            reservation_manager: Reserves KV cache at engines.
            metrics: Records response times.
            servers_age: Returns the age of the server state, seconds.
            count_senders: Returns how many nodes share the retry budget at a loop time.
            rng: Chooses among weighted services and adds jitter to retry-after.
        """
        self._local_node = local_node
        self._store_view = view
        self._request_placer = request_placer
        self._retry_budget = retry_budget
        self._crashes = crashes
        self._limits = limits
        self._reservation_manager = reservation_manager
        self._rng = rng
        self._metrics = metrics
        self._servers_age = servers_age
        self._count_senders = count_senders
        self._sender = sends.Sender(pool, view, metrics)
        self._job_numbers = itertools.count(1)
        self.accept_streams_until = float("inf")
        """Loop time after which new streams are refused; inf unless this node is stopping."""

    async def serve(
        self, request: forwarding.CallerRequest, response: callers.CallerResponse
    ) -> None:
        """Serve a request and write its response.

        Args:
            request: The request.
            response: The response to it.
        """
        context = self._admit(request)
        if isinstance(context, result.Err):
            await self._write_refusal(request, response, context.err_value)
            return
        started_at = context.ok_value.received_at
        loop = asyncio.get_running_loop()
        try:
            await self._run_attempts(context.ok_value, response)
        except asyncio.CancelledError:
            logs.event("caller_gone", request=request.attempt_id, seconds=loop.time() - started_at)
            raise
        self._metrics.record_total(context.ok_value.route.kind, loop.time() - started_at)

    def _admit(
        self, request: forwarding.CallerRequest
    ) -> result.Result[request_context.RequestContext, forwarding.FinalResponse]:
        """Resolve a request's route, organisation, service and deadline, or refuse it."""
        configuration = self._store_view.configuration
        if configuration is None:
            return result.Err(forwarding.FinalResponse(503, "no_configuration", 0.5))
        route = configuration.find_route(request.host, request.path)
        if route is None:
            return result.Err(forwarding.FinalResponse(404, "no_route", None))
        organisation = configuration.organisation_by_key.get(request.key or "")
        if organisation is None and configuration.needs_keys and not route.is_public:
            return result.Err(forwarding.FinalResponse(401, "unknown_key", None))
        now = asyncio.get_running_loop().time()
        if route.kind is catalog.CallKind.STREAMING and now > self.accept_streams_until:
            return result.Err(forwarding.FinalResponse(503, "stopping", MIN_RETRY_AFTER_SECONDS))
        requested_seconds = request.deadline_seconds
        deadline = DEFAULT_DEADLINE_SECONDS if requested_seconds is None else requested_seconds
        seconds = min(deadline, route.timeout_seconds - FINAL_RESPONSE_MARGIN_SECONDS)
        services = [name for name, _ in route.weights_by_service]
        weights = [weight for _, weight in route.weights_by_service]
        service = self._rng.choices(services, weights)[0] if sum(weights) else services[0]
        name = organisation.name if organisation else ""
        context = request_context.RequestContext(
            request=request,
            route=route,
            service=service,
            organisation=organisation,
            received_at=now,
            deadline_at=now + seconds,
            fingerprint=request.content_hash ^ hash_text(name),
            part_fingerprints=tuple(map(part_blame.part_fingerprint, request.shared_parts)),
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
            fingerprint=context.fingerprint_text,
            parts=context.parts_text,
        )
        return result.Ok(context)

    async def _run_attempts(
        self, context: request_context.RequestContext, response: callers.CallerResponse
    ) -> None:
        """Run attempts until one delivers the response or no further attempt is allowed."""
        loop = asyncio.get_running_loop()
        progress = send_values.StreamProgress(context.request.last_event_number)
        attempt_ends: list[forwarding.AttemptEnd] = []
        excluded: list[str] = []
        fallback: send_values.FallbackResponse | None = None
        while True:
            now = loop.time()
            final = self._check_attempt_allowed(context, attempt_ends, now)
            if final is not None:
                break
            job = self._build_job(context, excluded, progress, now)
            decision = await self._place(context, job)
            if isinstance(decision, work.Refusal):
                final = self._respond_to_refusal(context, attempt_ends, decision)
                break
            attempt = crash_watch.WatchedAttempt(decision.lead, context)
            outcome = await self._run_attempt(
                attempt, job, decision, response, progress, attempt_ends
            )
            attempt_ends.append(await self._crashes.classify_end(attempt, outcome))
            excluded.append(outcome.refusing_helper_id or decision.lead.instance.server_id)
            if outcome.is_success:
                self._crashes.on_answered(context)
            if outcome.end is forwarding.AttemptEnd.DELIVERED:
                return
            fallback = outcome.fallback or fallback
            if not forwarding.may_retry(outcome.end, context.route):
                final = forwarding.final_response(
                    attempt_ends, deadline_passed=loop.time() >= context.deadline_at
                )
                break
        await self._write_final_response(context, response, fallback, final)

    async def _place(
        self, context: request_context.RequestContext, job: work.Job
    ) -> work.Grant | work.Refusal:
        """Place a request, or refuse it once it is known to crash servers while it waits."""
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
        finally:
            if not is_decided:
                task.cancel()
                # It may have been placed in the moment in which its caller left.
                self._request_placer.on_end(job.key, server_health.Outcome.ABANDONED)

    def _check_attempt_allowed(
        self,
        context: request_context.RequestContext,
        attempt_ends: list[forwarding.AttemptEnd],
        now: float,
    ) -> forwarding.FinalResponse | None:
        """Return the final response if no further attempt is allowed, else None.

        An allowed retry is charged to the retry budget, unless the previous attempt sent nothing.
        """
        if now + MIN_ATTEMPT_SECONDS > context.deadline_at:
            return forwarding.final_response(attempt_ends, deadline_passed=True)
        refusal_seconds = self._crashes.refusal_seconds(context)
        if refusal_seconds is not None:
            self._crashes.log_refusal(context)
            if all(end in forwarding.PROVEN_NOT_EXECUTED for end in attempt_ends):
                return forwarding.FinalResponse(503, work.CRASHES_SERVERS, refusal_seconds)
            return forwarding.FinalResponse(502, work.CRASHES_SERVERS, None)
        if not attempt_ends:
            self._retry_budget.on_request(context.service, now)
            return None
        if (
            not forwarding.has_attempt_left(attempt_ends, context.route)
            or len(attempt_ends) >= MAX_ATTEMPTS_PER_REQUEST
        ):
            return forwarding.final_response(attempt_ends, deadline_passed=False)
        if attempt_ends[-1] is forwarding.AttemptEnd.NOT_SENT:
            return None
        if not self._retry_budget.spend(context.service, self._count_senders(now), now):
            logs.event(
                "retry_refused",
                request=context.request.attempt_id,
                service=context.service,
                spent=self._retry_budget.spent(context.service, now),
                limit=self._retry_budget.limit(context.service, self._count_senders(now), now),
            )
            return forwarding.final_response(attempt_ends, deadline_passed=False)
        logs.event(
            "retried",
            request=context.request.attempt_id,
            after=attempt_ends[-1].value,
            sends=len(attempt_ends),
            spent=self._retry_budget.spent(context.service, now),
        )
        return None

    def _can_move(
        self, context: request_context.RequestContext, attempt_ends: list[forwarding.AttemptEnd]
    ) -> bool:
        """Whether a request whose server is unresponsive may be retried at another one."""
        after = [*attempt_ends, forwarding.AttemptEnd.TIMEOUT]
        now = asyncio.get_running_loop().time()
        return (
            context.route.is_retryable
            and forwarding.has_attempt_left(after, context.route)
            and len(after) < MAX_ATTEMPTS_PER_REQUEST
            and self._retry_budget.can_spend(context.service, self._count_senders(now), now)
        )

    def _build_job(
        self,
        context: request_context.RequestContext,
        excluded: list[str],
        progress: send_values.StreamProgress,
        now: float,
    ) -> work.Job:
        request = context.request
        route = context.route
        has_started = progress.relayed_events > 0
        # Once the caller has received events, the gap target applies, counted from the last event.
        waiting_since = progress.last_event_at if has_started else context.received_at
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

    async def _run_attempt(
        self,
        attempt: crash_watch.WatchedAttempt,
        job: work.Job,
        grant: work.Grant,
        response: callers.CallerResponse,
        progress: send_values.StreamProgress,
        attempt_ends: list[forwarding.AttemptEnd],
    ) -> send_values.AttemptResult:
        """Reserve KV cache and run one attempt at the servers that the request was placed on."""
        context = attempt.context
        logs.event(
            "sent",
            request=context.request.attempt_id,
            server=grant.lead.instance.server_id,
            helpers=len(grant.helpers),
            helped_by=",".join(part.server.instance.server_id for part in grant.helpers),
            tokens=job.prompt_tokens,
            predicted=grant.first_event_seconds,
            waited=asyncio.get_running_loop().time() - context.received_at,
            servers_age=self._servers_age(),
            resumes=progress.relayed_events,
        )
        server_outcome = server_health.Outcome.ABANDONED
        reservation_set: reservations.ReservationSet | None = None
        outcome: send_values.AttemptResult | None = None
        try:
            reserved = await self._reservation_manager.reserve(grant, job)
            if isinstance(reserved, result.Err):
                server_outcome = server_health.Outcome.FULL
                outcome = send_values.AttemptResult(forwarding.AttemptEnd.NOT_SENT, server_outcome)
                return outcome
            reservation_set = reserved.ok_value
            plan = send_values.AttemptPlan(
                grant=grant,
                helpers=reservation_set.helpers,
                needs_fresh_connection=forwarding.needs_fresh_connection(
                    attempt_ends, context.route
                ),
                predicted_seconds=grant.first_event_seconds,
                may_send=lambda: self._crashes.refusal_seconds(context) is None,
                on_sent=attempt.mark_sent,
                on_head=lambda head: self._limits.on_head(
                    grant.lead.instance, head, attempt.sent_at or context.received_at
                ),
                on_first_event=lambda: self._request_placer.on_first_event(job.key),
                can_move=lambda: self._can_move(context, attempt_ends),
            )
            outcome = await self._sender.send(context, plan, response, progress)
            server_outcome = outcome.server_outcome
        except asyncio.CancelledError:
            self._crashes.on_caller_gone(attempt, progress.last_event_at)
            raise
        finally:
            if reservation_set is not None:
                self._reservation_manager.release(reservation_set)
            refusing_helper_id = outcome.refusing_helper_id if outcome else ""
            is_suspect = self._request_placer.on_end(job.key, server_outcome, refusing_helper_id)
            now = asyncio.get_running_loop().time()
            logs.event(
                "send_ended",
                request=context.request.attempt_id,
                server=grant.lead.instance.server_id,
                end=outcome.end.value if outcome else "abandoned",
                unhelpful=refusing_helper_id,
                judged=server_outcome.value,
                failure=outcome.failure if outcome else "",
                first=outcome.first_event_seconds if outcome else 0.0,
                events=progress.relayed_events,
                seconds=now - context.received_at,
                suspect=is_suspect,
            )
        return outcome

    def _respond_to_refusal(
        self,
        context: request_context.RequestContext,
        attempt_ends: list[forwarding.AttemptEnd],
        refusal: work.Refusal,
    ) -> forwarding.FinalResponse:
        """Return the final response to a request that could not be placed."""
        if any(end not in forwarding.PROVEN_NOT_EXECUTED for end in attempt_ends):
            return forwarding.final_response(attempt_ends, deadline_passed=False)
        if refusal.reason == work.CRASHES_SERVERS:
            self._crashes.log_refusal(context)
            return forwarding.FinalResponse(503, refusal.reason, refusal.retry_after_seconds)
        if refusal.reason == work.SERVER_LIMIT:
            # The time is booked for this caller.
            return forwarding.FinalResponse(503, refusal.reason, refusal.retry_after_seconds)
        base = max(MIN_RETRY_AFTER_SECONDS, refusal.retry_after_seconds)
        retry_after_seconds = base * (1 + RETRY_AFTER_JITTER_RATIO * self._rng.random())
        return forwarding.FinalResponse(503, refusal.reason, retry_after_seconds)

    async def _write_final_response(
        self,
        context: request_context.RequestContext,
        response: callers.CallerResponse,
        fallback: send_values.FallbackResponse | None,
        final: forwarding.FinalResponse,
    ) -> None:
        """Write the final response of a request for which no attempt succeeded.

        A started stream is cut off; a server's failure response is preferred to this node's own.
        """
        if response.is_started:
            logs.event("stream_cut", request=context.request.attempt_id, reason=final.reason)
            response.abort()
            return
        if fallback is not None:
            logs.event("failed", request=context.request.attempt_id, status=fallback.head.status)
            await response.write_complete(
                fallback.head.status, fallback.head.headers, fallback.body
            )
            return
        await self._write_refusal(context.request, response, final)

    async def _write_refusal(
        self,
        request: forwarding.CallerRequest,
        response: callers.CallerResponse,
        final: forwarding.FinalResponse,
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
    """Return a 64-bit hash of a text that is equal in all processes.

    Args:
        text: The text.
    """
    return xxhash.xxh3_64_intdigest(text.encode())
