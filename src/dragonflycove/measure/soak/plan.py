"""The faults of a soak with their times, drawn from its seed."""

from __future__ import annotations

import enum
import random
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection


class FaultKind(enum.Enum):
    """A kind of fault; the values appear in reported violations."""

    NODE_KILL = "node_kill"
    """Kills a node and restarts it."""

    NODE_STOP = "node_stop"
    """Stops a node with SIGTERM and restarts it."""

    NODE_PAUSE = "node_pause"
    """Stops a node with SIGSTOP and continues it with SIGCONT."""

    NODE_RELOAD = "node_hup"
    """Rewrites a node's settings file and sends SIGHUP."""

    ALL_KILL = "all_kill"
    """Kills all nodes at once and restarts them."""

    STORE_DOWN = "store_down"
    """The store refuses the calls of all nodes."""

    STORE_UNRESPONSIVE_TO_NODE = "store_silent_to_node"
    """The store does not respond to one node."""

    STORE_REFUSES_NODE = "store_refuses_node"
    """The store refuses one node's calls."""

    STORE_SLOW = "store_slow"
    """The store responds to one node late."""

    STORE_LOSES_RESPONSES = "store_loses_answers"
    """One node's appends take effect but get no response."""

    STORE_STALE = "store_stale"
    """One node's reads omit the newest records."""

    HISTORY_COMPACTED = "history_gone"
    """Old offsets of the store's topics can no longer be read."""

    SERVER_CRASH = "server_crash"
    """Stops a server without notice; its record is deleted later and another server added."""

    SERVER_DRAIN = "server_drain"
    """Marks a server as draining, then stops it; another server is added."""

    SERVER_FAULTS = "server_faults"
    """A server fails single requests, each with a random `Fault`."""

    LINK_DELAY = "link_delay"
    """Delays all bytes to and from a server."""

    LINK_RESET = "link_reset"
    """Resets all open connections to a server."""

    LINK_UNRESPONSIVE = "link_silent"
    """Discards all bytes to and from a server."""

    LINK_ONE_WAY = "link_one_way"
    """Discards all bytes from a server, but forwards those to it."""

    CALLERS_CANCEL = "callers_leave"
    """Callers cancel half of their requests."""

    CONFIGURATION = "configuration"
    """Publishes a new version of the operators' configuration."""

    ZONE_EVACUATED = "zone_out"
    """Evacuates a zone for the duration."""

    CRASHING_REQUEST = "crashing_request"
    """A request that crashes each server that runs it is sent again and again."""

    CRASHING_PART = "crashing_part"
    """Requests that share a part of their prompts, which crashes each server that runs them."""

    SERVER_LIMIT = "server_limit"
    """A server states a limit of requests a second."""

    NODE_REACHES_NO_SERVER = "node_reaches_no_server"
    """Cuts a node off from all servers; the next draw may cut another one beside it."""

    SERVER_REST = "server_rest"
    """A server turns requests away and asks for rest."""

    SERVER_LEAVING = "server_leaving"
    """A server says in its responses that it leaves, and ends later; its record says nothing."""

    SERVER_PAUSE = "server_pause"
    """A server neither reads nor writes for about a second, then goes on."""

    SERVER_SLOW = "server_slow"
    """A server sends its events several times more slowly."""

    CALLERS_READ_SLOWLY = "callers_read_slowly"
    """Callers pause before each part of a response that they read."""


DRAWN_APART = frozenset(
    {
        FaultKind.CRASHING_REQUEST,
        FaultKind.CRASHING_PART,
        FaultKind.SERVER_LIMIT,
        FaultKind.NODE_REACHES_NO_SERVER,
        FaultKind.SERVER_REST,
        FaultKind.SERVER_LEAVING,
        FaultKind.SERVER_PAUSE,
        FaultKind.SERVER_SLOW,
        FaultKind.CALLERS_READ_SLOWLY,
    }
)
"""Kinds with generators of their own, so that the other faults of a seed stay the same."""

PLANNED_WORK = frozenset(
    {
        FaultKind.CONFIGURATION,
        FaultKind.NODE_RELOAD,
        FaultKind.NODE_STOP,
        FaultKind.SERVER_DRAIN,
        FaultKind.SERVER_LEAVING,
        FaultKind.SERVER_PAUSE,
        FaultKind.SERVER_SLOW,
        FaultKind.CALLERS_READ_SLOWLY,
        FaultKind.ZONE_EVACUATED,
    }
)
"""Kinds that end no request: planned work, and pauses and slowness of servers and callers."""


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
"""Minimum interval between two series of a kind; below most durations, so that faults overlap."""

MEAN_EXTRA_INTERVAL_SECONDS = 1.2
"""Mean of the random time that is added to `MIN_INTERVAL_SECONDS`."""

REPEAT_PROBABILITY = 0.2
"""Probability that a fault of the same kind follows within 0.4 s, with another target."""

MAX_FAULT_SECONDS = 5.0
"""Maximum duration; exceeds the time after which unresponsive nodes and servers count as lost."""

MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.6, 1.8
"""Range of the time for which a server pauses; streams look for another one after 1.2 s."""

MEAN_PAUSE_INTERVAL_SECONDS = 0.8
"""Mean interval between two pauses; several servers pause at once."""

MIN_SLOWDOWN, MAX_SLOWDOWN = 2.0, 10.0
"""Range of the factor by which a slow server takes longer."""

MIN_RESEND_SECONDS, MAX_RESEND_SECONDS = 8.0, 16.0
"""Range of the time for which a crashing request is sent again."""


def draw_faults(
    rng: random.Random, seconds: float, allowed: Collection[FaultKind] = frozenset(FaultKind)
) -> list[PlannedFault]:
    """Draw the faults of a soak.

    Args:
        rng: Seeded random generator.
        seconds: Length of the part with faults.
        allowed: Kinds to draw from; those of `DRAWN_APART` are left out.

    Returns:
        The faults in order of time.
    """
    planned_faults = []
    at = 1.0
    kinds = [kind for kind in FaultKind if kind in allowed and kind not in DRAWN_APART]
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


def draw_apart(seed: int, kind: FaultKind, seconds: float) -> list[PlannedFault]:
    """Draw the faults of one of the kinds of `DRAWN_APART`.

    Args:
        seed: Seed of the soak.
        kind: The kind.
        seconds: Length of the part with faults.

    Returns:
        The faults in order of time.
    """
    rng = random.Random(
        f"crashes of {seed}" if kind is FaultKind.CRASHING_REQUEST else f"{kind.value} of {seed}"
    )
    if kind is FaultKind.SERVER_PAUSE:
        return _draw_pauses(rng, seconds)
    planned_faults = []
    at = rng.uniform(1.0, 5.0)
    while at < seconds:
        duration = rng.uniform(MIN_RESEND_SECONDS, MAX_RESEND_SECONDS)
        planned_faults.append(PlannedFault(at, kind, duration, rng.random()))
        at += rng.uniform(4.0, 2 * MAX_RESEND_SECONDS)
    return planned_faults


def _draw_pauses(rng: random.Random, seconds: float) -> list[PlannedFault]:
    planned_faults = []
    at = rng.expovariate(1 / MEAN_PAUSE_INTERVAL_SECONDS)
    while at < seconds:
        duration = rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
        planned_faults.append(PlannedFault(at, FaultKind.SERVER_PAUSE, duration, rng.random()))
        at += rng.expovariate(1 / MEAN_PAUSE_INTERVAL_SECONDS)
    return planned_faults
