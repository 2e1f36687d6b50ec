"""How nodes judge the freshness of their configuration when the log, peers or both are gone."""

from __future__ import annotations

import random
from typing import NamedTuple

from dragonflycove.configuration import freshness
from dragonflycove.peering import measurement

POLL_SECONDS = 2.0
"""Time between two readings of the log, seconds."""

SETTLE_SECONDS = 30.0
"""Time before the fault, seconds."""

FAULT_SECONDS = 120.0
"""Time with the fault, seconds."""


class Fault(NamedTuple):
    """What goes wrong."""

    nodes: int
    """Count of nodes."""

    cut_off: int
    """Nodes that can reach each other, but neither the others nor the log."""

    dead: int
    """Nodes that die."""

    is_log_down: bool
    """Whether the log is down for all."""


class CutOutcome(NamedTuple):
    """How the nodes that go on judge themselves."""

    fault: Fault
    """What went wrong."""

    stale_after_seconds: float
    """Time until the last of the nodes cut off was stale; -1 if not all were at the end."""

    others_stale_fraction: float
    """Part of their time in which the other live nodes were stale."""


class _View:
    """The freshness of every node."""

    def __init__(self, fleet: measurement.Fleet, fault: Fault) -> None:
        self.fleet = fleet
        self.fault = fault
        self.now = 0.0
        self.has_log = True
        self._views = {
            host: freshness.FreshnessView(freshness.DEFAULT_BOUNDS, 0.0) for host in fleet.members
        }
        fleet.on_frame = self._on_frame

    def step(self) -> None:
        """Let a tick pass."""
        self.now += measurement.TICK_SECONDS
        self.fleet.step(self.now)
        for host, member in self.fleet.members.items():
            reads = self.has_log and host not in self.fleet.cut_off
            if reads and self.now % POLL_SECONDS == 0.0:
                self._views[host].on_log_read(self.now)
            self._views[host].on_reachability(True, member.answered_fraction())

    def count_stale(self, hosts: set[str]) -> int:
        """Count the stale nodes among some."""
        stale = freshness.Freshness.STALE
        return sum(1 for host in hosts if self._views[host].evaluate(self.now, 0) is stale)

    def _on_frame(self, sender: str, receiver: str) -> None:
        age = self._views[sender].log_age_seconds(self.now)
        self._views[receiver].on_peer_answer(age, self.now)


def measure_cut(fault: Fault, seed: int = 1) -> CutOutcome:
    """Let a fault happen on a simulated clock.

    Args:
        fault: What goes wrong.
        seed: Seed of the nodes' choices.

    Returns:
        How the nodes judge themselves.
    """
    fleet = measurement.Fleet(fault.nodes, seed)
    view = _View(fleet, fault)
    while view.now < SETTLE_SECONDS:
        view.step()
    chosen = random.Random(seed).sample(sorted(fleet.members), fault.cut_off + fault.dead)
    for host in chosen[fault.cut_off :]:
        fleet.kill(host)
    fleet.cut_off = set(chosen[: fault.cut_off])
    view.has_log = not fault.is_log_down
    others = fleet.members.keys() - fleet.cut_off
    last_not_stale, stale_ticks, ticks = view.now, 0, 0
    while view.now < SETTLE_SECONDS + FAULT_SECONDS:
        view.step()
        ticks += 1
        stale_ticks += view.count_stale(set(others))
        if view.count_stale(fleet.cut_off) < len(fleet.cut_off):
            last_not_stale = view.now
    is_whole = last_not_stale < view.now
    stale_after = last_not_stale + measurement.TICK_SECONDS - SETTLE_SECONDS if is_whole else -1.0
    return CutOutcome(fault, stale_after, stale_ticks / (ticks * max(1, len(others))))
