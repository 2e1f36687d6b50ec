"""State transitions of admitted requests: queued, running, awaiting a group, ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.admission import effects, lanes, request_table, retry_budget
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from dragonflycove.admission import run_estimator, scheduler
    from dragonflycove.configuration import schema
    from dragonflycove.routing import router

FAILURE_RETRY_AFTER_SECONDS = 2.0
"""Retry-after of every failure of an admitted request."""

UNBUDGETED_RETRY_REASONS = frozenset({outcomes.Reason.SERVER_LEAVING, outcomes.Reason.PREEMPTED})
"""Reasons whose retries are not charged to the retry budget: the request did not fail."""

PREEMPTIONS_LIMIT = 3
"""Maximum number of times that one request is preempted on borrowed engines."""


class Lifecycle:
    """State transitions of a node's admitted requests."""

    def __init__(
        self,
        table: request_table.RequestTable,
        engine_router: router.Router,
        estimator: run_estimator.RunEstimator,
        request_scheduler: scheduler.Scheduler,
    ) -> None:
        """Create the lifecycle over an empty table.

        Args:
            table: The admitted requests.
            engine_router: The node's view of the engines.
            estimator: Estimates run times from the requests that have finished.
            request_scheduler: The node's queues.
        """
        self.counts_by_reason: dict[outcomes.Reason, int] = {}
        """Number of refusals, failures and retries by reason."""
        self.preemptions = 0
        """Number of preemptions on borrowed engines."""
        self.retry_budgets = retry_budget.RetryBudgets()
        """Retry budget of each service."""
        self._table = table
        self._router = engine_router
        self._estimator = estimator
        self._scheduler = request_scheduler

    def enqueue(
        self, entry: request_table.RequestEntry, configuration: schema.Configuration, now: float
    ) -> list[effects.Effect]:
        """Queue a request for an engine or a memory group.

        Args:
            entry: The request.
            configuration: The configuration in force.
            now: Loop time, seconds.

        Returns:
            Dispatches, failures and preemptions for the request's model.
        """
        request = entry.request
        entry.state = request_table.RequestState.QUEUED
        organisation = configuration.organisations_by_name.get(request.organisation)
        self._scheduler.push(entry, organisation.weight if organisation else 1.0)
        return self.dispatch_model(request.model, now)

    def retry(
        self,
        entry: request_table.RequestEntry,
        excluded: frozenset[str],
        reason: outcomes.Reason,
        configuration: schema.Configuration,
        now: float,
    ) -> list[effects.Effect]:
        """Queue a request again after its attempt failed, or fail it.

        A request fails if its deadline has passed, every server is excluded, or its service's
        retry budget is used up.

        Args:
            entry: The request.
            excluded: Identifiers of the engines that it must not run on again.
            reason: Why the attempt failed.
            configuration: The configuration in force.
            now: Loop time, seconds.

        Returns:
            The request's failure; or dispatches, failures and preemptions for its model.
        """
        request = entry.request
        self.release(entry)
        entry.state = request_table.RequestState.ATTEMPT_FAILED
        self.count(reason)
        entry.demand = entry.demand._replace(excluded=excluded)
        if now >= request.deadline:
            return [self.fail(entry, outcomes.Reason.DEADLINE, "The deadline passed.")]
        if all(server_id in excluded for server_id in self._router.candidates(request.model)):
            return [self.fail(entry, outcomes.Reason.NO_SERVER, "No other server is left.")]
        if reason not in UNBUDGETED_RETRY_REASONS and not self.retry_budgets.spend(
            request.service, now
        ):
            text = "The service's retry budget is used up."
            return [self.fail(entry, outcomes.Reason.RETRY_BUDGET, text)]
        return self.enqueue(entry, configuration, now)

    def dispatch_queued(self, now: float) -> list[effects.Effect]:
        """Dispatch the queued requests of every model that an engine can take now.

        Args:
            now: Loop time, seconds.

        Returns:
            Dispatches, requests for memory groups, failures and preemptions.
        """
        models = list(self._scheduler.lanes_by_model)
        return [effect for model in models for effect in self.dispatch_model(model, now)]

    def dispatch_model(self, model: str, now: float) -> list[effects.Effect]:
        """Dispatch the queued requests of one model that an engine can take now.

        If a short or medium interactive request is left in the queue, one request that runs on
        a borrowed engine is preempted.

        Args:
            model: Name of the model.
            now: Loop time, seconds.

        Returns:
            Dispatches, requests for memory groups, failures and preemptions.
        """
        self._router.expire_limits(now)
        produced: list[effects.Effect] = []
        for entry, choice, candidates in self._scheduler.assignments(model, now):
            if choice is None:
                entry.state = request_table.RequestState.AWAITING_GROUP
                self._table.awaiting_group_ids.add(entry.request.request_id)
                produced.append(effects.NeedsGroup(entry.request, candidates))
                continue
            entry.is_borrower = choice.is_borrowed
            uncached = entry.demand.prompt_tokens - choice.cached_tokens
            rate = self._router.capacity(model).mean_prefill_tokens_per_second
            if now + uncached / rate > entry.request.deadline:
                produced.append(self._fail_unreachable_deadline(entry))
                continue
            produced.append(self.dispatch(entry, (choice.server_id,), uncached, now))
        if self._scheduler.has_queued_interactive(model):
            produced += self._preempt_newest_borrower(model)
        return produced

    def _fail_unreachable_deadline(self, entry: request_table.RequestEntry) -> effects.Effect:
        """Fail a request whose prompt cannot be prefilled before its deadline."""
        entry.state = request_table.RequestState.ATTEMPT_FAILED
        text = "The prompt can no longer be prefilled before the deadline."
        return self.fail(entry, outcomes.Reason.DEADLINE, text)

    def _preempt_newest_borrower(self, model: str) -> list[effects.Effect]:
        """Preempt the newest request on a borrowed engine, unless a preemption is in progress."""
        borrowers = [
            entry for entry in self._table.borrowers_by_id.values() if entry.request.model == model
        ]
        if not borrowers or any(entry.is_preempted for entry in borrowers):
            return []
        newest = max(borrowers, key=lambda entry: (entry.dispatched_at, entry.request.request_id))
        newest.is_preempted = True
        newest.preemptions += 1
        self.preemptions += 1
        return [effects.Preempt(newest.request.request_id, newest.servers[0])]

    def dispatch(
        self,
        entry: request_table.RequestEntry,
        servers: tuple[str, ...],
        uncached_tokens: int,
        now: float,
    ) -> effects.Dispatch:
        """Start an attempt of a request.

        Args:
            entry: The request.
            servers: Identifier of the engine, or of the memory group's engines, the lead first.
            uncached_tokens: Prompt tokens to prefill.
            now: Loop time, seconds.

        Returns:
            The dispatch.
        """
        self._table.awaiting_group_ids.discard(entry.request.request_id)
        entry.state = request_table.RequestState.RUNNING
        entry.servers = servers
        entry.dispatched_at = now
        entry.first_token_at = None
        entry.generated_tokens = 0
        entry.attempts += 1
        entry.is_preempted = False
        if entry.is_borrower and entry.preemptions < PREEMPTIONS_LIMIT:
            self._table.borrowers_by_id[entry.request.request_id] = entry
        request_id = entry.request.request_id
        self._router.acquire_slots(servers, request_id, entry.demand, uncached_tokens, now)
        group = servers if len(servers) > 1 else ()
        return effects.Dispatch(entry.request, servers[0], entry.demand.priority, group)

    def on_first_token(self, entry: request_table.RequestEntry, now: float) -> None:
        """Record a running request's first token; from now on it is not preempted.

        Args:
            entry: The request.
            now: Loop time, seconds.
        """
        if entry.first_token_at is None:
            entry.first_token_at = now
        self._table.borrowers_by_id.pop(entry.request.request_id, None)
        self._router.on_prefill_done(entry.servers, entry.request.request_id, entry.demand)

    def release(self, entry: request_table.RequestEntry) -> None:
        """Free the slots of a running request, or remove a queued one from its queue.

        Args:
            entry: The request.
        """
        self._table.borrowers_by_id.pop(entry.request.request_id, None)
        self._table.awaiting_group_ids.discard(entry.request.request_id)
        if entry.state is request_table.RequestState.RUNNING:
            self._router.release_slots(entry.servers, entry.request.request_id)
        elif entry.state is request_table.RequestState.QUEUED:
            self._scheduler.remove(entry)

    def end(self, entry: request_table.RequestEntry) -> None:
        """Release a request's slots or queue entry, and remove it from the table.

        Args:
            entry: The request.
        """
        self.release(entry)
        self._table.remove(entry)

    def fail(
        self, entry: request_table.RequestEntry, reason: outcomes.Reason, detail: str
    ) -> effects.Effect:
        """End a request with a failure.

        Args:
            entry: The request.
            reason: Reason of the failure, for the caller and the counters.
            detail: One sentence for the caller.

        Returns:
            The failure.
        """
        ran = outcomes.Execution.MAY_HAVE_RUN if entry.attempts else outcomes.Execution.NOT_RUN
        self.end(entry)
        self.count(reason)
        if reason is outcomes.Reason.DEADLINE:
            self._estimator.on_deadline_missed(lanes.lane_of(entry.request))
        outcome = outcomes.Failed(reason, detail, ran, FAILURE_RETRY_AFTER_SECONDS)
        return effects.Fail(entry.request.request_id, outcome)

    def count(self, reason: outcomes.Reason) -> None:
        """Count a refusal, failure or retry.

        Args:
            reason: The counter to increment.
        """
        self.counts_by_reason[reason] = self.counts_by_reason.get(reason, 0) + 1
