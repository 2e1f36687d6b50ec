"""Serves one caller's request: routing, placement, attempts, resumption and the final response."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

import result

from dragonflycove.fleet import forwarding, relaying, server_health, work
from dragonflycove.gateway import (
    crash_watch,
    relay_reports,
    request_context,
    reservations,
    rest_gate,
    send_values,
    sends,
)
from dragonflycove.gateway.moves import attempt_placer, request_moves
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dragonflycove.fleet import retry_budget_share, server_rests, store_view
    from dragonflycove.gateway import (
        caller_responses,
        connection_pool,
        head_watch,
        lead_watch,
        pace_meter,
        reach_watch,
        relay_sends,
        request_admission,
    )
    from dragonflycove.telemetry import fleet_metrics

MIN_ATTEMPT_SECONDS = 0.03
"""Time to the deadline below which no attempt starts; no server responds faster."""

MIN_RETRY_AFTER_SECONDS = 0.1
"""Minimum retry-after of a refusal."""

RETRY_AFTER_JITTER_RATIO = 0.5
"""Maximum random addition to retry-after, as a share of it; spreads the callers' resends."""

SILENCE_REPORT_SECONDS = 0.05
"""Time for which a request at a silent server looks for another place before it is reported."""

REACH_EVIDENCE_SECONDS = 0.2
"""Age up to which an accepted connection shows that this node reaches a service."""

UNREACHED_PAUSE_SECONDS = 0.1
"""Pause before a stream that began is offered again to nodes that may reach servers by then."""


class Forwarder:
    """Serves callers' requests: places each, runs its attempts and writes its response."""

    def __init__(
        self,
        local_node: request_context.LocalNode,
        view: store_view.StoreView,
        admission: request_admission.RequestAdmission,
        request_placer: request_context.RequestPlacer,
        pool: connection_pool.ConnectionPool,
        retry_budget: retry_budget_share.RetryBudgetShare,
        crashes: crash_watch.CrashWatch,
        heads: head_watch.HeadWatch,
        rests: server_rests.ServerRests,
        reach: reach_watch.ReachWatch,
        relay_sender: relay_sends.RelaySender,
        reservation_manager: reservations.ReservationManager,
        leads: lead_watch.LeadWatch,
        metrics: fleet_metrics.FleetMetrics,
        servers_age: Callable[[], float],
        count_senders: Callable[[float], int],
        rng: random.Random,
        meter: pace_meter.PaceMeter | None = None,
    ) -> None:
        """Create a forwarder.

        Args:
            local_node: This node.
            view: Configuration and servers as this node knows them.
            admission: Resolves requests by the configuration, or refuses them.
            request_placer: Places requests on servers.
            pool: Connections to servers.
            retry_budget: This node's share of the retry budget.
            crashes: Notices servers that end while they run a request, and refuses such requests.
            heads: Hears what servers' responses state of the servers.
            rests: Which servers want no requests from this node.
            reach: Finds out which services this node reaches no server of.
            relay_sender: Relays requests for these services to other nodes.
            reservation_manager: Reserves KV cache at engines.
            leads: Notices engines that die while others hold KV cache for their requests.
            metrics: Records response times.
            servers_age: Returns the age of the server state, seconds.
            count_senders: Returns how many nodes share the retry budget at a loop time.
            rng: Adds jitter to retry-after and spreads the returns of refused callers.
            meter: Measures the servers' speed; None if it isn't learned.
        """
        self._local_node = local_node
        self._store_view = view
        self._admission = admission
        self._run_times = admission.stop_limits.run_times
        self._request_placer = request_placer
        self._retry_budget = retry_budget
        self._crashes = crashes
        self._heads = heads
        self._rest_gate = rest_gate.RestGate(rests, view, rng)
        self._reach = reach
        self._relay_sender = relay_sender
        self._reservation_manager = reservation_manager
        self._leads = leads
        self._rng = rng
        self._metrics = metrics
        self._servers_age = servers_age
        self._count_senders = count_senders
        self._sender = sends.Sender(pool, view, metrics, reach.on_opened, meter)
        self._attempt_placer = attempt_placer.AttemptPlacer(
            local_node, view, request_placer, self._rest_gate, crashes, admission.stop_limits
        )
        self._moves = request_moves.RequestMoves(
            self._attempt_placer, reach, retry_budget, count_senders
        )

    async def serve(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        """Serve a request and write its response.

        Args:
            request: The request.
            response: The response to it.
        """
        await self._serve_admitted(request, self._admission.admit(request), response)

    async def serve_relayed(
        self,
        request: forwarding.CallerRequest,
        relayed: relaying.RelayedRequest,
        response: caller_responses.CallerResponse,
    ) -> None:
        """Serve a request that another node relays, and write its response.

        Args:
            request: The request, without the caller's key.
            relayed: What the other node tells of it.
            response: The response to the other node.
        """
        await self._serve_admitted(
            request, self._admission.admit_relayed(request, relayed), response
        )

    async def _serve_admitted(
        self,
        request: forwarding.CallerRequest,
        context: result.Result[request_context.RequestContext, forwarding.FinalResponse],
        response: caller_responses.CallerResponse,
    ) -> None:
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

    async def _run_attempts(
        self, context: request_context.RequestContext, response: caller_responses.CallerResponse
    ) -> None:
        """Run attempts until one delivers the response or no further attempt is allowed."""
        state = send_values.RequestState(context)
        final = None
        try:
            while final is None:
                if self._reach.is_unreached(context.service) and context.relayed is None:
                    self._moves.release(context, state)
                    final = await self._run_at_other_node(context, response, state)
                else:
                    final = await self._run_at_server(context, response, state)
                if state.is_delivered:
                    return
        finally:
            self._moves.release(context, state)
        relay_reports.send(response, state.own_attempts)
        await self._write_final_response(context, response, state.fallback, final)

    async def _run_at_server(
        self,
        context: request_context.RequestContext,
        response: caller_responses.CallerResponse,
        state: send_values.RequestState,
    ) -> forwarding.FinalResponse | None:
        """Place a request and run one attempt; return the final response unless it goes on."""
        placed = state.replacement
        if placed is None:
            found = await self._place_attempt(context, state)
            if not isinstance(found, send_values.PlacedAttempt):
                return found
            placed = found
        else:
            state.replacement = None
            self._log_retry(context, state)
        charged_at, state.charged_at = state.charged_at, None
        decision = placed.grant
        attempt = crash_watch.WatchedAttempt(decision.lead, context)
        state.begin_attempt(decision.lead.instance.server_id)
        response.is_passed_on = True
        outcome = await self._run_attempt(attempt, placed, response, state)
        end = await self._crashes.classify_end(attempt, outcome)
        is_untried = self._reach.is_unreached(context.service) or self._rest_gate.is_resting(
            decision
        )
        if end is forwarding.AttemptEnd.NOT_SENT and is_untried:
            # The path failed, not the server, or the server rests; nothing was attempted.
            state.charged_at = charged_at
            state.cancel_attempt()
            return None
        state.end_attempt(end)
        state.exclude(outcome.refusing_helper_id or decision.lead.instance.server_id, end)
        if outcome.is_success:
            self._crashes.on_answered(context)
        return self._end_attempt(context, state, outcome, end)

    async def _place_attempt(
        self, context: request_context.RequestContext, state: send_values.RequestState
    ) -> send_values.PlacedAttempt | forwarding.FinalResponse | None:
        """Place the next attempt; return the final response if there is none.

        Returns None if the request goes on without having been placed.
        """
        now = asyncio.get_running_loop().time()
        final = self._check_attempt_allowed(context, state, now)
        if final is not None:
            return final
        if self._reach.is_unreached(context.service):
            return _refuse_unreached(state.own_attempt_ends)
        placed = await self._attempt_placer.place(context, state.excluded, state.progress)
        if isinstance(placed, work.Refusal):
            return self._respond_to_refusal(context, state.attempt_ends, placed)
        return placed

    def _end_attempt(
        self,
        context: request_context.RequestContext,
        state: send_values.RequestState,
        outcome: send_values.AttemptResult,
        end: forwarding.AttemptEnd,
    ) -> forwarding.FinalResponse | None:
        """Record an attempt's end; return the final response if it must not be retried."""
        state.attempt_ends.append(end)
        state.is_delivered = outcome.end is forwarding.AttemptEnd.DELIVERED
        state.fallback = outcome.fallback or state.fallback
        # The relaying node resumes a stream that has started, as it can't be told of the attempts.
        is_returned = (
            context.relayed is not None
            and state.progress.first_head is not None
            and forwarding.is_counted(end)
        )
        may_retry = forwarding.may_retry(outcome.end, context.route) and not is_returned
        if state.is_delivered or may_retry:
            return None
        return forwarding.final_response(
            state.attempt_ends,
            deadline_passed=asyncio.get_running_loop().time() >= context.deadline_at,
        )

    async def _run_at_other_node(
        self,
        context: request_context.RequestContext,
        response: caller_responses.CallerResponse,
        state: send_values.RequestState,
    ) -> forwarding.FinalResponse | None:
        """Let another node serve a request, as this one reaches no server of its service.

        The other node counts the request and its retries towards the retry budget.

        Returns:
            The final response unless the request was delivered or goes on.
        """
        loop = asyncio.get_running_loop()
        configuration = self._store_view.configuration
        has_started = state.progress.relayed_events > 0
        waiting_since = state.progress.last_event_at if has_started else context.received_at
        relayed = relaying.RelayedRequest(
            host=self._local_node.host,
            incarnation=self._local_node.incarnation,
            configuration_version=configuration.version if configuration else 0,
            service=context.service,
            organisation=context.organisation.name if context.organisation else None,
            waited_seconds=loop.time() - waiting_since,
            has_started=has_started,
            attempt_ends=tuple(state.attempt_ends),
            excluded=tuple(state.excluded),
        )
        state.relay_report = relay_reports.AttemptReport()
        run = self._run_times.start(context.route, context.request, loop.time())
        response.is_passed_on = True
        outcome = None
        try:
            outcome = await self._relay_sender.send(
                context,
                relayed,
                response,
                state.progress,
                state.relay_report,
                lambda: self._moves.wait_until_allowed(context, state),
            )
        finally:
            is_answered = outcome is not None and outcome.is_success and not has_started
            self._run_times.end(run, loop.time(), is_answered=is_answered)
        if _is_worth_waiting(context, state, outcome, loop.time()):
            await asyncio.sleep(UNREACHED_PAUSE_SECONDS)
            return None
        final = self._end_attempt(context, state, outcome, state.add_relayed(outcome.end))
        is_proven = all(end in forwarding.PROVEN_NOT_EXECUTED for end in state.attempt_ends)
        if outcome.refusal is not None and (outcome.refusal.status != 503 or is_proven):
            return outcome.refusal
        is_over = (
            outcome.refusal is not None
            or loop.time() + MIN_ATTEMPT_SECONDS > context.deadline_at
            or not forwarding.has_attempt_left(state.attempt_ends, context.route)
            or len(state.attempt_ends) >= request_moves.MAX_ATTEMPTS_PER_REQUEST
        )
        if is_over and not state.is_delivered:
            deadline_passed = loop.time() >= context.deadline_at
            return forwarding.final_response(state.attempt_ends, deadline_passed=deadline_passed)
        return final

    def _check_attempt_allowed(
        self,
        context: request_context.RequestContext,
        state: send_values.RequestState,
        now: float,
    ) -> forwarding.FinalResponse | None:
        """Return the final response if no further attempt is allowed, else None.

        An allowed retry is charged to the retry budget, unless the previous attempt sent nothing, or
        a charge has not been used yet.
        """
        attempt_ends = state.attempt_ends
        if now + MIN_ATTEMPT_SECONDS > context.deadline_at:
            return forwarding.final_response(attempt_ends, deadline_passed=True)
        refusal_seconds = self._crashes.refusal_seconds(context)
        if refusal_seconds is not None:
            self._crashes.log_refusal(context)
            if all(end in forwarding.PROVEN_NOT_EXECUTED for end in attempt_ends):
                return forwarding.FinalResponse(503, work.CRASHES_SERVERS, refusal_seconds)
            return forwarding.FinalResponse(502, work.CRASHES_SERVERS, None)
        if not attempt_ends:
            if not state.is_counted:
                self._retry_budget.on_request(context.service, now)
            state.is_counted = True
            return None
        if (
            not forwarding.has_attempt_left(attempt_ends, context.route)
            or len(attempt_ends) >= request_moves.MAX_ATTEMPTS_PER_REQUEST
        ):
            return forwarding.final_response(attempt_ends, deadline_passed=False)
        if attempt_ends[-1] is forwarding.AttemptEnd.NOT_SENT or state.charged_at is not None:
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
        state.charged_at = now
        self._log_retry(context, state)
        return None

    def _log_retry(
        self, context: request_context.RequestContext, state: send_values.RequestState
    ) -> None:
        now = asyncio.get_running_loop().time()
        logs.event(
            "retried",
            request=context.request.attempt_id,
            after=state.attempt_ends[-1].value,
            sends=len(state.attempt_ends),
            spent=self._retry_budget.spent(context.service, now),
        )

    async def _run_attempt(
        self,
        attempt: crash_watch.WatchedAttempt,
        placed: send_values.PlacedAttempt,
        response: caller_responses.CallerResponse,
        state: send_values.RequestState,
    ) -> send_values.AttemptResult:
        """Reserve KV cache and run one attempt at the servers that the request was placed on."""
        context = attempt.context
        job, grant = placed
        progress = state.progress
        state.is_silence_reported = False
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
        started_at = asyncio.get_running_loop().time()
        run = self._run_times.start(context.route, context.request, started_at)
        is_resumed = progress.relayed_events > 0
        try:
            reserved = await self._reservation_manager.reserve(grant, job)
            if isinstance(reserved, result.Err):
                server_outcome = server_health.Outcome.FULL
                has_response = reserved.err_value is reservations.ReservationFailure.REFUSED
                if not has_response and not await self._reach.confirm(context.service, started_at):
                    server_outcome = server_health.Outcome.ABANDONED
                outcome = send_values.AttemptResult(forwarding.AttemptEnd.NOT_SENT, server_outcome)
                return outcome
            reservation_set = reserved.ok_value
            plan = send_values.AttemptPlan(
                grant=grant,
                helpers=reservation_set.helpers,
                needs_fresh_connection=forwarding.needs_fresh_connection(
                    state.attempt_ends, context.route
                ),
                predicted_seconds=grant.first_event_seconds,
                wait_until_lost=(
                    functools.partial(
                        self._leads.wait_until_lost, grant.lead, context.request.attempt_id
                    )
                    if reservation_set.reservations
                    else None
                ),
                may_send=lambda: (
                    self._crashes.refusal_seconds(context) is None
                    and not self._rest_gate.is_resting(grant)
                    and self._admission.stop_limits.has_time_left(context, progress)
                ),
                callbacks=send_values.ExchangeCallbacks(
                    on_sent=attempt.mark_sent,
                    on_head=lambda head: self._heads.on_head(
                        grant.lead,
                        head,
                        attempt.sent_at or context.received_at,
                        [part.server for part in grant.helpers],
                    ),
                    on_crossed_head=lambda head: self._heads.on_any_head(grant.lead, head),
                    on_first_event=lambda: self._request_placer.on_first_event(job.key),
                    wait_for_move=lambda: self._wait_for_move(context, state, placed),
                ),
                on_sending=lambda: relay_reports.send(response, state.own_attempts),
            )
            outcome = await self._sender.send(context, plan, response, progress)
            server_outcome = await self._judge_server(context, outcome, started_at)
            if server_outcome is server_health.Outcome.TIMEOUT and state.is_silence_reported:
                server_outcome = server_health.Outcome.ABANDONED
        except asyncio.CancelledError:
            self._crashes.on_caller_gone(attempt, progress.last_event_at)
            raise
        finally:
            if reservation_set is not None:
                self._reservation_manager.release(reservation_set)
            self._rest_gate.end(grant, job.key)
            refusing_helper_id = outcome.refusing_helper_id if outcome else ""
            is_suspect = self._request_placer.on_end(job.key, server_outcome, refusing_helper_id)
            now = asyncio.get_running_loop().time()
            is_answered = outcome is not None and outcome.is_success and not is_resumed
            self._run_times.end(run, now, is_answered=is_answered)
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

    async def _wait_for_move(
        self,
        context: request_context.RequestContext,
        state: send_values.RequestState,
        placed: send_values.PlacedAttempt,
    ) -> None:
        """Return once a request may leave its silent server; the server gets no others meanwhile."""
        report = asyncio.ensure_future(self._report_silence(context, state, placed))
        try:
            await self._moves.secure(context, state, placed.grant.lead.instance.server_id)
        finally:
            report.cancel()

    async def _report_silence(
        self,
        context: request_context.RequestContext,
        state: send_values.RequestState,
        placed: send_values.PlacedAttempt,
    ) -> None:
        """Report a silent server, unless its request leaves it at once."""
        await asyncio.sleep(SILENCE_REPORT_SECONDS)
        since = asyncio.get_running_loop().time() - REACH_EVIDENCE_SECONDS
        if not self._moves.has_attempt_left(context, state):
            return
        if await self._reach.confirm(context.service, since):
            state.is_silence_reported = True
            self._request_placer.on_silence(placed.job.key)

    async def _judge_server(
        self,
        context: request_context.RequestContext,
        outcome: send_values.AttemptResult,
        started_at: float,
    ) -> server_health.Outcome:
        """Return how an attempt counts towards its server's health.

        A lost connection says nothing of the server if this node reaches no other server either.
        """
        if outcome.server_outcome not in server_health.CONNECTION_FAILURES:
            return outcome.server_outcome
        now = asyncio.get_running_loop().time()
        if now < context.deadline_at:
            # The cut may have begun long after a stream.
            since = max(started_at, now - REACH_EVIDENCE_SECONDS)
            is_reached = await self._reach.confirm(context.service, since)
        else:
            # The final response must not wait for it.
            self._reach.confirm_later(context.service)
            is_reached = not self._reach.is_unreached(context.service)
        return outcome.server_outcome if is_reached else server_health.Outcome.ABANDONED

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
        if refusal.reason in work.EXACT_RETURN_REASONS:
            return forwarding.FinalResponse(503, refusal.reason, refusal.retry_after_seconds)
        base = max(MIN_RETRY_AFTER_SECONDS, refusal.retry_after_seconds)
        retry_after_seconds = base * (1 + RETRY_AFTER_JITTER_RATIO * self._rng.random())
        return forwarding.FinalResponse(503, refusal.reason, retry_after_seconds)

    async def _write_final_response(
        self,
        context: request_context.RequestContext,
        response: caller_responses.CallerResponse,
        fallback: send_values.FallbackResponse | None,
        final: forwarding.FinalResponse,
    ) -> None:
        """Write the final response of a request for which no attempt succeeded.

        A started stream is cut off; a server's failure response is preferred to this node's own.
        """
        if response.is_started:
            logs.event(
                "stream_cut" if context.relayed is None else "stream_returned",
                request=context.request.attempt_id,
                reason=final.reason,
            )
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
        response: caller_responses.CallerResponse,
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


def _is_worth_waiting(
    context: request_context.RequestContext,
    state: send_values.RequestState,
    outcome: send_values.AttemptResult,
    now: float,
) -> bool:
    """Whether a stream that began waits until some node reaches its servers; else it is cut off."""
    if outcome.refusal is None or outcome.refusal.reason != relaying.SERVERS_UNREACHED:
        return False
    if outcome.refusal.status != 503 or not state.progress.relayed_events:
        return False
    caller_timeout = forwarding.route_caller_timeout_seconds(context.route)
    gives_up_at = state.progress.last_event_at + forwarding.PLACEMENT_TIMEOUT_SHARE * caller_timeout
    return now + UNREACHED_PAUSE_SECONDS < min(gives_up_at, context.deadline_at)


def _refuse_unreached(
    attempt_ends: list[forwarding.AttemptEnd],
) -> forwarding.FinalResponse:
    """Return the response to a relayed request for a service that this node doesn't reach either.

    It states that nothing ran here only if that is proven; the other node knows its own attempts.
    """
    if all(end in forwarding.PROVEN_NOT_EXECUTED for end in attempt_ends):
        return forwarding.FinalResponse(503, relaying.SERVERS_UNREACHED, MIN_RETRY_AFTER_SECONDS)
    return forwarding.FinalResponse(502, relaying.SERVERS_UNREACHED, None)
