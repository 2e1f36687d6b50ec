"""Decides which engines are ordered to load what next, within the weight store's rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.placement import desired, states

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dragonflycove.configuration import schema

BURST_UNITS = 1.0
"""Units of the weight store's rate that may be saved up, at least one load."""

REPEAT_SECONDS = 10.0
"""Time after which an order that has not shown effect is given again, seconds."""


class LoadPlanner:
    """Plans the orders of one lease holder, one model an order, by need.

    Args:
        units_per_second: The holder's share of the weight store's rate.
    """

    def __init__(self, units_per_second: float) -> None:
        self._units_per_second = units_per_second
        self._units = BURST_UNITS
        self._filled_at: float | None = None
        self._ordered_at_by_server: dict[str, float] = {}
        self._units_by_model: dict[str, float] = {}

    def set_rate(self, units_per_second: float) -> None:
        """Change the holder's share of the weight store's rate.

        Args:
            units_per_second: The new share.
        """
        self._units_per_second = units_per_second

    def on_weights(self, model: str, units: float) -> None:
        """Take note of the size of a model's weights.

        Args:
            model: Name of the model.
            units: Units that a load reads from the weight store.
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
            servers_by_id: Engines in the configuration that are to serve.
            engines: States that were read back just now.
            waiting_by_model: Requests that wait, by model.
            now: Time of the loop's clock, seconds.

        Returns:
            The orders, the most needed load first.
        """
        self._fill(now)
        known = [engine for engine in engines if engine.server_id in servers_by_id]
        copies = _count_copies(known)
        wanted = [
            order
            for engine in known
            for order in self._wanted(servers_by_id[engine.server_id], engine, copies)
        ]
        wanted.sort(key=lambda order: _rank(order, known, copies, waiting_by_model))
        return self._take(wanted, now)

    def _wanted(
        self,
        server: schema.Server,
        engine: states.ObservedEngine,
        copies: Mapping[str, int],
    ) -> list[states.Order]:
        """Return the next step of one engine towards its end state."""
        target = desired.find_desired_state(server, engine.state)
        target = desired.keep_what_is_in_use(target, engine)
        if target == engine.state:
            return []
        missing = sorted(target.models - engine.state.models, key=lambda m: (copies.get(m, 0), m))
        kept = target.models & engine.state.models
        step = target._replace(models=kept | frozenset(missing[:1]))
        units = sum(self._units_by_model.get(model, 1.0) for model in missing[:1])
        return [states.Order(engine.server_id, step, units)]

    def _take(self, wanted: list[states.Order], now: float) -> list[states.Order]:
        """Choose orders within the rate, none that was given a short time ago."""
        chosen: list[states.Order] = []
        for order in wanted:
            ordered_at = self._ordered_at_by_server.get(order.server_id, float("-inf"))
            if now < ordered_at + REPEAT_SECONDS:
                continue
            # A load larger than the burst waits for the balance to pay it back afterwards.
            if order.units > 0 and self._units < min(order.units, BURST_UNITS):
                continue
            self._units -= order.units
            self._ordered_at_by_server[order.server_id] = now
            chosen.append(order)
        return chosen

    def _fill(self, now: float) -> None:
        """Add the units that the rate allows since the last time."""
        if self._filled_at is not None:
            earned = (now - self._filled_at) * self._units_per_second
            self._units = min(BURST_UNITS, self._units + earned)
        self._filled_at = now


def _count_copies(engines: Iterable[states.ObservedEngine]) -> dict[str, int]:
    """Count the engines that serve each model."""
    counts: dict[str, int] = {}
    for engine in engines:
        for model in engine.state.models:
            counts[model] = counts.get(model, 0) + 1
    return counts


def _rank(
    order: states.Order,
    engines: Iterable[states.ObservedEngine],
    copies: Mapping[str, int],
    waiting_by_model: Mapping[str, int],
) -> tuple[float, str]:
    """Return the sort key of an order: most waiting requests for each copy served first."""
    served = {engine.server_id: engine.state.models for engine in engines}
    added = order.state.models - served[order.server_id]
    needs = [waiting_by_model.get(model, 0) / (1 + copies.get(model, 0)) for model in added]
    bare = [model for model in added if copies.get(model, 0) == 0]
    return (-max(needs, default=0.0) - (1.0 if bare else 0.0), order.server_id)
