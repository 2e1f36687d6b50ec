"""Orders the waiting requests of a node and pairs them with servers."""

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
"""Interval between sums over the peers' lanes."""

NO_PEER_LANES = queue_estimate.sum_lanes((), 0)
"""What waits in no peers."""

START_MARGIN_FACTOR = 1.5
"""Multiple of its estimated run before its deadline at which a request has to start."""


class Placement(NamedTuple):
    """A request and the server that is to run it."""

    entry: request_table.RequestEntry
    """The request, no longer waiting."""
    choice: demands.Choice | None
    """The server; `None` where the request needs a memory group."""
    candidates: tuple[str, ...]
    """Engines for the memory group, the best first; empty where it needs none."""


class Scheduler:
    """The waiting requests of every model."""

    def __init__(
        self,
        table: request_table.RequestTable,
        servers: router.Router,
        estimator: run_estimator.RunEstimator,
    ) -> None:
        """Create a scheduler in which nothing waits.

        Args:
            book: The admitted requests.
            servers: The node's view of the engines.
            estimates: How requests have run so far.
        """
        self.lanes_by_model: dict[str, lanes.LaneSet] = {}
        self._rates_by_model: dict[str, lane_rates.LaneRates] = {}
        self._peer_lanes_by_model: dict[str, tuple[float, queue_estimate.FleetLanes]] = {}
        self._table = table
        self._router = servers
        self._estimator = estimator

    def push(self, entry: request_table.RequestEntry, weight: float) -> None:
        """Let a request wait.

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
        """Stop a request's waiting, if it waits.

        Args:
            entry: The request.
        """
        request = entry.request
        lane_set = self.lanes_by_model.get(request.model)
        if lane_set is not None:
            lane_set.queues_by_lane[lanes.lane_of(request)].remove(request.request_id)

    def placements(self, model: str, now: float) -> Iterator[Placement]:
        """Take the requests that can be placed now, one by one.

        Args:
            model: Name of the model.
            now: Time, seconds.

        Yields:
            A request and its server; the caller sends it before it asks for the next.
        """
        lane_set = self.lanes_by_model.get(model)
        if not lane_set:
            return
        blocked: set[lanes.LaneKey] = set()
        while (lane := lane_set.next_lane(now, blocked)) is not None:
            queue = lane_set.queues_by_lane[lane]
            item = queue.peek(now)
            assert item is not None, "a lane that is served has a request"
            entry = self._table.entries_by_id[item.request_id]
            placement = self._place(entry, item.latest_start <= now, now)
            if placement is None:
                blocked.add(lane)
                continue
            queue.take(item.request_id)
            lane_set.charge(lane, item.cost_tokens)
            yield placement

    def _place(
        self, entry: request_table.RequestEntry, is_urgent: bool, now: float
    ) -> Placement | None:
        demand = entry.demand
        largest = self._router.capacity(demand.model).largest_memory_tokens
        if not groups.needs_group(demand.memory_tokens, largest):
            choice = self._router.choose(demand, now)
            return None if choice is None else Placement(entry, choice, ())
        if self._table.awaiting_group_ids:
            return None
        candidates = self._router.group_candidates(demand, is_urgent, now)
        return Placement(entry, None, candidates) if candidates else None

    def has_queued_interactive(self, model: str) -> bool:
        """Tell whether a short or medium interactive request waits.

        Args:
            model: Name of the model.

        Returns:
            True where one does.
        """
        lane_set = self.lanes_by_model.get(model)
        return lane_set is not None and lane_set.has_queued_interactive()

    def on_admitted(self, request: requests.ModelRequest, now: float) -> None:
        """Take in an admitted request.

        Args:
            request: The request.
            now: Time, seconds.
        """
        rates = self._rates_by_model.get(request.model)
        if rates is None:
            rates = self._rates_by_model[request.model] = lane_rates.LaneRates()
        rates.on_admitted(lanes.lane_of(request), request.prompt_tokens, now)

    def lane_load(self, model: str, now: float) -> load_digests.ModelLaneLoad:
        """Return what waits in this node for a model.

        Args:
            model: Name of the model.
            now: Time, seconds.

        Returns:
            The tokens that wait and those admitted lately.
        """
        lane_set = self.lanes_by_model.get(model)
        rates = self._rates_by_model.get(model)
        nothing = (0,) * len(lanes.LANE_ORDER)
        queued = lane_set.queued_tokens() if lane_set else nothing
        admitted = tuple(rates.per_second(now)) if rates else nothing
        return load_digests.ModelLaneLoad(model, queued, admitted)

    def lane_loads(self, now: float) -> tuple[load_digests.ModelLaneLoad, ...]:
        """Return what waits in this node for each model that it has served.

        Args:
            now: Time, seconds.

        Returns:
            The models with the most waiting tokens first, of bounded number.
        """
        items = [self.lane_load(model, now) for model in self._rates_by_model]
        items.sort(key=lambda item: sum(item.queued_tokens), reverse=True)
        return tuple(items[: load_digests.DIGEST_MODELS_LIMIT])

    def fleet_lanes(self, model: str, now: float) -> queue_estimate.FleetLanes:
        """Return what waits for a model in this node and its peers.

        Args:
            model: Name of the model.
            now: Time, seconds.

        Returns:
            The sum.
        """
        summed_at, peers = self._peer_lanes_by_model.get(
            model, (-PEER_SUM_INTERVAL_SECONDS, NO_PEER_LANES)
        )
        if now - summed_at >= PEER_SUM_INTERVAL_SECONDS:
            peers = queue_estimate.sum_lanes(
                self._router.peers.lanes(model), self._router.peers.count
            )
            self._peer_lanes_by_model[model] = (now, peers)
        return queue_estimate.add_own_lanes(peers, self.lane_load(model, now))

    def organisation_share(
        self, request: requests.ModelRequest, configuration: schema.Configuration
    ) -> tuple[float, float]:
        """Return what waits for an organisation in a request's lane, and its share of the lane.

        Args:
            request: The request.
            configuration: The configuration that is in force.

        Returns:
            Its waiting tokens, and its share from above 0 to 1.
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
        """Return the tokens that wait."""
        return sum(sum(lane_set.queued_tokens()) for lane_set in self.lanes_by_model.values())

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(lane_set) for lane_set in self.lanes_by_model.values())
