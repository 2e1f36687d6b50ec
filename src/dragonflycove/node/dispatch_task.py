"""The task that owns the dispatcher: admits requests and assigns them to backend servers."""

from __future__ import annotations

import asyncio
import collections
import functools
from typing import TYPE_CHECKING

from dragonflycove.admission import dispatcher as dispatching
from dragonflycove.admission import dispatcher_status
from dragonflycove.admission import effects as dispatch_effects
from dragonflycove.node import dispatch_messages, tasks

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dragonflycove.values import outcomes

LIMITS_LIFETIME_SECONDS = 1.0
"""Time after which the guard's concurrency limits expire if it sends no new ones."""


class DispatchTask:
    """Owns the dispatcher and sends its effects as messages to requests' tasks."""

    def __init__(self, dispatcher: dispatching.Dispatcher) -> None:
        """Create the task.

        Args:
            dispatcher: Makes the decisions; this task is its only user.
        """
        self.mailbox: tasks.Mailbox[dispatch_messages.DispatchMessage] = tasks.Mailbox()
        """Queue of messages to this task."""
        self._dispatcher = dispatcher
        self._receivers_by_request: dict[str, dispatch_messages.Receiver] = {}
        self._refusals_by_request: dict[str, outcomes.Refused] = {}
        self._limits_by_server: Mapping[str, int] = {}
        self._limits_computed_at = float("-inf")
        self._cancels_by_server: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Handle messages and clock ticks until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            wait = self._dispatcher.next_tick(loop.time()) - loop.time()
            message = await self.mailbox.receive(wait)
            now = loop.time()
            if message is not None:
                self._handle(message, now)
            else:
                self._carry_out(self._dispatcher.tick(now))

    def status(self) -> dispatcher_status.DispatcherStatus:
        """Return the dispatcher's counts for the status page."""
        return self._dispatcher.status()

    @functools.singledispatchmethod
    def _handle(self, message: object, now: float) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_handle.register
    def _on_submit(self, message: dispatch_messages.Submit, now: float) -> None:
        request_id = message.request.request_id
        self._receivers_by_request[request_id] = message.receiver
        self._carry_out(self._dispatcher.submit(message.request, now))
        refusal = self._refusals_by_request.pop(request_id, None)
        if not message.admitted.done():
            message.admitted.set_result(refusal)

    @_handle.register
    def _on_resubmit(self, message: dispatch_messages.Resubmit, now: float) -> None:
        self._carry_out(
            self._dispatcher.resubmit(message.request, now, message.excluded, message.reason)
        )

    @_handle.register
    def _on_first_token(self, message: dispatch_messages.FirstTokenDelivered, now: float) -> None:
        self._carry_out(self._dispatcher.on_first_token(message.request_id, now))

    @_handle.register
    def _on_tokens_delivered(self, message: dispatch_messages.TokensDelivered, now: float) -> None:
        self._carry_out(self._dispatcher.on_tokens(message.request_id, message.token_count, now))

    @_handle.register
    def _on_attempt_failed(self, message: dispatch_messages.AttemptFailed, now: float) -> None:
        self._carry_out(
            self._dispatcher.on_attempt_failed(
                message.request_id, message.server_id, message.reason, now
            )
        )

    @_handle.register
    def _on_finished(self, message: dispatch_messages.Finished, now: float) -> None:
        self._receivers_by_request.pop(message.request_id, None)
        self._carry_out(self._dispatcher.on_finished(message.request_id, now))

    @_handle.register
    def _on_withdrawn(self, message: dispatch_messages.Withdrawn, now: float) -> None:
        self._receivers_by_request.pop(message.request_id, None)
        self._carry_out(self._dispatcher.withdraw(message.request_id, now))

    @_handle.register
    def _on_group_ready(self, message: dispatch_messages.GroupReady, now: float) -> None:
        self._carry_out(self._dispatcher.on_group_ready(message.request_id, message.servers, now))

    @_handle.register
    def _on_load_report(self, message: dispatch_messages.LoadReportRead, now: float) -> None:
        self._carry_out(self._dispatcher.on_report(message.report, now))

    @_handle.register
    def _on_configuration_changed(
        self, message: dispatch_messages.ConfigurationChanged, now: float
    ) -> None:
        self._carry_out(self._dispatcher.set_configuration(message.configuration, now))

    @_handle.register
    def _on_server_limits_changed(
        self, message: dispatch_messages.ServerLimitsChanged, now: float
    ) -> None:
        self._limits_by_server = message.limits_by_server
        self._limits_computed_at = message.computed_at
        self._apply_limits(now)

    @_handle.register
    def _on_cancel_started(self, message: dispatch_messages.CancelStarted, now: float) -> None:
        self._cancels_by_server[message.server_id] += 1
        self._apply_limits(now)

    @_handle.register
    def _on_cancel_ended(self, message: dispatch_messages.CancelEnded, now: float) -> None:
        self._cancels_by_server[message.server_id] -= 1
        self._apply_limits(now)

    @_handle.register
    def _on_cache_events_received(
        self, message: dispatch_messages.CacheEventsReceived, now: float
    ) -> None:
        self._carry_out(self._dispatcher.on_cache_events(message.server_id, message.page, now))

    @_handle.register
    def _on_organisation_share_changed(
        self, message: dispatch_messages.OrganisationShareChanged, now: float
    ) -> None:
        self._dispatcher.set_organisation_share(message.share)

    @_handle.register
    def _on_load_digest_requested(
        self, message: dispatch_messages.LoadDigestRequested, now: float
    ) -> None:
        message.callback(self._dispatcher.digest(now))

    @_handle.register
    def _on_peer_digest_received(
        self, message: dispatch_messages.PeerDigestReceived, now: float
    ) -> None:
        self._carry_out(self._dispatcher.on_peer_digest(message.digest, now))

    def _apply_limits(self, now: float) -> None:
        """Set the limits, less the slots of attempts that are still being cancelled."""
        lifetime_seconds = self._limits_computed_at + LIMITS_LIFETIME_SECONDS - now
        free = {
            server_id: max(0, limit - self._cancels_by_server[server_id])
            for server_id, limit in self._limits_by_server.items()
        }
        self._carry_out(self._dispatcher.set_limits(free, now, lifetime_seconds))

    def _carry_out(self, effects: list[dispatch_effects.Effect]) -> None:
        for effect in effects:
            self._perform(effect)

    def _notify(self, request_id: str, notice: dispatch_messages.RequestNotice) -> None:
        receiver = self._receivers_by_request.get(request_id)
        if receiver is not None:
            receiver.post(notice)

    @functools.singledispatchmethod
    def _perform(self, effect: object) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_perform.register
    def _perform_dispatch(self, effect: dispatch_effects.Dispatch) -> None:
        notice = dispatch_messages.Assigned(effect.server_id, effect.engine_priority, effect.group)
        self._notify(effect.request.request_id, notice)

    @_perform.register
    def _perform_refuse(self, effect: dispatch_effects.Refuse) -> None:
        self._receivers_by_request.pop(effect.request_id, None)
        self._refusals_by_request[effect.request_id] = effect.outcome

    @_perform.register
    def _perform_fail(self, effect: dispatch_effects.Fail) -> None:
        self._notify(effect.request_id, dispatch_messages.Denied(effect.outcome))
        self._receivers_by_request.pop(effect.request_id, None)

    @_perform.register
    def _perform_preempt(self, effect: dispatch_effects.Preempt) -> None:
        self._notify(effect.request_id, dispatch_messages.Preempted(effect.server_id))

    @_perform.register
    def _perform_needs_group(self, effect: dispatch_effects.NeedsGroup) -> None:
        self._notify(effect.request.request_id, dispatch_messages.GroupNeeded(effect.candidates))
