"""Simulates configuration freshness on nodes that lose the log, their peers or both."""

from __future__ import annotations

import random
from typing import NamedTuple

from dragonflycove.configuration import freshness
from dragonflycove.peering import measurement

LOG_READ_INTERVAL_SECONDS = 2.0
"""Interval between reads of the log."""

SETTLE_SECONDS = 30.0
"""Simulated time before the fault."""

FAULT_SECONDS = 120.0
"""Simulated time with the fault."""


class PartitionFault(NamedTuple):
    """Nodes and log that fail in one simulation."""

    nodes: int
    """Number of nodes before the fault."""

    isolated: int
    """Number of nodes that reach each other, but neither the other nodes nor the log."""

    stopped: int
    """Number of nodes that stop."""

    is_log_down: bool
    """Whether the log is unavailable to all nodes."""


class PartitionOutcome(NamedTuple):
    """Staleness of the nodes that keep running."""

    fault: PartitionFault
    """The simulated fault."""

    stale_after_seconds: float
    """Time from the fault until all isolated nodes were stale; -1 if some were not at the end."""

    others_stale_fraction: float
    """Mean fraction of time for which the other live nodes were stale."""


class _FreshnessSimulation:
    """Freshness state of every node in a simulation."""

    def __init__(self, fleet: measurement.SimulatedFleet, fault: PartitionFault) -> None:
        self.fleet = fleet
        self.fault = fault
        self.now = 0.0
        self.has_log = True
        self._views = {
            host: freshness.FreshnessView(freshness.DEFAULT_BOUNDS, 0.0) for host in fleet.members
        }
        fleet.on_frame = self._on_frame

    def step(self) -> None:
        """Advance the simulation by one tick."""
        self.now += measurement.TICK_SECONDS
        self.fleet.step(self.now)
        for host, member in self.fleet.members.items():
            reads_log = self.has_log and host not in self.fleet.isolated
            if reads_log and self.now % LOG_READ_INTERVAL_SECONDS == 0.0:
                self._views[host].on_log_read(self.now)
            self._views[host].on_reachability(True, member.answered_fraction())

    def count_stale(self, hosts: set[str]) -> int:
        """Return how many of the hosts are stale."""
        stale = freshness.Freshness.STALE
        return sum(1 for host in hosts if self._views[host].evaluate(self.now, 0) is stale)

    def _on_frame(self, sender: str, receiver: str) -> None:
        age = self._views[sender].log_age_seconds(self.now)
        self._views[receiver].on_peer_response(age, self.now)


def measure_partition(fault: PartitionFault, seed: int = 1) -> PartitionOutcome:
    """Simulate a fault after a fault-free period.

    Args:
        fault: The fault to simulate.
        seed: Seed of all random choices.

    Returns:
        When and for how long nodes were stale.
    """
    fleet = measurement.SimulatedFleet(fault.nodes, seed)
    simulation = _FreshnessSimulation(fleet, fault)
    while simulation.now < SETTLE_SECONDS:
        simulation.step()
    failing = random.Random(seed).sample(sorted(fleet.members), fault.isolated + fault.stopped)
    for host in failing[fault.isolated :]:
        fleet.kill(host)
    fleet.isolated = set(failing[: fault.isolated])
    simulation.has_log = not fault.is_log_down
    others = fleet.members.keys() - fleet.isolated
    last_not_stale, stale_ticks, ticks = simulation.now, 0, 0
    while simulation.now < SETTLE_SECONDS + FAULT_SECONDS:
        simulation.step()
        ticks += 1
        stale_ticks += simulation.count_stale(set(others))
        if simulation.count_stale(fleet.isolated) < len(fleet.isolated):
            last_not_stale = simulation.now
    all_stale = last_not_stale < simulation.now
    stale_after = last_not_stale + measurement.TICK_SECONDS - SETTLE_SECONDS if all_stale else -1.0
    return PartitionOutcome(fault, stale_after, stale_ticks / (ticks * max(1, len(others))))
