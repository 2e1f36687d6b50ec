"""Decides at once whether a new request is admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.admission import entries, lanes, promise
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from dragonflycove.admission import scheduler
    from dragonflycove.configuration import schema
    from dragonflycove.routing import policies, router
    from dragonflycove.values import requests

NO_SERVER_RETRY_SECONDS = 2.0
"""When to come back where no server takes the request now."""

RETRY_FLOOR_SECONDS = 1.0
"""Least time to come back after a refusal for overload."""

RETRY_CEILING_SECONDS = 60.0
"""Longest time to come back after a refusal for overload."""


class Gate:
    """Admits only what the estimate says ends by its deadline."""

    def __init__(
        self,
        policy: policies.Policy,
        servers: router.Router,
        estimates: promise.Promise,
        waiting: scheduler.Scheduler,
    ) -> None:
        """Create the gate.

        Args:
            policy: The routing policy; a baseline refuses nothing for overload.
            servers: The node's view of the engines.
            estimates: How requests have run so far.
            waiting: What waits in the node.
        """
        self._policy = policy
        self._router = servers
        self._promise = estimates
        self._scheduler = waiting

    def check(
        self,
        request: requests.ModelRequest,
        now: float,
        configuration: schema.Configuration,
    ) -> outcomes.Refused | None:
        """Decide on a new request.

        Args:
            request: The request.
            now: Time, seconds.
            configuration: The configuration that is in force.

        Returns:
            The refusal, or `None` where the request is admitted.
        """
        if now >= request.deadline:
            return outcomes.Refused(outcomes.Reason.DEADLINE, "The deadline has passed.")
        if request.organisation not in configuration.organisations_by_name:
            return outcomes.Refused(
                outcomes.Reason.UNKNOWN_ORGANISATION, "The organisation is not configured."
            )
        if not self._router.candidates(request.model):
            return outcomes.Refused(
                outcomes.Reason.NO_SERVER, "No server has the model.", NO_SERVER_RETRY_SECONDS
            )
        if self._policy.is_baseline:
            return None
        return self._check_promise(request, now)

    def _check_promise(self, request: requests.ModelRequest, now: float) -> outcomes.Refused | None:
        capacity = self._router.capacity(request.model)
        ahead = promise.Waiting(0.0, 0.0, capacity.prefill_tokens_per_second, capacity.slots)
        lane_set = self._scheduler.lanes_by_model.get(request.model)
        if lane_set is not None:
            tokens = lane_set.tokens_ahead(lanes.lane_of(request))
            tokens += self._router.peers.queued_tokens(request.urgency)
            ahead = ahead._replace(tokens=tokens, requests=len(lane_set))
        demand = entries.demand_of(request, self._policy, frozenset())
        first_token = self._router.first_token_seconds(demand, now)
        needed = self._promise.queue_seconds(ahead)
        needed += self._promise.run_seconds(first_token, request.max_tokens)
        left = request.deadline - now
        if needed <= left * promise.OWN_SHARE_PATIENCE:
            return None
        retry_after = min(RETRY_CEILING_SECONDS, max(RETRY_FLOOR_SECONDS, needed - left))
        return outcomes.Refused(
            outcomes.Reason.OVERLOADED, "It would not end by its deadline.", retry_after
        )
