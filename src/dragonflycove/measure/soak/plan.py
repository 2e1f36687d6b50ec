"""The faults of a soak with their times, drawn from its seed."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random


class FaultKind(enum.Enum):
    """A kind of fault; the values appear in reported violations."""

    NODE_KILL = "node_kill"
    NODE_STOP = "node_stop"
    NODE_PAUSE = "node_pause"
    NODE_HUP = "node_hup"
    ALL_KILL = "all_kill"
    STORE_DOWN = "store_down"
    STORE_SILENT_TO_NODE = "store_silent_to_node"
    STORE_REFUSES_NODE = "store_refuses_node"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_STALE = "store_stale"
    HISTORY_GONE = "history_gone"
    SERVER_CRASH = "server_crash"
    SERVER_DRAIN = "server_drain"
    SERVER_FAULTS = "server_faults"
    LINK_DELAY = "link_delay"
    LINK_RESET = "link_reset"
    LINK_SILENT = "link_silent"
    LINK_ONE_WAY = "link_one_way"
    CALLERS_LEAVE = "callers_leave"
    CONFIGURATION = "configuration"
    ZONE_OUT = "zone_out"


class PlannedFault(NamedTuple):
    """One fault with its time and target."""

    at: float
    """Seconds from the start of traffic."""

    kind: FaultKind
    """Kind of the fault."""

    seconds: float
    """Duration; kinds without an end ignore it."""

    target_fraction: float
    """Position of the affected node, server or zone in its list, from 0 to 1."""


MIN_INTERVAL_SECONDS = 0.2
"""Shortest interval between two series; shorter than most faults, so that some overlap."""

MEAN_EXTRA_INTERVAL_SECONDS = 1.2
"""Mean of the random time that is added to the shortest interval."""

REPEAT_PROBABILITY = 0.2
"""Probability that a fault of the same kind follows within 0.4 s, with another target."""

MAX_FAULT_SECONDS = 5.0
"""Longest duration; exceeds the time after which unresponsive nodes and servers count as gone."""


def draw_faults(rng: random.Random, seconds: float) -> list[PlannedFault]:
    """Draw the faults of a soak.

    Args:
        rng: Seeded random generator.
        seconds: Length of the part with faults.

    Returns:
        The faults in order of time.
    """
    planned_faults = []
    at = 1.0
    kinds = list(FaultKind)
    while at < seconds:
        kind = rng.choice(kinds)
        count = 1
        while rng.random() < REPEAT_PROBABILITY:
            count += 1
        for _ in range(count):
            duration = rng.uniform(0.3, MAX_FAULT_SECONDS)
            planned_faults.append(PlannedFault(at, kind, duration, rng.random()))
            at += rng.uniform(0.05, 0.4)
        at += MIN_INTERVAL_SECONDS + rng.expovariate(1 / MEAN_EXTRA_INTERVAL_SECONDS)
    return planned_faults
