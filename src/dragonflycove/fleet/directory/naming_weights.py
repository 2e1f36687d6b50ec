"""How often each host is to be named in the directory's responses, decided at the first hub.

Answers hosts of unequal size, and hosts that turn slow. Weights are relative to the hosts' cores,
so that a host about which nothing is known has weight 1 per core.
"""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

from dragonflycove.fleet.directory import host_pressure

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

PRESSURE_OFFSET = 0.25
"""Addition to pressures before they are compared; differences far below it have no effect, and
the gain of the control stays below 1."""

MIN_FACTOR = 0.125
"""Minimum weight of a pressed host relative to an idle one of its size; it stays in contact."""

MAX_FACTOR = 1.5
"""Maximum weight of a host below its zone's pressure, relative to its size."""

FULL_PRESSURE = 0.8
"""Pressure above which a host that its zone's mean doesn't explain gets less and less."""

EXCESS_PRESSURE = 0.1
"""Pressure above the zone's mean from which on a host counts as slower than the others."""

DECREASE_PER_SECOND = 0.15
"""Rate at which a full host's weight decreases; little while callers keep their responses."""

INCREASE_PER_SECOND = 0.03
"""Rate at which it increases again."""

MIN_CAPACITY_FACTOR = 0.25
"""Minimum capacity per core relative to the mean, as demand for a resource may be momentary."""

MAX_CAPACITY_FACTOR = 4.0
"""Maximum capacity per core relative to the mean."""


class NamingWeights:
    """The weights, with the corrections for hosts that turned slow."""

    def __init__(self) -> None:
        """Create the object without corrections."""
        # Logarithms of the corrections, all below zero.
        self._correction_by_host: dict[str, float] = {}
        self._updated_at = float("inf")

    def update(self, hosts: Sequence[host_pressure.Host], now: float) -> dict[str, float]:
        """Return the hosts' weights per core, by host.

        Args:
            hosts: The hosts that may be named.
            now: Loop time.
        """
        seconds = max(0.0, now - self._updated_at)
        self._updated_at = now
        weight_by_host = _capacity_per_core(hosts)
        pressure_by_zone = host_pressure.zone_pressures(hosts)
        corrections = {}
        for host in hosts:
            if host.load is None:
                continue
            mean, pressure = pressure_by_zone[host.zone], host.load.pressure
            correction = self._correction_by_host.get(host.host, 0.0)
            correction = _correct(correction, pressure, mean, seconds)
            if correction < 0.0:
                corrections[host.host] = correction
            wanted = (mean + PRESSURE_OFFSET) / (pressure + PRESSURE_OFFSET) * math.exp(correction)
            weight_by_host[host.host] *= min(MAX_FACTOR, max(MIN_FACTOR, wanted))
        self._correction_by_host = corrections
        return weight_by_host


def _correct(correction: float, pressure: float, mean: float, seconds: float) -> float:
    """Return the next correction; pressure can't exceed 1, so proportions don't suffice there."""
    excess = pressure - max(FULL_PRESSURE, mean + EXCESS_PRESSURE)
    if excess > 0.0:
        rate = -DECREASE_PER_SECOND * min(1.0, excess / (1.0 - FULL_PRESSURE))
    else:
        rate = INCREASE_PER_SECOND
    return min(0.0, max(math.log(MIN_FACTOR), correction + rate * seconds))


def _capacity_per_core(hosts: Sequence[host_pressure.Host]) -> dict[str, float]:
    """Return how much of the present demand each host can take, relative to the mean per core.

    The scarcest resource at a host decides (Ghodsi et al. 2011).
    """
    cores_used, bytes_used = 0.0, 0.0
    for host in hosts:
        if host.load is not None:
            cores_used += host.load.processor_load * host.cores
            bytes_used += host.load.link_load * host.load.link_bytes_per_second
    capacity_by_host: dict[str, float] = {}
    known_cores = 0.0
    for host in hosts:
        if host.load is None or cores_used <= 0.0:
            continue
        capacity = host.cores / cores_used
        if host.load.link_bytes_per_second > 0.0 and bytes_used > 0.0:
            capacity = min(capacity, host.load.link_bytes_per_second / bytes_used)
        capacity_by_host[host.host] = capacity
        known_cores += host.cores
    total = sum(capacity_by_host.values())
    factor_by_host = dict.fromkeys((host.host for host in hosts), 1.0)
    for host in hosts:
        if host.host in capacity_by_host and total > 0.0 and host.cores > 0.0:
            factor = capacity_by_host[host.host] / host.cores * known_cores / total
            factor_by_host[host.host] = min(MAX_CAPACITY_FACTOR, max(MIN_CAPACITY_FACTOR, factor))
    return factor_by_host


def most_different(
    weight_by_host: Mapping[str, float], difference: float, limit: int
) -> tuple[float, dict[str, float]]:
    """Return the usual weight, and the weights of the hosts that differ most from it.

    Args:
        weight_by_host: Weights per core.
        difference: Share of the usual weight below which a difference is left out.
        limit: Maximum number of hosts.
    """
    if not weight_by_host:
        return 1.0, {}
    usual = statistics.median(weight_by_host.values())
    by_difference = sorted(
        ((max(weight / usual, usual / weight), host) for host, weight in weight_by_host.items()),
        reverse=True,
    )
    chosen = [host for ratio, host in by_difference[:limit] if ratio > 1.0 + difference]
    return usual, {host: weight_by_host[host] for host in chosen}
