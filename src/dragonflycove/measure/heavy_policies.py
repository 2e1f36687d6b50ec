"""Placement policies for the heavy loads: dragonflycove's, a variant of it and two baselines."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

from dragonflycove.fleet import catalog, placer, store_view, work
from dragonflycove.fleet.queueing import placement_queue

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import server_health
    from dragonflycove.fleet.queueing import queued_jobs

SPEC = catalog.EngineSpec(
    slots=8,
    kv_cache_tokens=232_000,
    steps_per_pass=43,
    step_seconds=0.00102,
    step_seconds_per_sequence=4.52e-6,
    step_seconds_per_context_token=4.31e-9,
    prefill_tokens_per_second=206_000.0,
    attention_seconds_per_token_pair=0.138e-9,
)
"""Speed and capacity of an engine at the smaller site, which has 14 engines."""


def make_store_view(engines: int) -> store_view.StoreView:
    """Return a store view with one service and its engines.

    Args:
        engines: Number of engines; all are ready and in one zone.
    """
    view = store_view.StoreView()
    service = catalog.Service("svc", "/health", 100, 3.0, 0.0, SPEC)
    configuration = catalog.Configuration(
        version=1,
        route_by_host_prefix={},
        service_by_name={"svc": service},
        organisation_by_key={},
        needs_keys=False,
        limits=catalog.CallerLimits(),
    )
    view.apply_configuration(configuration, 0)
    for number in range(engines):
        server = catalog.BackendServer(
            instance=catalog.Instance(f"e{number}", 1),
            service="svc",
            address=catalog.Address("10.0.0.1", 9_000 + number),
            zone="z1",
            slots=SPEC.slots,
            state=catalog.ServerState.READY,
            cold_seconds=0.0,
        )
        view.apply_server(f"e{number}", server, number, 0.0)
    return view


class ProductPolicy:
    """The placer and placement queue of dragonflycove's nodes."""

    def __init__(
        self,
        engines: int,
        make_queue: Callable[
            [placer.Placer], placement_queue.PlacementQueue
        ] = placement_queue.PlacementQueue,
    ) -> None:
        """Create a policy without requests.

        Args:
            engines: Number of engines.
            make_queue: Creates the placement queue.
        """
        self._placer = placer.Placer(make_store_view(engines), "z1")
        self._queue = make_queue(self._placer)

    def offer(self, job: work.Job, now: float) -> work.Grant | work.Refusal | work.Wait:
        """Place, refuse or queue a new request."""
        return self._queue.offer(job, now)

    def advance(self, now: float) -> list[tuple[work.JobKey, work.Grant | work.Refusal]]:
        """Place or refuse queued requests; returns the decisions made now."""
        return [(placed.key, placed.decision) for placed in self._queue.place_queued(now)]

    def withdraw(self, key: work.JobKey) -> None:
        """Remove a request from the queue; does nothing if it is not queued."""
        self._queue.withdraw(key)

    def on_first_event(self, key: work.JobKey, now: float) -> None:
        """Report the end of a request's prefill to the placer."""
        self._placer.on_first_event(key, now)

    def on_end(self, key: work.JobKey, outcome: server_health.Outcome, now: float) -> None:
        """Report the end of a request to the placer."""
        self._placer.on_end(key, outcome, now)


class ArrivalOrderQueue(placement_queue.PlacementQueue):
    """The nodes' placement queue, but sorted by arrival only, without priority, target and value."""

    def _sort_key(self, queued: queued_jobs.QueuedJob, now: float) -> tuple[float, ...]:
        return (queued.queued_at,)


class _ArrivalOrderPolicy:
    """Places each prompt on one engine with a free slot; prompts without one queue by arrival."""

    def __init__(self, engines: int) -> None:
        """Create a policy without requests.

        Args:
            engines: Number of engines.
        """
        self._servers = make_store_view(engines).usable_servers("svc", 0.0)
        self._running: collections.Counter[str] = collections.Counter()
        self._engine_by_key: dict[work.JobKey, str] = {}
        self._queue: dict[work.JobKey, work.Job] = {}
        self._turn = itertools.count()

    def _choose(self, free: list[catalog.BackendServer]) -> catalog.BackendServer:
        raise NotImplementedError

    def offer(self, job: work.Job, now: float) -> work.Grant | work.Refusal | work.Wait:
        """Place or queue a new request."""
        self._queue[job.key] = job
        for key, decision in self.advance(now):
            if key == job.key:
                return decision
        return work.Wait(0.0, is_full=True)

    def advance(self, now: float) -> list[tuple[work.JobKey, work.Grant | work.Refusal]]:
        """Place or refuse queued requests; returns the decisions made now."""
        placed: list[tuple[work.JobKey, work.Grant | work.Refusal]] = []
        for key in list(self._queue):
            free = [
                server
                for server in self._servers
                if self._running[server.instance.server_id] < server.slots
            ]
            if not free:
                break
            del self._queue[key]
            server = self._choose(free)
            name = server.instance.server_id
            self._running[name] += 1
            self._engine_by_key[key] = name
            placed.append((key, work.Grant(server, (), 0.0)))
        return placed

    def withdraw(self, key: work.JobKey) -> None:
        """Remove a request from the queue; does nothing if it is not queued."""
        self._queue.pop(key, None)

    def on_first_event(self, key: work.JobKey, now: float) -> None:
        """Do nothing; this policy does not track prefill."""

    def on_end(self, key: work.JobKey, outcome: server_health.Outcome, now: float) -> None:
        """Free the request's slot."""
        engine = self._engine_by_key.pop(key, None)
        if engine is not None:
            self._running[engine] -= 1


class RoundRobin(_ArrivalOrderPolicy):
    """Uses the engines with a free slot in turn."""

    def _choose(self, free: list[catalog.BackendServer]) -> catalog.BackendServer:
        return free[next(self._turn) % len(free)]


class LeastInFlight(_ArrivalOrderPolicy):
    """Uses the engine with the fewest requests in flight."""

    def _choose(self, free: list[catalog.BackendServer]) -> catalog.BackendServer:
        return min(free, key=lambda server: self._running[server.instance.server_id])
