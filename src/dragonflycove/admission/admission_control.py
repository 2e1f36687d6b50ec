"""Decides at once whether a new request is admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.admission import (
    lanes,
    organisation_limits,
    queue_estimate,
    request_table,
    run_estimator,
)
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from dragonflycove.admission import scheduler
    from dragonflycove.configuration import schema
    from dragonflycove.routing import policies, router
    from dragonflycove.values import requests

NO_SERVER_RETRY_AFTER_SECONDS = 2.0
"""When to come back where no server takes the request now."""

MIN_RETRY_AFTER_SECONDS = 1.0
"""Least time to come back after a refusal for overload."""

MAX_RETRY_AFTER_SECONDS = 60.0
"""Longest time to come back after a refusal for overload."""

MIN_LOWER_PRIORITY_RATE_SHARE = 0.1
"""Least share of an engine that prompts of the lower priority are taken to get."""


class AdmissionController:
    """Admits only what the estimate says ends by its deadline."""

    def __init__(
        self,
        policy: policies.Policy,
        servers: router.Router,
        estimator: run_estimator.RunEstimator,
        waiting: scheduler.Scheduler,
    ) -> None:
        """Create the gate.

        Args:
            policy: The routing policy; a baseline refuses nothing for overload.
            servers: The node's view of the engines.
            estimates: How requests have run so far.
            waiting: What waits in the node.
        """
        self.limits = organisation_limits.OrganisationLimits()
        self._policy = policy
        self._router = servers
        self._estimator = estimator
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
        limit = configuration.organisations_by_name[request.organisation].tokens_per_second
        over = self.limits.wait_seconds(request.organisation, limit, now)
        if over > 0.0:
            return outcomes.Refused(
                outcomes.Reason.ORGANISATION_LIMIT, "The organisation is over its limit.", over
            )
        if not self._router.candidates(request.model):
            return outcomes.Refused(
                outcomes.Reason.NO_SERVER, "No server has the model.", NO_SERVER_RETRY_AFTER_SECONDS
            )
        if self._policy.is_baseline:
            return None
        return self._check_deadline(request, configuration, now)

    def on_admitted(
        self, request: requests.ModelRequest, configuration: schema.Configuration, now: float
    ) -> None:
        """Charge an admitted request to its organisation.

        Args:
            request: The request.
            configuration: The configuration that is in force.
            now: Time, seconds.
        """
        limit = configuration.organisations_by_name[request.organisation].tokens_per_second
        tokens = request.prompt_tokens + request.max_tokens
        self.limits.charge(request.organisation, limit, tokens, now)

    def _check_deadline(
        self, request: requests.ModelRequest, configuration: schema.Configuration, now: float
    ) -> outcomes.Refused | None:
        rate = self._router.capacity(request.model).prefill_tokens_per_second
        lane = lanes.lane_of(request)
        fleet = self._scheduler.fleet_lanes(request.model, now)
        tokens, share = self._scheduler.organisation_share(request, configuration)
        wait = queue_estimate.wait_seconds(fleet, lane, rate, tokens + request.prompt_tokens, share)
        demand = request_table.demand_of(request, self._policy, frozenset())
        first_token = self._router.first_token_seconds(demand, now)
        if demand.priority:
            first_token *= rate / max(
                rate - fleet.admitted_per_second[0], MIN_LOWER_PRIORITY_RATE_SHARE * rate
            )
        run = self._estimator.run_seconds(first_token, request.max_tokens)
        is_over = tokens > share * fleet.queued_tokens[lanes.LANE_ORDER.index(lane)] / fleet.nodes
        wait_fraction = (
            run_estimator.OVER_SHARE_WAIT_FRACTION
            if is_over
            else run_estimator.WITHIN_SHARE_WAIT_FRACTION
        )
        spare = (request.deadline - now) * run_estimator.DEADLINE_FRACTION - run
        if wait <= spare * wait_fraction * self._estimator.confidence(lane) and spare >= 0.0:
            return None
        retry_after = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait - spare))
        return outcomes.Refused(
            outcomes.Reason.OVERLOADED, "It would not end by its deadline.", retry_after
        )
