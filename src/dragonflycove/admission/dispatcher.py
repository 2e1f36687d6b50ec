"""The one object that a node drives to admit, order and place model requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.admission import effects, entries, gate, promise, retry_budget, scheduler
from dragonflycove.configuration import schema
from dragonflycove.routing import digests, policies, router
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from dragonflycove.routing import load_view, prefix_map
    from dragonflycove.values import requests

BLOCK_SECONDS = 0.5
"""Time for which a server gets nothing after an attempt failed there."""

RETRY_AFTER_SECONDS = 2.0
"""When to come back where there is no better estimate."""

QUEUE_TICK_SECONDS = 0.1
"""Interval between looks at the queue while requests wait."""


class Snapshot(NamedTuple):
    """The dispatcher's state in figures."""

    queued: int
    """Requests that wait in this node."""
    queued_tokens: int
    """Their tokens."""
    running: int
    """Requests that were dispatched."""
    awaiting_group: int
    """Requests that wait for a memory group."""
    decode_tokens_per_second: float
    """Rate at which one stream is generated."""
    counts_by_reason: dict[outcomes.Reason, int]
    """Refusals, failures and retries since the start."""


class Dispatcher:
    """Admits requests, queues them fairly and places them on engines."""

    def __init__(self, policy: policies.Policy, rng: random.Random, host: str) -> None:
        """Create a dispatcher without a configuration.

        Args:
            policy: The routing policy.
            rng: The generator to draw from.
            host: Name of the node's host.
        """
        self._host = host
        self.policy = policy
        self.router = router.Router(policy, rng)
        self.configuration = schema.EMPTY
        self._book = entries.Book()
        self._budgets_by_service: dict[str, retry_budget.RetryBudget] = {}
        self._promise = promise.Promise()
        self._scheduler = scheduler.Scheduler(self._book, self.router, self._promise)
        self._gate = gate.Gate(policy, self.router, self._promise, self._scheduler)
        self._counts_by_reason: dict[outcomes.Reason, int] = {}

    @classmethod
    def from_config(
        cls,
        configuration: schema.Configuration,
        zone: str,
        policy: policies.Policy,
        rng: random.Random,
        host: str = "",
    ) -> Dispatcher:
        """Create a dispatcher.

        Args:
            configuration: The configuration that is in force.
            zone: The node's availability zone.
            policy: The routing policy.
            rng: The generator to draw from.
            host: Name of the node's host, for its digests.

        Returns:
            The dispatcher.
        """
        dispatcher = cls(policy, rng, host)
        dispatcher.set_configuration(configuration, 0.0)
        return dispatcher

    def set_configuration(
        self, configuration: schema.Configuration, now: float
    ) -> list[effects.Effect]:
        """Put a configuration in force.

        Args:
            configuration: The configuration.
            now: Time, seconds.

        Returns:
            Dispatches that it makes possible, and failures of requests that it leaves no server.
        """
        self.configuration = configuration
        self.router.set_configuration(configuration)
        failed: list[effects.Effect] = []
        for entry in self._book.waiting():
            if not self.router.candidates_by_model.get(entry.request.model):
                failed.append(self._fail(entry, outcomes.Reason.NO_SERVER, "No server is left."))
        return failed + self._drain(now)

    def set_limits(self, limits_by_server: Mapping[str, int], now: float) -> list[effects.Effect]:
        """Replace this node's limits of requests running at each engine.

        Args:
            limits_by_server: Limits; an engine without one has its whole concurrency.
            now: Time, seconds.

        Returns:
            Dispatches that it makes possible.
        """
        self.router.set_limits(limits_by_server)
        return self._drain(now)

    def on_report(self, report: load_view.EngineReport, now: float) -> list[effects.Effect]:
        """Take in an engine's load report.

        Args:
            report: The report.
            now: Time, seconds.

        Returns:
            Dispatches that it makes possible.
        """
        self.router.view.on_report(report, now)
        return self._drain(now)

    def on_cache_events(
        self, server_id: str, page: prefix_map.CachePage, now: float
    ) -> list[effects.Effect]:
        """Take in events of an engine's prefix cache.

        Args:
            server_id: The engine.
            page: The events.
            now: Time, seconds.

        Returns:
            Nothing.
        """
        self.router.prefixes.on_page(server_id, page)
        return []

    def on_peer_digest(self, digest: digests.PeerDigest, now: float) -> list[effects.Effect]:
        """Take in what a peer has sent and what waits in it.

        Args:
            digest: The peer's digest.
            now: Time, seconds.

        Returns:
            Nothing.
        """
        self.router.peers.on_digest(digest, self.router.view, now)
        return []

    def digest(self, now: float) -> digests.PeerDigest:
        """Return what to tell the peers.

        Args:
            now: Time, seconds.

        Returns:
            The digest, of bounded size.
        """
        self.router.peers.expire(self.router.view, now)
        works = digests.collect_works(self.router.view.loads_by_id.values())
        queued = self._scheduler.queued_tokens()
        return digests.PeerDigest(self._host, 0.0, works, queued, len(self._scheduler))

    def submit(self, request: requests.ModelRequest, now: float) -> list[effects.Effect]:
        """Admit a new request, or refuse it at once.

        Args:
            request: The request.
            now: Time, seconds.

        Returns:
            A refusal; or nothing yet, a dispatch, or the wish for a memory group.
        """
        refused = self._gate.check(request, now, self.configuration)
        if request.request_id in self._book.by_id:
            refused = outcomes.Refused(outcomes.Reason.ALREADY_RUNNING, "It is under way.")
        if refused is not None:
            self._count(refused.reason)
            return [effects.Refuse(request.request_id, refused)]
        budget = self._budgets_by_service.get(request.service)
        if budget is None:
            budget = self._budgets_by_service[request.service] = retry_budget.RetryBudget(now)
        budget.on_admitted()
        entry = entries.Entry(request, entries.demand_of(request, self.policy, frozenset()))
        self._book.add(entry)
        return self._enqueue(entry, now)

    def resubmit(
        self,
        request: requests.ModelRequest,
        now: float,
        excluded: frozenset[str],
        reason: outcomes.Reason,
    ) -> list[effects.Effect]:
        """Queue an admitted request again after its attempt broke.

        Args:
            request: The request.
            now: Time, seconds.
            excluded: Engines that it must not run on again.
            reason: Why the attempt broke.

        Returns:
            A dispatch, a failure, or nothing yet.
        """
        entry = self._book.by_id.get(request.request_id)
        if entry is None:
            return []
        self._unplace(entry)
        self._count(reason)
        entry.demand = entry.demand._replace(excluded=excluded)
        if now >= request.deadline:
            return [self._fail(entry, outcomes.Reason.DEADLINE, "The deadline passed.")]
        candidates = self.router.candidates_by_model.get(request.model, ())
        if all(server_id in excluded for server_id in candidates):
            return [self._fail(entry, outcomes.Reason.NO_SERVER, "No other server is left.")]
        is_free = reason is outcomes.Reason.SERVER_LEAVING
        budget = self._budgets_by_service[request.service]
        if not is_free and not budget.spend(now):
            text = "The service's retry budget is used up."
            return [self._fail(entry, outcomes.Reason.RETRY_BUDGET, text)]
        return self._enqueue(entry, now)

    def on_group_ready(
        self, request_id: str, engines: tuple[str, ...], now: float
    ) -> list[effects.Effect]:
        """Dispatch a request on the memory group that was built for it.

        Args:
            request_id: The request.
            engines: Members of the group, the lead first.
            now: Time, seconds.

        Returns:
            The dispatch; nothing where the request has ended.
        """
        entry = self._book.by_id.get(request_id)
        if entry is None or entry.state is not entries.State.AWAITING_GROUP:
            return []
        return [self._place(entry, engines[0], engines, entry.demand.prompt_tokens, now)]

    def on_first_token(self, request_id: str, now: float) -> list[effects.Effect]:
        """Take in that a request's first token has come.

        Args:
            request_id: The request.
            now: Time, seconds.

        Returns:
            Dispatches that it makes possible.
        """
        entry = self._book.by_id.get(request_id)
        if entry is None or entry.state is not entries.State.RUNNING:
            return []
        if entry.first_token_at is None:
            entry.first_token_at = now
        self.router.prompt_read(entry.server_id, request_id, entry.demand)
        return self._drain(now)

    def on_tokens(self, request_id: str, count: int, now: float) -> list[effects.Effect]:
        """Take in that tokens of a request have come.

        Args:
            request_id: The request.
            count: Number of tokens.
            now: Time, seconds.

        Returns:
            Nothing.
        """
        entry = self._book.by_id.get(request_id)
        if entry is not None:
            entry.tokens += count
        return []

    def on_finished(self, request_id: str, now: float) -> list[effects.Effect]:
        """End a request that has its whole answer.

        Args:
            request_id: The request.
            now: Time, seconds.

        Returns:
            Dispatches that the free slot makes possible.
        """
        entry = self._book.by_id.get(request_id)
        if entry is None:
            return []
        if entry.state is entries.State.RUNNING:
            first_token_at = now if entry.first_token_at is None else entry.first_token_at
            self._promise.on_finished(now - entry.sent_at, now - first_token_at, entry.tokens)
        self._end(entry)
        return self._drain(now)

    def on_attempt_failed(
        self, request_id: str, server_id: str, reason: outcomes.Reason, now: float
    ) -> list[effects.Effect]:
        """Free the slot of a broken attempt; `resubmit` or `withdraw` follows.

        Args:
            request_id: The request.
            server_id: Where the attempt ran.
            reason: Why it broke.
            now: Time, seconds.

        Returns:
            Dispatches that the free slot makes possible.
        """
        self.router.block(server_id, now + BLOCK_SECONDS)
        entry = self._book.by_id.get(request_id)
        if entry is not None and entry.server_id == server_id:
            self._unplace(entry)
            entry.state = entries.State.BROKEN
        return self._drain(now)

    def withdraw(self, request_id: str, now: float) -> list[effects.Effect]:
        """Forget a request that its node has ended itself.

        Args:
            request_id: The request.
            now: Time, seconds.

        Returns:
            Dispatches that the free slot makes possible.
        """
        entry = self._book.by_id.get(request_id)
        if entry is None:
            return []
        self._end(entry)
        return self._drain(now)

    def tick(self, now: float) -> list[effects.Effect]:
        """End requests whose deadline has passed, and dispatch what can be.

        Args:
            now: Time, seconds.

        Returns:
            Failures and dispatches.
        """
        failed: list[effects.Effect] = []
        while (entry := self._book.overdue(now)) is not None:
            failed.append(self._fail(entry, outcomes.Reason.DEADLINE, "The deadline passed."))
        return failed + self._drain(now)

    def next_tick(self, now: float) -> float:
        """Return when to call `tick` next.

        Args:
            now: Time, seconds.

        Returns:
            Time, seconds; infinite where nothing is to come.
        """
        deadline = self._book.next_deadline()
        if self._scheduler.lanes_by_model:
            return min(deadline, now + QUEUE_TICK_SECONDS)
        return deadline

    def snapshot(self) -> Snapshot:
        """Return the state in figures."""
        states = [entry.state for entry in self._book.by_id.values()]
        return Snapshot(
            len(self._scheduler),
            sum(self._scheduler.queued_tokens()),
            states.count(entries.State.RUNNING),
            states.count(entries.State.AWAITING_GROUP),
            self._promise.decode_tokens_per_second,
            dict(self._counts_by_reason),
        )

    def _enqueue(self, entry: entries.Entry, now: float) -> list[effects.Effect]:
        request = entry.request
        memory = entry.demand.memory_tokens
        if memory > self.router.capacity(request.model).largest_memory_tokens:
            entry.state = entries.State.AWAITING_GROUP
            candidates = self.router.candidates_by_model.get(request.model, ())
            allowed = tuple(c for c in candidates if c not in entry.demand.excluded)
            return [effects.NeedsGroup(request, allowed)]
        entry.state = entries.State.QUEUED
        organisation = self.configuration.organisations_by_name.get(request.organisation)
        self._scheduler.push(entry, organisation.weight if organisation else 1.0)
        return self._drain_model(request.model, now)

    def _drain(self, now: float) -> list[effects.Effect]:
        if not self._scheduler.lanes_by_model:
            return []
        models = list(self._scheduler.lanes_by_model)
        return [effect for model in models for effect in self._drain_model(model, now)]

    def _drain_model(self, model: str, now: float) -> list[effects.Effect]:
        placed: list[effects.Effect] = []
        for entry, choice in self._scheduler.placements(model, now):
            uncached = entry.demand.prompt_tokens - choice.cached_tokens
            placed.append(self._place(entry, choice.server_id, (), uncached, now))
        return placed

    def _place(
        self,
        entry: entries.Entry,
        server_id: str,
        group: tuple[str, ...],
        uncached_tokens: int,
        now: float,
    ) -> effects.Dispatch:
        entry.state = entries.State.RUNNING
        entry.server_id = server_id
        entry.group = group
        entry.sent_at = now
        entry.first_token_at = None
        entry.tokens = 0
        entry.attempts += 1
        request_id = entry.request.request_id
        self.router.occupy(server_id, request_id, entry.demand, uncached_tokens, now)
        return effects.Dispatch(entry.request, server_id, entry.demand.priority, group)

    def _unplace(self, entry: entries.Entry) -> None:
        request_id = entry.request.request_id
        if entry.state is entries.State.RUNNING:
            self.router.release(entry.server_id, request_id)
        elif entry.state is entries.State.QUEUED:
            self._scheduler.remove(entry)

    def _end(self, entry: entries.Entry) -> None:
        self._unplace(entry)
        self._book.remove(entry)

    def _fail(self, entry: entries.Entry, reason: outcomes.Reason, detail: str) -> effects.Effect:
        ran = outcomes.Ran.MAY_HAVE_RUN if entry.attempts else outcomes.Ran.NOT_RUN
        self._end(entry)
        self._count(reason)
        outcome = outcomes.Failed(reason, detail, ran, RETRY_AFTER_SECONDS)
        return effects.Fail(entry.request.request_id, outcome)

    def _count(self, reason: outcomes.Reason) -> None:
        self._counts_by_reason[reason] = self._counts_by_reason.get(reason, 0) + 1
