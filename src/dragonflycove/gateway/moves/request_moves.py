"""Moves requests away from silent servers once another server has room for them.

A silent server may be dead, or pause and go on. Its response is awaited until the retry is paid for
and another server has room, so that a refusal of either never ends a request that could still be
served.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from dragonflycove.fleet import forwarding
from dragonflycove.gateway import send_values

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import retry_budget_share
    from dragonflycove.gateway import reach_watch, request_context
    from dragonflycove.gateway.moves import attempt_placer

MAX_ATTEMPTS_PER_REQUEST = 4
"""Maximum attempts of one request, refused ones included; the retry budget also limits them."""

BUDGET_CHECK_SECONDS = 0.1
"""Interval at which a request at a silent server checks whether it may be retried."""

PLACEMENT_RETRY_SECONDS = 0.25
"""Time from a refused placement of such a request until the next one is requested."""


class RequestMoves:
    """Charges and places the next attempts of requests whose servers are silent."""

    def __init__(
        self,
        placer: attempt_placer.AttemptPlacer,
        reach: reach_watch.ReachWatch,
        retry_budget: retry_budget_share.RetryBudgetShare,
        count_senders: Callable[[float], int],
    ) -> None:
        """Create without requests.

        Args:
            placer: Places attempts.
            reach: Knows which services this node reaches no server of.
            retry_budget: This node's share of the retry budget.
            count_senders: Returns how many nodes share the retry budget at a loop time.
        """
        self._placer = placer
        self._reach = reach
        self._retry_budget = retry_budget
        self._count_senders = count_senders

    async def secure(
        self,
        context: request_context.RequestContext,
        state: send_values.RequestState,
        silent_server_id: str,
    ) -> None:
        """Return once a request may leave its silent server, with `state.replacement` set.

        While this node reaches no server of the service, another node has to find the place, and
        `state.replacement` stays None.

        Args:
            context: The request.
            state: What its attempts have led to so far.
            silent_server_id: Id of the server.
        """
        for pause in itertools.repeat(PLACEMENT_RETRY_SECONDS):
            await self.wait_until_allowed(context, state)
            if self._reach.is_unreached(context.service):
                return
            if await self._place(context, state, silent_server_id):
                return
            await asyncio.sleep(pause)

    def has_attempt_left(
        self, context: request_context.RequestContext, state: send_values.RequestState
    ) -> bool:
        """Whether a request may be retried after its server has been silent, the budget aside.

        Args:
            context: The request.
            state: What its attempts have led to so far.
        """
        after = state.ends_after_silence()
        return (
            context.route.is_retryable
            and forwarding.has_attempt_left(after, context.route)
            and len(after) < MAX_ATTEMPTS_PER_REQUEST
        )

    async def wait_until_allowed(
        self, context: request_context.RequestContext, state: send_values.RequestState
    ) -> None:
        """Return once a request may be retried after its server has been silent.

        Args:
            context: The request.
            state: What its attempts have led to so far.
        """
        loop = asyncio.get_running_loop()
        for pause in itertools.repeat(BUDGET_CHECK_SECONDS):
            # Another node may have reported a further attempt meanwhile.
            if not self.has_attempt_left(context, state):
                await asyncio.Event().wait()
            now = loop.time()
            if self._retry_budget.can_spend(context.service, self._count_senders(now), now):
                return
            await asyncio.sleep(pause)

    async def _place(
        self,
        context: request_context.RequestContext,
        state: send_values.RequestState,
        silent_server_id: str,
    ) -> bool:
        """Charge a retry and place it; the charge is taken back if it can't be placed.

        Once placed, it is charged anew, as the window of the budget counts retries when they are
        sent.
        """
        loop = asyncio.get_running_loop()
        charged_at = loop.time()
        if not self._spend(context.service, charged_at):
            return False
        excluded = [*state.excluded, silent_server_id]
        try:
            placed = await self._placer.place(context, excluded, state.progress)
        finally:
            self._retry_budget.take_back(context.service, charged_at)
        if not isinstance(placed, send_values.PlacedAttempt):
            return False
        placed_at = loop.time()
        if not self._spend(context.service, placed_at):
            self._placer.release(placed)
            return False
        state.replacement, state.charged_at = placed, placed_at
        return True

    def _spend(self, service: str, now: float) -> bool:
        return self._retry_budget.spend(service, self._count_senders(now), now)

    def release(
        self, context: request_context.RequestContext, state: send_values.RequestState
    ) -> None:
        """Give up a place and take back a charge that are not used, if there are any.

        Args:
            context: The request.
            state: What its attempts have led to so far.
        """
        if state.replacement is not None:
            self._placer.release(state.replacement)
            state.replacement = None
        if state.charged_at is not None:
            self._retry_budget.take_back(context.service, state.charged_at)
            state.charged_at = None
