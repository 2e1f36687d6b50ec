"""Admission control: refuses a new request that could not finish before its deadline."""

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
"""Retry-after of a refusal because no server has the model."""

MIN_RETRY_AFTER_SECONDS = 1.0
"""Shortest retry-after of a refusal for overload."""

MAX_RETRY_AFTER_SECONDS = 60.0
"""Longest retry-after of a refusal for overload."""

MIN_LOWER_PRIORITY_RATE_SHARE = 0.1
"""Share of an engine's prefill rate that the estimate assumes for the lower priority at least."""


class AdmissionController:
    """Admits requests that are estimated to finish before their deadline."""

    def __init__(
        self,
        policy: policies.Policy,
        engine_router: router.Router,
        estimator: run_estimator.RunEstimator,
        request_scheduler: scheduler.Scheduler,
    ) -> None:
        """Create the controller.

        Args:
            policy: The routing policy; a baseline policy never refuses for overload.
            engine_router: The node's view of the engines.
            estimator: Estimates run times from the requests that have finished.
            request_scheduler: The node's queues.
        """
        self.limits = organisation_limits.OrganisationLimits()
        """Rate limits of the organisations, and this node's share of them."""
        self._policy = policy
        self._router = engine_router
        self._estimator = estimator
        self._scheduler = request_scheduler

    def check(
        self,
        request: requests.ModelRequest,
        now: float,
        configuration: schema.Configuration,
    ) -> outcomes.Refused | None:
        """Decide on a new request.

        Args:
            request: The request.
            now: Loop time, seconds.
            configuration: The configuration in force.

        Returns:
            The refusal, or `None` if the request is admitted.
        """
        if now >= request.deadline:
            return outcomes.Refused(outcomes.Reason.DEADLINE, "The deadline has passed.")
        if request.organisation not in configuration.organisations_by_name:
            return outcomes.Refused(
                outcomes.Reason.UNKNOWN_ORGANISATION, "The organisation is not configured."
            )
        limit = configuration.organisations_by_name[request.organisation].tokens_per_second
        limit_wait = self.limits.wait_seconds(request.organisation, limit, now)
        if limit_wait > 0.0:
            return outcomes.Refused(
                outcomes.Reason.ORGANISATION_LIMIT,
                "The organisation is over its limit.",
                limit_wait,
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
        """Charge an admitted request's tokens to its organisation's limit.

        Args:
            request: The request.
            configuration: The configuration in force.
            now: Loop time, seconds.
        """
        limit = configuration.organisations_by_name[request.organisation].tokens_per_second
        tokens = request.prompt_tokens + request.max_tokens
        self.limits.charge(request.organisation, limit, tokens, now)

    def _check_deadline(
        self, request: requests.ModelRequest, configuration: schema.Configuration, now: float
    ) -> outcomes.Refused | None:
        """Refuse a request whose estimated queueing and run times exceed the time to its deadline.

        The slack is the part of that time which is left after the estimated run time; queueing
        may take only a fraction of it.
        """
        rate = self._router.capacity(request.model).prefill_tokens_per_second
        lane = lanes.lane_of(request)
        fleet = self._scheduler.fleet_lanes(request.model, now)
        tokens, share = self._scheduler.organisation_share(request, configuration)
        queue_seconds = queue_estimate.wait_seconds(
            fleet, lane, rate, tokens + request.prompt_tokens, share
        )
        demand = request_table.demand_of(request, self._policy, frozenset())
        first_token_seconds = self._router.first_token_seconds(demand, now)
        if demand.priority:
            first_token_seconds *= rate / max(
                rate - fleet.admitted_per_second[0], MIN_LOWER_PRIORITY_RATE_SHARE * rate
            )
        run_seconds = self._estimator.run_seconds(first_token_seconds, request.max_tokens)
        is_over_share = (
            tokens > share * fleet.queued_tokens[lanes.LANE_ORDER.index(lane)] / fleet.nodes
        )
        wait_fraction = (
            run_estimator.OVER_SHARE_WAIT_FRACTION
            if is_over_share
            else run_estimator.WITHIN_SHARE_WAIT_FRACTION
        )
        slack_seconds = (request.deadline - now) * run_estimator.DEADLINE_FRACTION - run_seconds
        if (
            queue_seconds <= slack_seconds * wait_fraction * self._estimator.confidence(lane)
            and slack_seconds >= 0.0
        ):
            return None
        retry_after = min(
            MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, queue_seconds - slack_seconds)
        )
        return outcomes.Refused(
            outcomes.Reason.OVERLOADED,
            "The request would not finish before its deadline.",
            retry_after,
        )
