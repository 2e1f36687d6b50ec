"""Orders the queued requests of a node and assigns them to servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.admission import lane_rates, lanes, queue_estimate
from dragonflycove.routing import groups, load_digests

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dragonflycove.admission import request_table, run_estimator
    from dragonflycove.configuration import schema
    from dragonflycove.routing import demands, router
    from dragonflycove.values import requests

PEER_SUM_INTERVAL_SECONDS = 0.25
"""Time for which a sum over the peers' lane loads is reused."""

NO_PEER_LANES = queue_estimate.sum_lanes((), 0)
"""Lane loads of an empty set of peers."""

START_MARGIN_FACTOR = 1.5
"""A request's latest start is this multiple of its estimated run time before its deadline."""


class ServerAssignment(NamedTuple):
    """A request and the server, or the candidates for a memory group, that are to run it."""

    entry: request_table.RequestEntry
    """The request, already taken from its queue."""
    choice: demands.Choice | None
    """The server; `None` if the request needs a memory group."""
    candidates: tuple[str, ...]
    """Candidate members of the memory group, the best first; empty if no group is needed."""


class Scheduler:
    """The queues of every model, and what peers have queued."""

    def __init__(
        self,
        table: request_table.RequestTable,
        engine_router: router.Router,
        estimator: run_estimator.RunEstimator,
    ) -> None:
        """Create a scheduler without queues.

        Args:
            table: The admitted requests.
            engine_router: The node's view of the engines.
            estimator: Estimates run times from the requests that have finished.
        """
        self.lanes_by_model: dict[str, lanes.LaneSet] = {}
        """Queues of each model for which a request was queued."""
        self._rates_by_model: dict[str, lane_rates.LaneRates] = {}
        self._peer_lanes_by_model: dict[str, tuple[float, queue_estimate.FleetLanes]] = {}
        self._table = table
        self._router = engine_router
        self._estimator = estimator

    def push(self, entry: request_table.RequestEntry, weight: float) -> None:
        """Add a request to the queue of its lane.

        Args:
            entry: The request.
            weight: Its organisation's weight.
        """
        request = entry.request
        lane_set = self.lanes_by_model.get(request.model)
        if lane_set is None:
            lane_set = self.lanes_by_model[request.model] = lanes.LaneSet()
        rate = self._router.capacity(request.model).mean_prefill_tokens_per_second
        run_seconds = self._estimator.run_seconds(request.prompt_tokens / rate, request.max_tokens)
        lane_set.queues_by_lane[lanes.lane_of(request)].push(
            request.request_id,
            request.organisation,
            weight,
            entry.demand.memory_tokens,
            request.deadline,
            request.deadline - START_MARGIN_FACTOR * run_seconds,
        )

    def remove(self, entry: request_table.RequestEntry) -> None:
        """Remove a request from its queue, if it is queued.

        Args:
            entry: The request.
        """
        request = entry.request
        lane_set = self.lanes_by_model.get(request.model)
        if lane_set is not None:
            lane_set.queues_by_lane[lanes.lane_of(request)].remove(request.request_id)

    def assignments(self, model: str, now: float) -> Iterator[ServerAssignment]:
        """Remove the requests that an engine can take now from the queues, one by one.

        Args:
            model: Name of the model.
            now: Loop time, seconds.

        Yields:
            A request and its server. The caller dispatches it before it asks for the next one, so
            that the next choice includes its load.
        """
        lane_set = self.lanes_by_model.get(model)
        if not lane_set:
            return
        blocked: set[lanes.LaneKey] = set()
        while (lane := lane_set.next_lane(now, blocked)) is not None:
            queue = lane_set.queues_by_lane[lane]
            item = queue.peek(now)
            assert item is not None, "next_lane returns only lanes with a queued request"
            entry = self._table.entries_by_id[item.request_id]
            assignment = self._assign(entry, item.latest_start <= now, now)
            if assignment is None:
                blocked.add(lane)
                continue
            queue.take(item.request_id)
            lane_set.charge(lane, item.cost_tokens)
            yield assignment

    def _assign(
        self, entry: request_table.RequestEntry, is_urgent: bool, now: float
    ) -> ServerAssignment | None:
        """Return the assignment of a request; `None` if no engine or group can take it now.

        Only one memory group is reserved at a time.
        """
        demand = entry.demand
        largest = self._router.capacity(demand.model).largest_memory_tokens
        if not groups.needs_group(demand.memory_tokens, largest):
            choice = self._router.choose(demand, now)
            return None if choice is None else ServerAssignment(entry, choice, ())
        if self._table.awaiting_group_ids:
            return None
        candidates = self._router.group_candidates(demand, is_urgent, now)
        return ServerAssignment(entry, None, candidates) if candidates else None

    def has_queued_interactive(self, model: str) -> bool:
        """Return whether a short or medium interactive request is queued.

        Args:
            model: Name of the model.

        Returns:
            False also for an unknown model.
        """
        lane_set = self.lanes_by_model.get(model)
        return lane_set is not None and lane_set.has_queued_interactive()

    def on_admitted(self, request: requests.ModelRequest, now: float) -> None:
        """Count an admitted request in its lane's admission rate.

        Args:
            request: The request.
            now: Loop time, seconds.
        """
        rates = self._rates_by_model.get(request.model)
        if rates is None:
            rates = self._rates_by_model[request.model] = lane_rates.LaneRates()
        rates.on_admitted(lanes.lane_of(request), request.prompt_tokens, now)

    def lane_load(self, model: str, now: float) -> load_digests.ModelLaneLoad:
        """Return this node's queued tokens and admission rates of a model.

        Args:
            model: Name of the model.
            now: Loop time, seconds.

        Returns:
            The load by lane; zeros for an unknown model.
        """
        lane_set = self.lanes_by_model.get(model)
        rates = self._rates_by_model.get(model)
        zeros = (0,) * len(lanes.LANE_ORDER)
        queued = lane_set.queued_tokens() if lane_set else zeros
        admitted = tuple(rates.per_second(now)) if rates else zeros
        return load_digests.ModelLaneLoad(model, queued, admitted)

    def lane_loads(self, now: float) -> tuple[load_digests.ModelLaneLoad, ...]:
        """Return this node's lane loads of the models that it has admitted requests for.

        Args:
            now: Loop time, seconds.

        Returns:
            At most `DIGEST_MODELS_LIMIT` models, those with the most queued tokens first.
        """
        items = [self.lane_load(model, now) for model in self._rates_by_model]
        items.sort(key=lambda item: sum(item.queued_tokens), reverse=True)
        return tuple(items[: load_digests.DIGEST_MODELS_LIMIT])

    def fleet_lanes(self, model: str, now: float) -> queue_estimate.FleetLanes:
        """Return the lane loads of a model, summed over this node and its peers.

        Args:
            model: Name of the model.
            now: Loop time, seconds.

        Returns:
            The sum; the peers' part is up to `PEER_SUM_INTERVAL_SECONDS` old.
        """
        summed_at, peers = self._peer_lanes_by_model.get(
            model, (-PEER_SUM_INTERVAL_SECONDS, NO_PEER_LANES)
        )
        if now - summed_at >= PEER_SUM_INTERVAL_SECONDS:
            peers = queue_estimate.sum_lanes(
                self._router.peers.lane_loads(model), self._router.peers.count
            )
            self._peer_lanes_by_model[model] = (now, peers)
        return queue_estimate.add_own_lanes(peers, self.lane_load(model, now))

    def organisation_share(
        self, request: requests.ModelRequest, configuration: schema.Configuration
    ) -> tuple[float, float]:
        """Return an organisation's queued tokens in a request's lane, and its share of the lane.

        Args:
            request: The request.
            configuration: The configuration in force.

        Returns:
            Its queued tokens, and its share by weight, above 0 and at most 1.
        """
        organisation = configuration.organisations_by_name.get(request.organisation)
        weight = organisation.weight if organisation else 1.0
        lane_set = self.lanes_by_model.get(request.model)
        if lane_set is None:
            return 0.0, 1.0
        queue = lane_set.queues_by_lane[lanes.lane_of(request)]
        tokens = queue.organisation_tokens(request.organisation)
        others = queue.active_weight if tokens else queue.active_weight + weight
        return float(tokens), weight / max(weight, others)

    def queued_tokens(self) -> int:
        """Return the summed cost of all queued requests, tokens."""
        return sum(sum(lane_set.queued_tokens()) for lane_set in self.lanes_by_model.values())

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(len(lane_set) for lane_set in self.lanes_by_model.values())
