"""Chooses the hosts of one response of the directory by their weights.

Answers uneven demand: callers pick at random among the hosts of a response, so a host's load
follows from how often it is named.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet.directory import entry_points, host_pressure, zone_help

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping, Sequence

    from dragonflycove.fleet import catalog

MIN_ADDRESSES = 6
"""Minimum addresses of a response if there are as many; callers try others if one fails."""

MAX_MISSED = 3.0
"""Responses without a host, as a multiple of those expected, after which it is named in any
case; a ready host keeps getting new connections."""

WEIGHTS_LIFETIME_SECONDS = 3.0
"""Time after which weights that no hub renews are not used any more."""

MIN_WEIGHT = 1e-3
"""Minimum weight of a host; all can be named."""

MAX_WEIGHT = 1e6
"""Maximum weight of a host; sums of weights stay finite."""


class Weights(NamedTuple):
    """Weights that the first hub has decided."""

    usual: float = 1.0
    """Weight per core of the hosts that have none of their own."""

    weight_by_host: Mapping[str, float] = {}
    """Weight per core by host."""

    share_by_pair: Mapping[zone_help.Pair, float] = {}
    """Weight of a helping zone's hosts for the callers of another one."""

    decided_at: float = float("-inf")
    """Loop time at which they were received."""


class WeightedChoice:
    """Draws the hosts of each response."""

    def __init__(self, rng: random.Random) -> None:
        """Create the object, with hosts weighed by their cores.

        Args:
            rng: Random generator.
        """
        self._rng = rng
        self._weights = Weights()
        # Responses in which each host was expected since it was last named, by zone and address.
        # Zones that no node has share one entry, as callers may name any.
        self._missed_by_zone: dict[str, dict[catalog.Address, float]] = {}
        self.named = 0
        """Hosts named in the last response."""

    def on_weights(self, weights: Weights) -> None:
        """Use other weights from now on.

        Args:
            weights: The weights.
        """
        self._weights = weights

    def choose(
        self,
        points: Iterable[entry_points.EntryPoint],
        region: str,
        zone: str,
        now: float,
    ) -> list[entry_points.EntryPoint]:
        """Choose the nodes to list, in proportion to their weights.

        Those of the caller's zone are candidates, and of its helping zones; all that
        `entry_points` finds if fewer than two run in its zone.

        Args:
            points: The nodes that accept callers.
            region: The caller's region.
            zone: The caller's availability zone.
            now: Loop time.
        """
        weights = self._weights
        if now - weights.decided_at > WEIGHTS_LIFETIME_SECONDS:
            weights = Weights()
        known = entry_points.reachable(points)
        near = entry_points.nearest(known, region, zone)
        weighed = {point: _weight(point, weights) for point in near}
        if all(point.zone == zone for point in near):
            for point in known:
                share = weights.share_by_pair.get(zone_help.Pair(zone, point.zone), 0.0)
                if point.region == region and point.zone != zone and share > 0.0:
                    weighed[point] = _weight(point, weights) * share
        chance_by_point = inclusion_probabilities(weighed)
        chosen = sample(chance_by_point, self._rng)
        place = zone if any(point.zone == zone for point in known) else ""
        chosen = self._add_missed(chance_by_point, chosen, place)
        listed = self._with_own_zone(chosen, weighed, zone)[: entry_points.MAX_ADDRESSES]
        self.named = len(listed)
        return sorted(listed, key=lambda point: str(point.address))

    def _add_missed(
        self,
        chance_by_point: Mapping[entry_points.EntryPoint, float],
        chosen: Sequence[entry_points.EntryPoint],
        place: str,
    ) -> list[entry_points.EntryPoint]:
        """Add hosts that were missing from too many responses; the longest missing go first."""
        missed_by_address = self._missed_by_zone.get(place, {})
        missed = {
            point: missed_by_address.get(point.address, 0.0) + chance
            for point, chance in chance_by_point.items()
        }
        drawn = set(chosen)
        overdue = sorted(
            (point for point in missed if missed[point] > MAX_MISSED and point not in drawn),
            key=lambda point: missed[point],
            reverse=True,
        )
        listed = [*overdue, *chosen][: entry_points.MAX_ADDRESSES]
        named = {point.address for point in listed}
        self._missed_by_zone[place] = {
            point.address: count for point, count in missed.items() if point.address not in named
        }
        return listed

    @staticmethod
    def _with_own_zone(
        chosen: list[entry_points.EntryPoint],
        weighed: Mapping[entry_points.EntryPoint, float],
        zone: str,
    ) -> list[entry_points.EntryPoint]:
        """Put at least two hosts of the caller's zone in front, if there are any."""
        own = [point for point in chosen if point.zone == zone]
        missing = entry_points.MIN_ZONE_NODES - len(own)
        if missing > 0:
            others = (point for point in weighed if point.zone == zone and point not in own)
            own += sorted(others, key=lambda point: weighed[point], reverse=True)[:missing]
        return [*own, *(point for point in chosen if point.zone != zone)]


def _weight(point: entry_points.EntryPoint, weights: Weights) -> float:
    per_core = weights.weight_by_host.get(point.host, weights.usual)
    weight = host_pressure.usable_cores(point.cores) * per_core
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))


def inclusion_probabilities(
    weighed: Mapping[entry_points.EntryPoint, float],
) -> dict[entry_points.EntryPoint, float]:
    """Return the probability with which each host is named in a response.

    As many are named as leave the heaviest one with probability 1, within the limits of a
    response. With more, the lighter ones would be named too often.

    Args:
        weighed: Weight of each candidate.
    """
    if not weighed:
        return {}
    total = sum(weighed.values())
    wanted = math.ceil(total / max(weighed.values()))
    size = min(len(weighed), entry_points.MAX_ADDRESSES, max(MIN_ADDRESSES, wanted))
    chance_by_point: dict[entry_points.EntryPoint, float] = {}
    # Hosts whose probability would be over 1 are always named; the others share the rest.
    for point in sorted(weighed, key=lambda one: weighed[one], reverse=True):
        rest = size - len(chance_by_point)
        chance = min(1.0, rest * weighed[point] / total) if total > 0.0 else 1.0
        if chance < 1.0:
            break
        chance_by_point[point] = 1.0
        total -= weighed[point]
    rest = size - len(chance_by_point)
    for point, weight in weighed.items():
        if point not in chance_by_point:
            chance_by_point[point] = min(1.0, rest * weight / total)
    return chance_by_point


def sample(
    chance_by_point: Mapping[entry_points.EntryPoint, float], rng: random.Random
) -> list[entry_points.EntryPoint]:
    """Draw hosts with exactly these probabilities, by systematic sampling (Madow 1949).

    Args:
        chance_by_point: Probability of each host, in an order that doesn't depend on chance.
        rng: Random generator.
    """
    points = list(chance_by_point)
    rng.shuffle(points)
    chosen = []
    position = rng.random()
    reached = 0.0
    for point in points:
        reached += chance_by_point[point]
        if position < reached - 1e-9:
            chosen.append(point)
            position += 1.0
    return chosen
