"""The gateway through which the callers' HTTP interface uses the node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import result

from dragonflycove.attempts import request_state_machine
from dragonflycove.callers import gateway, streams
from dragonflycove.node import (
    dispatch_messages,
    model_request_task,
    request_messages,
    resume_tokens,
)
from dragonflycove.telemetry import logs
from dragonflycove.values import identifiers, outcomes, requests

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dragonflycove.configuration import schema
    from dragonflycove.node import guard_task, node_context, plain_calls

    RunNonIdempotent = Callable[
        [requests.ServiceCall, tuple[tuple[str, str], ...], bytes],
        Awaitable[gateway.ServiceResponse],
    ]

NOT_READY_RETRY_SECONDS = 1.0
"""Retry-after of refusals by a node that is not ready."""


class NodeGateway:
    """Accepts callers' requests, runs a task for each model request, and answers lookups."""

    def __init__(
        self,
        context: node_context.NodeContext,
        guard: guard_task.GuardTask,
        calls: plain_calls.PlainCalls,
        run_non_idempotent: RunNonIdempotent,
        find_unready_reason: Callable[[], str | None],
    ) -> None:
        """Create the gateway.

        Args:
            context: State shared by the node's tasks.
            guard: Knows which requests are quarantined.
            calls: Runs idempotent calls to plain services.
            run_non_idempotent: Runs calls that are not idempotent.
            find_unready_reason: Returns why the node is not ready for requests, `None` if it is.
        """
        self._context = context
        self._guard = guard
        self._calls = calls
        self._run_non_idempotent = run_non_idempotent
        self._find_unready_reason = find_unready_reason

    @property
    def configuration(self) -> schema.Configuration:
        """The configuration in force."""
        return self._context.configuration

    def now(self) -> float:
        """Return the loop time, seconds."""
        return asyncio.get_running_loop().time()

    def refusal(self) -> outcomes.Refused | None:
        """Return the refusal for every new request; `None` if requests are accepted.

        A refusal is counted in the metrics.
        """
        refused = self._find_refusal()
        if refused is not None:
            self._context.metrics.refused(refused.reason)
        return refused

    def _find_refusal(self) -> outcomes.Refused | None:
        if self._context.refuses_new_work:
            return outcomes.Refused(
                outcomes.Reason.LEAVING,
                "this node is stopping; ask for another address",
                0.0,
                self._context.choose_other_address(),
            )
        reason = self._find_unready_reason()
        if reason is None:
            return None
        return outcomes.Refused(
            outcomes.Reason.NOT_READY,
            reason,
            NOT_READY_RETRY_SECONDS,
            self._context.choose_other_address(),
        )

    async def submit(
        self, request: requests.ModelRequest, prompt: str
    ) -> result.Result[gateway.OpenStream, outcomes.Refused]:
        """Submit a model request; admission is decided immediately.

        Args:
            request: The request; its identifier is replaced by a new one.
            prompt: Text of the prompt.

        Returns:
            The request with the stream of its frames, or the refusal.
        """
        request = request._replace(request_id=self._context.new_request_id())
        quarantined = self._screen(request.fingerprint)
        if quarantined is not None:
            self._context.metrics.refused(quarantined.reason)
            return result.Err(quarantined)
        stream = streams.CallerStream()
        task = model_request_task.ModelRequestTask(self._context, request, prompt, stream)
        admitted: asyncio.Future[outcomes.Refused | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._context.requests_by_id[request.request_id] = task
        self._context.dispatch.post(dispatch_messages.Submit(request, task.mailbox, admitted))
        refused = await admitted
        if refused is not None:
            self._context.remove_request(request.request_id)
            self._context.metrics.refused(refused.reason)
            logs.event(
                "request_refused",
                request=request.request_id,
                organisation=request.organisation,
                reason=refused.reason.value,
            )
            return result.Err(refused)
        self._context.background.start(request.request_id, task.run())
        return result.Ok(gateway.OpenStream(request.request_id, stream))

    def _screen(self, fingerprint: str) -> outcomes.Refused | None:
        refused = self._guard.find_refusal(fingerprint)
        if refused is None:
            return None
        detail = "requests like this one have crashed backend servers"
        return outcomes.Refused(outcomes.Reason.QUARANTINED, detail, refused.retry_after_seconds)

    def resume(
        self, token: str, from_index: int, model: str, prompt: str, deadline: float
    ) -> result.Result[gateway.OpenStream, outcomes.Refused]:
        """Resume a stream that this or another node started.

        Args:
            token: The resume token.
            from_index: Index of the first frame that the caller has not received.
            model: Name of the model.
            prompt: Text of the prompt; empty if the caller did not resend it.
            deadline: Loop time by which the resumed stream must end, seconds.

        Returns:
            The request with the stream of its frames, or the refusal.
        """
        point = resume_tokens.parse_resume_token(token)
        if point is None or self._context.server_address(point.server_id) is None:
            detail = "the token names no stream of a server in the configuration"
            return result.Err(outcomes.Refused(outcomes.Reason.BAD_REQUEST, detail))
        if from_index < 0:
            detail = "the last event's number is negative"
            return result.Err(outcomes.Refused(outcomes.Reason.BAD_REQUEST, detail))
        stream = streams.CallerStream()
        own = self._find_own(point.attempt)
        if own is not None:
            own.mailbox.post(request_messages.CallerResumed(from_index, stream))
            return result.Ok(gateway.OpenStream(own.request.request_id, stream))
        request = requests.ModelRequest(
            self._context.new_request_id(),
            "",
            self._context.configuration.servers_by_id[point.server_id].service,
            model,
            0,
            0,
            (),
            requests.Urgency.INTERACTIVE,
            deadline,
        )
        machine = request_state_machine.RequestStateMachine(
            request, self._context.rng, caller_from_index=from_index
        )
        task = model_request_task.ModelRequestTask(self._context, request, prompt, stream, machine)
        self._context.take_over(task, point)
        return result.Ok(gateway.OpenStream(request.request_id, stream))

    def _find_own(self, attempt: str) -> model_request_task.ModelRequestTask | None:
        for task in self._context.requests_by_id.values():
            if task.runs_attempt(attempt):
                return task
        return None

    def on_caller_gone(self, opened: gateway.OpenStream) -> None:
        """Notify the request's task that the caller's connection ended.

        Args:
            opened: The request and the connection's stream.
        """
        task = self._context.requests_by_id.get(opened.request_id)
        if task is not None:
            task.mailbox.post(request_messages.CallerGone(opened.stream))

    async def call_service(
        self,
        call: requests.ServiceCall,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> gateway.ServiceResponse:
        """Run a call to a plain service.

        Args:
            call: The call; its identifier is replaced by a new one.
            headers: HTTP headers to forward.
            body: Request body to forward.

        Returns:
            The service's response, or the outcome of a call without one.
        """
        call = call._replace(request_id=identifiers.new_id(self._context.rng, "call"))
        self._context.calls_in_flight += 1
        try:
            if call.idempotent:
                answer = await self._calls.run_idempotent(call, headers, body)
            else:
                answer = await self._run_non_idempotent(call, headers, body)
        finally:
            self._context.record_call_end()
        if isinstance(answer.outcome, outcomes.Refused):
            self._context.metrics.refused(answer.outcome.reason)
        elif isinstance(answer.outcome, outcomes.Failed):
            self._context.metrics.failed(answer.outcome.reason)
        return answer

    def lookup(self, zone: str) -> gateway.LookupResult:
        """List the addresses of nodes that callers in a zone may use.

        Args:
            zone: The caller's zone; empty if it is unknown.

        Returns:
            Responsive hosts in zones that are in service, in random order, the caller's zone
            first. If no host is left by a criterion, the criterion is dropped.
        """
        out = self._context.configuration.zones_out
        listed = [entry for entry in self._context.hosts_by_name.values() if not entry.leaving]
        unresponsive = self._context.unresponsive_hosts
        entries = [entry for entry in listed if entry.name not in unresponsive] or listed
        if self._context.hidden_from_lookup:
            entries = [entry for entry in entries if entry.name != self._context.identity.host]
        allowed = [entry for entry in entries if entry.zone not in out] or entries
        self._context.rng.shuffle(allowed)
        allowed.sort(key=lambda entry: entry.zone != zone)
        addresses = tuple(gateway.LookupAddress(entry.address, entry.zone) for entry in allowed)
        return gateway.LookupResult(addresses, self._context.settings.lookup_ttl_seconds)
