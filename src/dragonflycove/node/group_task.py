"""Task of one memory group: several engines that reserve KV cache for one long request."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.node import dispatch_messages, tasks
from dragonflycove.placement import memory_groups
from dragonflycove.telemetry import logs
from dragonflycove.transport import exchange
from dragonflycove.values import identifiers, outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.node import node_context
    from dragonflycove.values import requests

TICK_INTERVAL_SECONDS = 0.25
"""Interval at which the builder checks for due retries and renewals."""

ENGINE_TIMEOUT_SECONDS = 2.0
"""Timeout of one call to an engine."""


class ReservationResponse(NamedTuple):
    """An engine's response to a reservation."""

    server_id: str
    """Identifier of the engine."""

    group_id: str
    """Identifier of the group for which KV cache was to be reserved."""

    error: exchange.ExchangeError | None
    """Why the reservation failed; `None` if it was made."""


class ReleaseResponse(NamedTuple):
    """An engine's response to a release."""

    server_id: str
    """Identifier of the engine."""

    group_id: str
    """Identifier of the group whose KV cache was to be released."""

    error: exchange.ExchangeError | None
    """Why the release is not confirmed; `None` if it is."""


class EngineCrashed(NamedTuple):
    """An engine crashed and lost its reservations."""

    server_id: str
    """Identifier of the engine."""


class GroupUnneeded(NamedTuple):
    """The group is to be released: the request has its final outcome or needs another group."""


GroupMessage = ReservationResponse | ReleaseResponse | EngineCrashed | GroupUnneeded
"""Messages to the group task."""


class GroupTask:
    """Builds the memory group of one request and renews its reservations while the request runs."""

    def __init__(
        self,
        context: node_context.NodeContext,
        request: requests.ModelRequest,
        get_candidates: Callable[[], list[memory_groups.Candidate]],
    ) -> None:
        """Create the task.

        Args:
            context: State shared by the node's tasks.
            request: Request that needs the group.
            get_candidates: Returns the engines that could join the group now.
        """
        self.mailbox: tasks.Mailbox[GroupMessage] = tasks.Mailbox()
        """Messages to this task."""
        self._context = context
        self._request = request
        self._get_candidates = get_candidates
        self._was_ready = False
        # A request may need several groups in turn; a new identifier for each keeps their
        # reservations apart.
        group_request = memory_groups.GroupRequest(
            identifiers.new_id(context.rng, "group"),
            request.prompt_tokens + request.max_tokens,
            request.deadline,
        )
        self._builder = memory_groups.GroupBuilder(
            group_request, str(context.identity), context.rng
        )

    @property
    def group_id(self) -> str:
        """Identifier of the group at the engines; it changes with each try to build one."""
        return self._builder.group_id

    async def run(self) -> None:
        """Build the group, renew it while the request runs, and release it at the end."""
        loop = asyncio.get_running_loop()
        self._carry_out(self._builder.on_start(self._get_candidates(), loop.time()))
        while not self._builder.is_done:
            message = await self.mailbox.receive(TICK_INTERVAL_SECONDS)
            now = loop.time()
            if message is not None:
                self._handle(message, now)
            self._carry_out(self._builder.on_tick(now))
            if self._builder.is_retry_due(now):
                self._carry_out(self._builder.on_start(self._get_candidates(), now))
        self._context.remove_group(self._request.request_id, self)

    @functools.singledispatchmethod
    def _handle(self, message: object, now: float) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_handle.register
    def _on_reservation_response(self, message: ReservationResponse, now: float) -> None:
        server_id, group_id, error = message
        if error is None:
            self._carry_out(self._builder.on_granted(server_id, group_id, now))
        elif isinstance(error, exchange.NotExecuted):
            self._carry_out(self._builder.on_denied(server_id, group_id, now))
        else:
            self._carry_out(self._builder.on_reservation_response_lost(server_id, group_id, now))

    @_handle.register
    def _on_release_response(self, message: ReleaseResponse, now: float) -> None:
        if message.error is None:
            self._builder.on_released(message.server_id, message.group_id)
            return
        self._carry_out(
            self._builder.on_release_response_lost(message.server_id, message.group_id, now)
        )

    @_handle.register
    def _on_engine_crashed(self, message: EngineCrashed, now: float) -> None:
        self._carry_out(self._builder.on_engine_died(message.server_id, now))

    @_handle.register
    def _on_group_unneeded(self, message: GroupUnneeded, now: float) -> None:
        self._carry_out(self._builder.on_request_ended(now))

    def _carry_out(self, effects: list[memory_groups.Effect]) -> None:
        for effect in effects:
            self._perform(effect)

    @functools.singledispatchmethod
    def _perform(self, effect: object) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_perform.register
    def _perform_reserve(self, effect: memory_groups.Reserve) -> None:
        self._context.background.start(f"reserve-{effect.group_id}", self._reserve(effect))

    @_perform.register
    def _perform_release(self, effect: memory_groups.Release) -> None:
        self._context.background.start(f"release-{effect.group_id}", self._release(effect))

    @_perform.register
    def _perform_ready(self, effect: memory_groups.GroupReady) -> None:
        self._was_ready = True
        logs.event("group_ready", group=effect.group_id, servers=",".join(effect.servers))
        self._context.group_id_by_request[self._request.request_id] = effect.group_id
        self._context.dispatch.post(
            dispatch_messages.GroupReady(self._request.request_id, effect.servers)
        )

    @_perform.register
    def _perform_failed(self, effect: memory_groups.GroupFailed) -> None:
        logs.event("group_failed", request=self._request.request_id, reason=effect.reason.value)
        if self._was_ready:
            # The attempt fails with the engine, and the request then asks for another group.
            return
        failed = outcomes.Failed(
            effect.reason,
            "no memory group could be built or kept",
            outcomes.Execution.NOT_RUN,
            effect.retry_after_seconds,
        )
        self._context.fail_request(self._request.request_id, failed)

    async def _reserve(self, effect: memory_groups.Reserve) -> None:
        address = self._context.server_address(effect.server_id)
        error: exchange.ExchangeError | None = None
        if address is None:
            error = exchange.NotExecuted(exchange.Cause.UNREACHABLE, "the server is not listed")
        else:
            response = await self._context.engines.put_reservation(
                address,
                effect.group_id,
                effect.owner,
                effect.tokens,
                effect.expires_in_seconds,
                ENGINE_TIMEOUT_SECONDS,
            )
            error = response.err_value if isinstance(response, result.Err) else None
        self.mailbox.post(ReservationResponse(effect.server_id, effect.group_id, error))

    async def _release(self, effect: memory_groups.Release) -> None:
        address = self._context.server_address(effect.server_id)
        error: exchange.ExchangeError | None = None
        if address is not None:
            response = await self._context.engines.delete_reservation(
                address, effect.group_id, ENGINE_TIMEOUT_SECONDS
            )
            error = response.err_value if isinstance(response, result.Err) else None
        self.mailbox.post(ReleaseResponse(effect.server_id, effect.group_id, error))
