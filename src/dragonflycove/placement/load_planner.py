"""Plans which engine loads which model next, within the weight store's rate limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.placement import desired, states

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dragonflycove.configuration import schema

BURST_UNITS = 1.0
"""Maximum units of the weight store's rate limit that accumulate: one load of default size."""

ORDER_REPEAT_INTERVAL_SECONDS = 10.0
"""Time from an order to an engine until the next, in which the first can take effect."""


class LoadPlanner:
    """Plans the orders of the node that holds the lease: one model per order, most needed first.

    Args:
        units_per_second: The holder's share of the weight store's rate limit.
    """

    def __init__(self, units_per_second: float) -> None:
        self._units_per_second = units_per_second
        self._units = BURST_UNITS
        self._refilled_at: float | None = None
        self._ordered_at_by_server: dict[str, float] = {}
        self._units_by_model: dict[str, float] = {}

    def set_rate(self, units_per_second: float) -> None:
        """Set the holder's share of the weight store's rate limit.

        Args:
            units_per_second: The new share.
        """
        self._units_per_second = units_per_second

    def on_weights(self, model: str, units: float) -> None:
        """Record the size of a model's weights; a load takes one unit if it is not recorded.

        Args:
            model: Name of the model.
            units: Units of the weight store's rate limit that one load of the model takes.
        """
        self._units_by_model[model] = units

    def plan(
        self,
        servers_by_id: Mapping[str, schema.Server],
        engines: Iterable[states.ObservedEngine],
        waiting_by_model: Mapping[str, int],
        now: float,
    ) -> list[states.Order]:
        """Return the orders to give now.

        Args:
            servers_by_id: Configured engines that should serve models.
            engines: Observed states, read from the engines immediately before.
            waiting_by_model: Number of queued requests by model.
            now: Loop time, seconds.

        Returns:
            The orders, the most needed load first.
        """
        self._refill(now)
        known = [engine for engine in engines if engine.server_id in servers_by_id]
        replicas = _count_replicas(known)
        orders = [
            order
            for engine in known
            for order in self._next_orders(servers_by_id[engine.server_id], engine, replicas)
        ]
        orders.sort(key=lambda order: _sort_key(order, known, replicas, waiting_by_model))
        return self._choose_within_rate(orders, now)

    def _next_orders(
        self,
        server: schema.Server,
        engine: states.ObservedEngine,
        replicas: Mapping[str, int],
    ) -> list[states.Order]:
        """Return the next order for one engine towards its desired state, or none."""
        target = desired.find_desired_state(server, engine.state)
        target = desired.keep_loaded_while_running(target, engine)
        if target == engine.state:
            return []
        missing = sorted(target.models - engine.state.models, key=lambda m: (replicas.get(m, 0), m))
        kept = target.models & engine.state.models
        step = target._replace(models=kept | frozenset(missing[:1]))
        units = sum(self._units_by_model.get(model, 1.0) for model in missing[:1])
        return [states.Order(engine.server_id, step, units)]

    def _choose_within_rate(self, orders: list[states.Order], now: float) -> list[states.Order]:
        """Choose orders within the rate limit, without repeating recent ones."""
        chosen: list[states.Order] = []
        for order in orders:
            ordered_at = self._ordered_at_by_server.get(order.server_id, float("-inf"))
            if now < ordered_at + ORDER_REPEAT_INTERVAL_SECONDS:
                continue
            # A load larger than the burst starts at the full burst and leaves a negative balance.
            if order.units > 0 and self._units < min(order.units, BURST_UNITS):
                continue
            self._units -= order.units
            self._ordered_at_by_server[order.server_id] = now
            chosen.append(order)
        return chosen

    def _refill(self, now: float) -> None:
        """Add the units that the rate limit allows since the last call."""
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * self._units_per_second
            self._units = min(BURST_UNITS, self._units + earned)
        self._refilled_at = now


def _count_replicas(engines: Iterable[states.ObservedEngine]) -> dict[str, int]:
    """Count the engines that serve each model."""
    counts: dict[str, int] = {}
    for engine in engines:
        for model in engine.state.models:
            counts[model] = counts.get(model, 0) + 1
    return counts


def _sort_key(
    order: states.Order,
    engines: Iterable[states.ObservedEngine],
    replicas: Mapping[str, int],
    waiting_by_model: Mapping[str, int],
) -> tuple[float, str]:
    """Return the sort key of an order: first the one with the most queued requests per replica.

    A model without a replica is ranked as if one more request were queued for it.
    """
    served = {engine.server_id: engine.state.models for engine in engines}
    added = order.state.models - served[order.server_id]
    needs = [waiting_by_model.get(model, 0) / (1 + replicas.get(model, 0)) for model in added]
    unserved = [model for model in added if replicas.get(model, 0) == 0]
    return (-max(needs, default=0.0) - (1.0 if unserved else 0.0), order.server_id)
