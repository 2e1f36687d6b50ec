"""The task of one model request: carries out the effects of its state machine."""

from __future__ import annotations

import asyncio
import collections
import functools
from typing import TYPE_CHECKING

from dragonflycove.attempts import attempts as attempt_values
from dragonflycove.attempts import effects as attempt_effects
from dragonflycove.attempts import request_state_machine
from dragonflycove.backends import engine_client, engine_stream
from dragonflycove.callers import streams
from dragonflycove.node import (
    attempt_readers,
    dispatch_messages,
    guard_messages,
    request_messages,
    resume_tokens,
    tasks,
)
from dragonflycove.telemetry import logs
from dragonflycove.values import outcomes, requests

if TYPE_CHECKING:

    from dragonflycove.node import node_context

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout for connecting to an engine."""

CANCEL_TIMEOUT_SECONDS = 2.0
"""Timeout of one cancel request to an engine."""

CRASH_REASONS = (outcomes.Reason.BACKEND_CRASHED, outcomes.Reason.BACKEND_UNREACHABLE)
"""Reasons to suspect a server for which it is reported to the guard as crashed.

The state machine suspects it only if a resume failed too, or if it lost the stream.
"""

NOT_LISTED = "the server is not listed"
"""Log detail of an attempt at a server that is not in the configuration."""

TOKENS_PER_PROGRESS_NOTICE = 16
"""Number of tokens after which the dispatch task is notified of a stream's progress."""


_PROMPT_UNKNOWN = outcomes.Failed(
    outcomes.Reason.STREAM_GAP,
    "the engine no longer has the stream, and this node never had the prompt: send it again",
    outcomes.Execution.RAN,
    0.0,
)


class ModelRequestTask:
    """Owns the state machine of one request and the connections of its attempts."""

    def __init__(
        self,
        context: node_context.NodeContext,
        request: requests.ModelRequest,
        prompt: str,
        stream: streams.CallerStream,
        machine: request_state_machine.RequestStateMachine | None = None,
    ) -> None:
        """Create the task.

        Args:
            context: State shared by the node's tasks.
            request: The request.
            prompt: Text of the prompt; empty if the request was taken over without it.
            stream: Receives the events for the caller.
            machine: State machine of a request taken over; `None` for a new request.
        """
        self.mailbox: tasks.Mailbox[request_messages.RequestMessage] = tasks.Mailbox()
        """Queue of messages to this task."""
        self.request = request
        """The request."""
        self.current_server = ""
        """Identifier of the engine of the newest attempt; empty before the first attempt."""
        self._context = context
        self._prompt = prompt
        self._stream = stream
        self._machine = machine or request_state_machine.RequestStateMachine(request, context.rng)
        self._readers = attempt_readers.AttemptReaders(self.mailbox)
        self._accepted_at = asyncio.get_running_loop().time()
        self._attempt_started_at = self._accepted_at
        self._assigned: dispatch_messages.Assigned | None = None
        self._has_first_token = False
        self._tokens_since_notice = 0
        self._retries_counted: collections.Counter[outcomes.Reason] = collections.Counter()
        self._handed_over = False
        self._needs_submission = False
        self.has_caller = True
        """Whether a caller's connection is open and waits for the response."""

    async def run(self) -> None:
        """Process messages until the request has its outcome or is handed over."""
        loop = asyncio.get_running_loop()
        try:
            while not self._machine.done and not self._handed_over:
                wait = min(1.0, self.request.deadline - loop.time())
                message = await self.mailbox.receive(wait)
                now = loop.time()
                if message is None:
                    self._carry_out(self._machine.tick(now))
                else:
                    self._handle(message, now)
                self._count_retries()
        finally:
            await self._readers.close()

    def _submit_taken_over(self) -> None:
        """Submit a request taken over from another node to this node's dispatcher."""
        self._needs_submission = False
        admitted: asyncio.Future[outcomes.Refused | None] = (
            asyncio.get_running_loop().create_future()
        )
        admitted.add_done_callback(self._on_admission)
        self._context.dispatch.post(dispatch_messages.Submit(self.request, self.mailbox, admitted))

    def _on_admission(self, admitted: asyncio.Future[outcomes.Refused | None]) -> None:
        refused = None if admitted.cancelled() else admitted.result()
        if refused is not None:
            self.mailbox.post(dispatch_messages.Denied(refused))

    def take_over(self, point: attempt_values.ResumePoint) -> None:
        """Resume a stream that another node started.

        Args:
            point: Server and attempt that run the stream.
        """
        now = asyncio.get_running_loop().time()
        self._needs_submission = True
        self.current_server = point.server_id
        self._carry_out(self._machine.on_taken_over(point, now))

    @property
    def prompt(self) -> str:
        """Text of the prompt; empty if this node never received it."""
        return self._prompt

    @property
    def resume_point(self) -> attempt_values.ResumePoint | None:
        """Server and attempt that run the stream; `None` while no attempt runs."""
        return self._machine.resume_point

    @property
    def received_tokens(self) -> tuple[str, ...]:
        """Tokens of the frames received so far, in order."""
        return self._machine.received_frames

    def attempts(self) -> tuple[str, ...]:
        """Return the identifiers of the attempts whose connections are being read."""
        return self._readers.attempts()

    def runs_attempt(self, attempt: str) -> bool:
        """Return whether an attempt is this request's current attempt, which can be resumed."""
        point = self._machine.resume_point
        return point is not None and point.attempt == attempt

    def _count_retries(self) -> None:
        new = self._machine.retries_by_reason - self._retries_counted
        for reason, count in new.items():
            self._context.metrics.retried(reason, count)
        self._retries_counted += new

    @functools.singledispatchmethod
    def _handle(self, message: object, now: float) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_handle.register
    def _on_assigned(self, message: dispatch_messages.Assigned, now: float) -> None:
        self._assigned = message
        self._context.guard.post(
            guard_messages.StartRequested(
                self.request, message.server_id, self.mailbox, bool(message.group)
            )
        )

    @_handle.register
    def _on_start_granted(self, message: guard_messages.StartGranted, now: float) -> None:
        assigned = self._assigned
        if assigned is None:
            return
        self._assigned = None
        self.current_server = assigned.server_id
        self._attempt_started_at = now
        self._carry_out(
            self._machine.on_dispatched(assigned.server_id, assigned.priority, now, assigned.group)
        )

    @_handle.register
    def _on_start_restricted(self, message: guard_messages.StartRestricted, now: float) -> None:
        assigned = self._assigned
        if assigned is None:
            return
        self._assigned = None
        others = frozenset(self._context.configuration.servers_by_id) - message.servers
        reason = outcomes.Reason.QUARANTINED
        self._context.metrics.retried(reason)
        self._context.dispatch.post(
            dispatch_messages.AttemptFailed(self.request.request_id, assigned.server_id, reason)
        )
        self._context.dispatch.post(dispatch_messages.Resubmit(self.request, others, reason))

    @_handle.register
    def _on_start_refused(self, message: guard_messages.StartRefused, now: float) -> None:
        detail = "requests like this one have crashed backend servers"
        self._deny(outcomes.Reason.QUARANTINED, detail, message.retry_after_seconds, now)

    @_handle.register
    def _on_cancel_required(self, message: guard_messages.CancelRequired, now: float) -> None:
        if message.server_id == self.current_server:
            self._carry_out(self._machine.on_preempted(now))

    def _deny(
        self, reason: outcomes.Reason, detail: str, retry_after_seconds: float, now: float
    ) -> None:
        failed = outcomes.Failed(reason, detail, outcomes.Execution.NOT_RUN, retry_after_seconds)
        self._carry_out(self._machine.on_no_server(failed, now))

    @_handle.register
    def _on_denied(self, message: dispatch_messages.Denied, now: float) -> None:
        outcome = message.outcome
        if isinstance(outcome, outcomes.Refused):
            outcome = outcomes.Failed(
                outcome.reason,
                outcome.detail,
                outcomes.Execution.NOT_RUN,
                outcome.retry_after_seconds,
            )
        self._carry_out(self._machine.on_no_server(outcome, now))

    @_handle.register
    def _on_preempted(self, message: dispatch_messages.Preempted, now: float) -> None:
        self._carry_out(self._machine.on_preempted(now))

    @_handle.register
    def _on_group_needed(self, message: dispatch_messages.GroupNeeded, now: float) -> None:
        self._context.build_group(self.request, message.candidates)

    @_handle.register
    def _on_caller_gone(self, message: request_messages.CallerGone, now: float) -> None:
        if message.stream is self._stream:
            self.has_caller = False
            self._carry_out(self._machine.on_caller_disconnected(now))

    @_handle.register
    def _on_caller_resumed(self, message: request_messages.CallerResumed, now: float) -> None:
        self._stream = message.stream
        self.has_caller = True
        self._post_resume_token()
        self._carry_out(self._machine.on_caller_resumed(message.from_index, now))

    @_handle.register
    def _on_move_requested(self, message: request_messages.MoveRequested, now: float) -> None:
        self._carry_out(self._machine.on_moved(message.reason, now))

    @_handle.register
    def _on_hand_over_requested(
        self, message: request_messages.HandOverRequested, now: float
    ) -> None:
        if self._machine.resume_point is not None:
            self._hand_over_to(message.address)

    def _hand_over_to(self, address: str) -> None:
        self._stream.post(streams.HandedOver(address))
        self._handed_over = True
        self._report_attempt_end(is_complete=False)
        self._context.dispatch.post(dispatch_messages.Withdrawn(self.request.request_id))
        self._context.remove_request(self.request.request_id)

    def _report_attempt_end(self, is_complete: bool) -> None:
        self._context.guard.post(guard_messages.AttemptEnded(self.request.request_id, is_complete))

    @_handle.register
    def _on_engine_event(self, message: request_messages.EngineEvent, now: float) -> None:
        event = message.event
        if isinstance(event, engine_stream.Frame):
            effects = self._machine.on_frame(
                event.attempt, event.index, event.token, event.finish, now
            )
        elif isinstance(event, engine_stream.Refused):
            effects = self._on_engine_refused(message, event, now)
        elif isinstance(event, engine_stream.StreamFailed):
            kind = attempt_effects.AttemptFailureKind(event.kind.value)
            logs.event(
                "attempt_broken", attempt=message.attempt, kind=kind.value, detail=event.detail
            )
            effects = self._machine.on_attempt_failed(
                message.attempt, kind, now, message.connection
            )
        else:
            return
        self._carry_out(effects)

    def _on_engine_refused(
        self, message: request_messages.EngineEvent, event: engine_stream.Refused, now: float
    ) -> list[attempt_effects.Effect]:
        if message.connection > 0 and event.status == 404:
            return self._machine.on_resume_unknown(message.attempt, now)
        kind = attempt_effects.AttemptFailureKind.ERROR
        if event.not_executed:
            kind = attempt_effects.AttemptFailureKind.REFUSED_NOT_RUN
        return self._machine.on_attempt_failed(message.attempt, kind, now, message.connection)

    def _carry_out(self, effects: list[attempt_effects.Effect]) -> None:
        for effect in effects:
            self._perform(effect)

    @functools.singledispatchmethod
    def _perform(self, effect: object) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_perform.register
    def _perform_start(self, effect: attempt_effects.StartAttempt) -> None:
        address = self._context.server_address(effect.server_id)
        if address is None:
            self._readers.report_unreachable(effect.attempt, 0, NOT_LISTED)
            return
        generate_request = engine_client.GenerateRequest(
            effect.attempt,
            str(self._context.identity),
            self.request.model,
            self._prompt + effect.received_text,
            effect.max_tokens,
            effect.priority,
            self._context.group_ids(self.request.request_id) if effect.group else (),
        )
        events = self._context.engines.generate(address, generate_request, self._timeouts())
        self._readers.start(effect.attempt, 0, events)
        self._post_resume_token()

    @_perform.register
    def _perform_resume(self, effect: attempt_effects.ResumeAttempt) -> None:
        address = self._context.server_address(effect.server_id)
        if address is None:
            self._readers.report_unreachable(effect.attempt, effect.connection, NOT_LISTED)
            return
        events = self._context.engines.resume(
            address,
            effect.attempt,
            str(self._context.identity),
            effect.from_index,
            self._timeouts(),
        )
        self._readers.start(effect.attempt, effect.connection, events)
        self._post_resume_token()

    @_perform.register
    def _perform_cancel(self, effect: attempt_effects.CancelAttempt) -> None:
        self._readers.stop(effect.attempt)
        self._report_attempt_end(is_complete=False)
        self._context.cancel_attempt(effect.attempt, effect.server_id)

    @_perform.register
    def _perform_abandon(self, effect: attempt_effects.AbandonAttempt) -> None:
        self._readers.stop(effect.attempt)
        self._report_attempt_end(is_complete=False)
        self._context.cancel_abandoned_at_by_server[effect.server_id] = self._now()

    @_perform.register
    def _perform_redispatch(self, effect: attempt_effects.Redispatch) -> None:
        if not self._prompt:
            self._carry_out(self._machine.on_no_server(_PROMPT_UNKNOWN, self._now()))
            return
        if self._needs_submission:
            self._submit_taken_over()
            return
        failed = dispatch_messages.AttemptFailed(
            self.request.request_id, self.current_server, effect.reason
        )
        self._context.dispatch.post(failed)
        self._context.dispatch.post(
            dispatch_messages.Resubmit(self.request, effect.excluded, effect.reason)
        )

    @_perform.register
    def _perform_suspect(self, effect: attempt_effects.SuspectServer) -> None:
        logs.warning("server_suspect", server=effect.server_id, reason=effect.reason.value)
        if effect.reason in CRASH_REASONS:
            self._context.report_server_crash(effect.server_id)

    @_perform.register
    def _perform_emit(self, effect: attempt_effects.Emit) -> None:
        self._stream.post(streams.CallerFrame(effect.frame_index, effect.token, effect.finish))
        if not self._has_first_token:
            self._record_first_token()
        self._tokens_since_notice += 1
        if self._tokens_since_notice >= TOKENS_PER_PROGRESS_NOTICE:
            notice = dispatch_messages.TokensDelivered(
                self.request.request_id, self._tokens_since_notice
            )
            self._context.dispatch.post(notice)
            self._tokens_since_notice = 0

    @_perform.register
    def _perform_finish(self, effect: attempt_effects.Finish) -> None:
        request_id = self.request.request_id
        if isinstance(effect.outcome, outcomes.Answered):
            self._context.metrics.answered("model")
            self._context.dispatch.post(dispatch_messages.Finished(request_id))
        elif not self.has_caller:
            # The caller may have resumed at another node, so this is not counted as a failure.
            self._context.metrics.count("caller_did_not_return")
            self._context.dispatch.post(dispatch_messages.Withdrawn(request_id))
        else:
            self._context.metrics.failed(effect.outcome.reason)
            self._context.dispatch.post(dispatch_messages.Withdrawn(request_id))
            logs.event("request_failed", request=request_id, reason=effect.outcome.reason.value)
        self._report_attempt_end(isinstance(effect.outcome, outcomes.Answered))
        self._stream.post(streams.StreamEnded(effect.outcome))
        self._context.remove_request(request_id)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _record_first_token(self) -> None:
        self._has_first_token = True
        seconds = asyncio.get_running_loop().time() - self._accepted_at
        self._context.metrics.first_token(self.request.length_class, seconds)
        self._context.dispatch.post(dispatch_messages.FirstTokenDelivered(self.request.request_id))
        self._report_first_token_time()

    def _report_first_token_time(self) -> None:
        """Report predicted and measured time to first token, so the guard detects cold engines."""
        server = self._context.configuration.servers_by_id.get(self.current_server)
        if server is None or server.prefill_tokens_per_second <= 0:
            return
        predicted = self.request.prompt_tokens / server.prefill_tokens_per_second
        measured = self._now() - self._attempt_started_at
        self._context.guard.post(
            guard_messages.FirstTokenTimed(server.server_id, predicted, measured)
        )

    def _post_resume_token(self) -> None:
        point = self._machine.resume_point
        if point is not None:
            token = resume_tokens.format_resume_token(point)
            self._stream.post(streams.ResumeTokenChanged(token))

    def _timeouts(self) -> engine_stream.StreamTimeouts:
        remaining = self.request.deadline - asyncio.get_running_loop().time()
        idle_seconds = self._context.settings.silence_seconds
        return engine_stream.StreamTimeouts(
            CONNECT_TIMEOUT_SECONDS, idle_seconds, max(0.01, remaining)
        )
