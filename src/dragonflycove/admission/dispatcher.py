"""Dispatcher of model requests: admission, queueing and placement on engines, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.admission import (
    admission_control,
    dispatcher_status,
    effects,
    lanes,
    lifecycle,
    request_table,
    run_estimator,
    scheduler,
)
from dragonflycove.configuration import schema
from dragonflycove.routing import load_digests, policies, router
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from dragonflycove.routing import load_view, prefix_map
    from dragonflycove.values import requests

FAILURE_COOLDOWN_SECONDS = 0.5
"""Time after a failed attempt in which its server gets no new work from this node."""

QUEUE_TICK_SECONDS = 0.1
"""Interval between attempts to dispatch from the queue while requests wait."""


class Dispatcher:
    """Admits requests, queues them fairly and places them on engines.

    Every method that can change what may run returns effects, which the caller has to carry out
    in order.
    """

    def __init__(self, policy: policies.Policy, rng: random.Random, host: str) -> None:
        """Create a dispatcher without a configuration.

        Args:
            policy: The routing policy.
            rng: Source of randomness for the choice between servers.
            host: Name of the node's host, sent in its load digests.
        """
        self._host = host
        self.policy = policy
        """The routing policy."""
        self.router = router.Router(policy, rng)
        """The node's view of the engines."""
        self.configuration = schema.EMPTY
        """The configuration in force."""
        self._table = request_table.RequestTable()
        self._estimator = run_estimator.RunEstimator()
        self._scheduler = scheduler.Scheduler(self._table, self.router, self._estimator)
        self._lifecycle = lifecycle.Lifecycle(
            self._table, self.router, self._estimator, self._scheduler
        )
        self._admission = admission_control.AdmissionController(
            policy, self.router, self._estimator, self._scheduler
        )

    @classmethod
    def from_config(
        cls,
        configuration: schema.Configuration,
        zone: str,
        policy: policies.Policy,
        rng: random.Random,
        host: str = "",
    ) -> Dispatcher:
        """Create a dispatcher with a configuration.

        Args:
            configuration: The configuration in force.
            zone: The node's availability zone; not used.
            policy: The routing policy.
            rng: Source of randomness for the choice between servers.
            host: Name of the node's host, sent in its load digests.

        Returns:
            The dispatcher.
        """
        dispatcher = cls(policy, rng, host)
        dispatcher.set_configuration(configuration, 0.0)
        return dispatcher

    def set_configuration(
        self, configuration: schema.Configuration, now: float
    ) -> list[effects.Effect]:
        """Replace the configuration in force.

        Args:
            configuration: The new configuration.
            now: Loop time, seconds.

        Returns:
            Failures of queued requests whose model has no server left, and new dispatches.
        """
        self.configuration = configuration
        self.router.set_configuration(configuration)
        failed: list[effects.Effect] = []
        for entry in self._table.queued():
            if not self.router.candidates(entry.request.model):
                failed.append(
                    self._lifecycle.fail(
                        entry, outcomes.Reason.NO_SERVER, "No server has the model any more."
                    )
                )
        return failed + self._lifecycle.dispatch_queued(now)

    def set_limits(
        self,
        limits_by_server: Mapping[str, int],
        now: float,
        valid_for_seconds: float = float("inf"),
    ) -> list[effects.Effect]:
        """Replace this node's limits on requests in flight at each engine.

        Args:
            limits_by_server: Requests in flight by engine identifier; an engine that isn't listed
                is limited by its concurrency.
            now: Loop time, seconds.
            valid_for_seconds: Time after which no engine gets new work until limits are set again.

        Returns:
            Effects of dispatching queued requests.
        """
        self.router.set_limits(limits_by_server, now + valid_for_seconds)
        return self._lifecycle.dispatch_queued(now)

    def set_organisation_share(self, share: float) -> None:
        """Set the share of each organisation's limit that this node may admit.

        Args:
            share: From 0 to 1; 1 before the first call.
        """
        self._admission.limits.share = share

    def on_report(self, report: load_view.LoadReport, now: float) -> list[effects.Effect]:
        """Update the load view from an engine's load report.

        Args:
            report: The report.
            now: Loop time, seconds.

        Returns:
            Effects of dispatching queued requests.
        """
        self.router.on_report(report, now)
        return self._lifecycle.dispatch_queued(now)

    def on_cache_events(
        self, server_id: str, page: prefix_map.CachePage, now: float
    ) -> list[effects.Effect]:
        """Update the prefix map from events of an engine's prefix cache.

        Args:
            server_id: Identifier of the engine.
            page: The events.
            now: Loop time, seconds; not used.

        Returns:
            No effects.
        """
        self.router.prefixes.on_page(server_id, page)
        return []

    def on_peer_digest(self, digest: load_digests.LoadDigest, now: float) -> list[effects.Effect]:
        """Count a peer's dispatched and queued work in this node's estimates.

        Args:
            digest: The peer's load digest.
            now: Loop time, seconds.

        Returns:
            No effects.
        """
        self.router.peers.on_digest(digest, self.router.view, now)
        return []

    def digest(self, now: float) -> load_digests.LoadDigest:
        """Make the load digest to send to the peers.

        Also drops digests of peers that are too old, and updates the share of the short pool that
        prompts of the higher priority use.

        Args:
            now: Loop time, seconds.

        Returns:
            The digest, of bounded size.
        """
        self.router.peers.expire(self.router.view, now)
        for item in self._scheduler.lane_loads(now):
            admitted = self._scheduler.fleet_lanes(item.model, now).admitted_per_second[0]
            self.router.set_high_priority_rate(item.model, admitted)
        pending_work = load_digests.collect_pending_work(self.router.view.loads_by_id.values())
        return load_digests.LoadDigest(
            self._host, 0.0, pending_work, self._scheduler.lane_loads(now)
        )

    def submit(self, request: requests.ModelRequest, now: float) -> list[effects.Effect]:
        """Admit a new request, or refuse it at once.

        Args:
            request: The request.
            now: Loop time, seconds.

        Returns:
            The refusal; or, for an admitted request, effects such as its dispatch or the request
            for a memory group; none while it is queued.
        """
        refused = self._admission.check(request, now, self.configuration)
        if request.request_id in self._table.entries_by_id:
            refused = outcomes.Refused(
                outcomes.Reason.ALREADY_RUNNING, "A request with this identifier is in flight."
            )
        if refused is not None:
            self._lifecycle.count(refused.reason)
            return [effects.Refuse(request.request_id, refused)]
        self._lifecycle.retry_budgets.on_admitted(request.service, now)
        self._scheduler.on_admitted(request, now)
        self._admission.on_admitted(request, self.configuration, now)
        entry = request_table.RequestEntry(
            request, request_table.demand_of(request, self.policy, frozenset())
        )
        self._table.add(entry)
        return self._lifecycle.enqueue(entry, self.configuration, now)

    def resubmit(
        self,
        request: requests.ModelRequest,
        now: float,
        excluded: frozenset[str],
        reason: outcomes.Reason,
    ) -> list[effects.Effect]:
        """Queue an admitted request for a retry after its attempt failed.

        Args:
            request: The request.
            now: Loop time, seconds.
            excluded: Identifiers of the engines that it must not run on again.
            reason: Why the attempt failed.

        Returns:
            Its failure if it can't be retried; else effects such as its dispatch, none while it
            is queued or if it has ended.
        """
        entry = self._table.entries_by_id.get(request.request_id)
        if entry is None:
            return []
        return self._lifecycle.retry(entry, excluded, reason, self.configuration, now)

    def on_group_ready(
        self, request_id: str, engines: tuple[str, ...], now: float
    ) -> list[effects.Effect]:
        """Dispatch a request on the memory group that was built for it.

        A group with a member that may get no new work from this node is not used: the request is
        queued again. Whenever no dispatch of the request is returned, the caller releases the
        group.

        Args:
            request_id: Identifier of the request.
            engines: Identifiers of the group's members, the lead first.
            now: Loop time, seconds.

        Returns:
            The dispatch, or what queueing the request again made possible; no effects if the
            request no longer waits for a group.
        """
        entry = self._table.entries_by_id.get(request_id)
        if entry is None or entry.state is not request_table.RequestState.AWAITING_GROUP:
            return []
        if not self.router.have_free_slots(engines, entry.request.model, now):
            self._lifecycle.release(entry)
            return self._lifecycle.enqueue(entry, self.configuration, now)
        return [self._lifecycle.dispatch(entry, engines, entry.demand.prompt_tokens, now)]

    def on_first_token(self, request_id: str, now: float) -> list[effects.Effect]:
        """Record that a request's prefill is done because its first token arrived.

        Args:
            request_id: Identifier of the request.
            now: Loop time, seconds.

        Returns:
            Effects of dispatching queued requests.
        """
        entry = self._table.entries_by_id.get(request_id)
        if entry is None or entry.state is not request_table.RequestState.RUNNING:
            return []
        self._lifecycle.on_first_token(entry, now)
        return self._lifecycle.dispatch_queued(now)

    def on_tokens(self, request_id: str, count: int, now: float) -> list[effects.Effect]:
        """Count generated tokens of a request for the decode rate.

        Args:
            request_id: Identifier of the request.
            count: Number of tokens since the last call.
            now: Loop time, seconds; not used.

        Returns:
            No effects.
        """
        entry = self._table.entries_by_id.get(request_id)
        if entry is not None:
            entry.generated_tokens += count
        return []

    def on_finished(self, request_id: str, now: float) -> list[effects.Effect]:
        """End a request whose response is complete.

        Args:
            request_id: Identifier of the request.
            now: Loop time, seconds.

        Returns:
            Effects of dispatching queued requests.
        """
        entry = self._table.entries_by_id.get(request_id)
        if entry is None:
            return []
        if entry.state is request_table.RequestState.RUNNING:
            first_token_at = now if entry.first_token_at is None else entry.first_token_at
            self._estimator.on_finished(
                now - entry.dispatched_at, now - first_token_at, entry.generated_tokens
            )
        self._estimator.on_deadline_met(lanes.lane_of(entry.request))
        self._lifecycle.end(entry)
        return self._lifecycle.dispatch_queued(now)

    def on_attempt_failed(
        self, request_id: str, server_id: str, reason: outcomes.Reason, now: float
    ) -> list[effects.Effect]:
        """Free the slot of a failed attempt and send its server no new work for a cooldown.

        The caller decides what follows and calls `resubmit` or `withdraw`.

        Args:
            request_id: Identifier of the request.
            server_id: Identifier of the attempt's server.
            reason: Why it failed; after a crash the cooldown is that of a restart.
            now: Loop time, seconds.

        Returns:
            Effects of dispatching queued requests.
        """
        is_crash = reason is outcomes.Reason.BACKEND_CRASHED
        cooldown = router.RESTART_COOLDOWN_SECONDS if is_crash else FAILURE_COOLDOWN_SECONDS
        self.router.block(server_id, now + cooldown)
        entry = self._table.entries_by_id.get(request_id)
        if entry is not None and server_id in entry.servers:
            self._lifecycle.release(entry)
            entry.state = request_table.RequestState.ATTEMPT_FAILED
        return self._lifecycle.dispatch_queued(now)

    def withdraw(self, request_id: str, now: float) -> list[effects.Effect]:
        """Remove a request that the node ended, for example because its caller disconnected.

        Args:
            request_id: Identifier of the request; an unknown one changes nothing.
            now: Loop time, seconds.

        Returns:
            Effects of dispatching queued requests.
        """
        entry = self._table.entries_by_id.get(request_id)
        if entry is not None:
            self._lifecycle.end(entry)
        return self._lifecycle.dispatch_queued(now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Fail requests whose deadline has passed, and dispatch from the queue.

        Args:
            now: Loop time, seconds.

        Returns:
            Failures and new dispatches.
        """
        failed: list[effects.Effect] = []
        while (entry := self._table.overdue(now)) is not None:
            failed.append(
                self._lifecycle.fail(entry, outcomes.Reason.DEADLINE, "The deadline passed.")
            )
        return failed + self._lifecycle.dispatch_queued(now)

    def next_tick(self, now: float) -> float:
        """Return when to call `tick` next.

        Args:
            now: Loop time, seconds.

        Returns:
            Loop time, seconds; infinite if there is no request.
        """
        deadline = self._table.next_deadline()
        return min(deadline, now + QUEUE_TICK_SECONDS) if self.queued else deadline

    @property
    def queued(self) -> int:
        """Number of requests in this node's queues."""
        return len(self._scheduler)

    def status(self) -> dispatcher_status.DispatcherStatus:
        """Return counts and rates for the status page."""
        states = [entry.state for entry in self._table.entries_by_id.values()]
        return dispatcher_status.DispatcherStatus(
            len(self._scheduler),
            self._scheduler.queued_tokens(),
            states.count(request_table.RequestState.RUNNING),
            states.count(request_table.RequestState.AWAITING_GROUP),
            self._estimator.decode_tokens_per_second,
            dict(self._lifecycle.counts_by_reason),
            self._lifecycle.preemptions,
        )
