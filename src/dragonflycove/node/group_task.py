"""The task of one memory group: carries out what its builder decides."""

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

TICK_SECONDS = 0.25
"""Time between looks at what is due, seconds."""

CALL_SECONDS = 2.0
"""Bound on one order to an engine, seconds."""


class ReservationAnswer(NamedTuple):
    """An engine's answer to a reservation."""

    server_id: str
    """The engine."""

    group_id: str
    """The group."""

    error: exchange.ExchangeError | None
    """Why there is no reservation; `None` if there is."""


class ReleaseAnswer(NamedTuple):
    """An engine's answer to a release."""

    server_id: str
    """The engine."""

    group_id: str
    """The group."""

    error: exchange.ExchangeError | None
    """Why it is not confirmed; `None` if it is."""


class EngineDied(NamedTuple):
    """An engine died."""

    server_id: str
    """The engine."""


class RequestEnded(NamedTuple):
    """The request has its outcome."""


GroupMessage = ReservationAnswer | ReleaseAnswer | EngineDied | RequestEnded
"""What the task takes."""


class GroupTask:
    """Owns the builder of one request's memory group."""

    def __init__(
        self,
        context: node_context.NodeContext,
        request: requests.ModelRequest,
        candidates: Callable[[], list[memory_groups.Candidate]],
    ) -> None:
        """Create the task.

        Args:
            context: What all tasks of the node share.
            request: The request.
            candidates: Returns the engines that could take part now.
        """
        self.mailbox: tasks.Mailbox[GroupMessage] = tasks.Mailbox()
        """Messages to this task."""
        self._context = context
        self._request = request
        self._candidates = candidates
        self._was_ready = False
        # A request may have one group after another, whose reservations must not be mixed up.
        wanted = memory_groups.GroupRequest(
            identifiers.new_id(context.rng, "group"),
            request.prompt_tokens + request.max_tokens,
            request.deadline,
        )
        self._builder = memory_groups.GroupBuilder(wanted, str(context.identity), context.rng)

    @property
    def group_id(self) -> str:
        """Identifier of the present try's group at the engines."""
        return self._builder.group_id

    async def run(self) -> None:
        """Build the group, keep it while the request runs, and release it."""
        loop = asyncio.get_running_loop()
        self._carry_out(self._builder.on_start(self._candidates(), loop.time()))
        while not self._builder.is_done:
            message = await self.mailbox.receive(TICK_SECONDS)
            now = loop.time()
            if message is not None:
                self._handle(message, now)
            self._carry_out(self._builder.on_tick(now))
            if self._builder.is_retry_due(now):
                self._carry_out(self._builder.on_start(self._candidates(), now))
        self._context.remove_group(self._request.request_id, self)

    @functools.singledispatchmethod
    def _handle(self, message: object, now: float) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_handle.register
    def _on_reservation_answer(self, message: ReservationAnswer, now: float) -> None:
        server_id, group_id, error = message
        if error is None:
            self._carry_out(self._builder.on_granted(server_id, group_id, now))
        elif isinstance(error, exchange.NotExecuted):
            self._carry_out(self._builder.on_denied(server_id, group_id, now))
        else:
            self._carry_out(self._builder.on_reservation_response_lost(server_id, group_id, now))

    @_handle.register
    def _on_release_answer(self, message: ReleaseAnswer, now: float) -> None:
        if message.error is None:
            self._builder.on_released(message.server_id, message.group_id)
            return
        self._carry_out(
            self._builder.on_release_response_lost(message.server_id, message.group_id, now)
        )

    @_handle.register
    def _on_engine_died(self, message: EngineDied, now: float) -> None:
        self._carry_out(self._builder.on_engine_died(message.server_id, now))

    @_handle.register
    def _on_request_ended(self, message: RequestEnded, now: float) -> None:
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
            # Its attempt breaks with the engine, and the request's life asks for another group.
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
            answer = await self._context.engines.put_reservation(
                address,
                effect.group_id,
                effect.owner,
                effect.tokens,
                effect.expires_in_seconds,
                CALL_SECONDS,
            )
            error = answer.err_value if isinstance(answer, result.Err) else None
        self.mailbox.post(ReservationAnswer(effect.server_id, effect.group_id, error))

    async def _release(self, effect: memory_groups.Release) -> None:
        address = self._context.server_address(effect.server_id)
        error: exchange.ExchangeError | None = None
        if address is not None:
            answer = await self._context.engines.delete_reservation(
                address, effect.group_id, CALL_SECONDS
            )
            error = answer.err_value if isinstance(answer, result.Err) else None
        self.mailbox.post(ReleaseAnswer(effect.server_id, effect.group_id, error))
