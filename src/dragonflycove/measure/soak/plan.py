"""What goes wrong when in a soak, drawn from its seed."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random


class FaultKind(enum.Enum):
    """A kind of disturbance."""

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
    """One disturbance."""

    at: float
    """Seconds from the start of traffic."""

    kind: FaultKind
    """What happens."""

    seconds: float
    """How long."""

    target_fraction: float
    """Number from 0 to 1 that picks what it happens to."""


MIN_INTERVAL_SECONDS = 0.2
"""Shortest time between two disturbances; some then overlap."""

MEAN_EXTRA_INTERVAL_SECONDS = 1.2
"""Mean time between two disturbances."""

REPEAT_PROBABILITY = 0.2
"""Chance that a disturbance comes again at once, elsewhere."""

MAX_FAULT_SECONDS = 5.0
"""Longest disturbance; above the time after which silent nodes and servers count as gone."""


def draw_faults(rng: random.Random, seconds: float) -> list[PlannedFault]:
    """Draw the disturbances of a soak.

    Args:
        rng: Generator, seeded.
        seconds: Length of the soak.

    Returns:
        The disturbances by time.
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
