"""Which engines a length class may use under each policy, and how much of each."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

from dragonflycove.routing import policies
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.routing import demands, load_view

LONG_HOME_SHARE = 0.3
"""Share of a model's engines on which long prompts have a right to run."""

RESERVED_SLOTS_SHARE = 0.25
"""Share of an engine's slots that prompts of the lower priority leave free."""

RESERVED_MEMORY_SHARE = 0.15
"""Share of an engine's memory that prompts of the lower priority leave free."""

BACKLOG_LIMIT_SECONDS = (1.0, 2.0)
"""Prompt reading ahead of a request beyond which it waits in the node instead, by priority."""


class Room(enum.Enum):
    """Whether an engine can take a request now."""

    NONE = "none"
    """It cannot."""
    OWN = "own"
    """It can, out of what its class may use."""
    BORROWED = "borrowed"
    """It can, out of idle capacity of the other class."""


def pick_long_homes(model: str, server_ids: Sequence[str]) -> frozenset[str]:
    """Pick the engines on which long prompts have a right to run; every node picks the same.

    Args:
        model: Name of the model.
        server_ids: Engines that serve it.

    Returns:
        Some of them, at least one; none of a single engine, which everything shares.
    """
    if len(server_ids) < 2:
        return frozenset()
    count = max(1, round(LONG_HOME_SHARE * len(server_ids)))
    return frozenset(identifiers.rendezvous_rank(model, server_ids)[:count])


def find_room(
    policy: policies.Policy,
    load: load_view.EngineLoad,
    demand: demands.Demand,
    is_home: bool,
    now: float,
) -> Room:
    """Tell whether an engine can take a request now.

    Args:
        policy: The routing policy.
        load: What is believed of the engine.
        demand: What the request needs.
        is_home: Whether long prompts have a right to run there.
        now: Time, seconds.

    Returns:
        The room.
    """
    if load.in_flight >= load.limit or load.blocked_until > now:
        return Room.NONE
    if policy.is_baseline:
        return Room.OWN
    if demand.memory_tokens > load.memory_free():
        return Room.NONE
    if load.backlog_seconds(demand.priority, now) > BACKLOG_LIMIT_SECONDS[demand.priority]:
        return Room.NONE
    if policy is policies.Policy.STATIC_PARTITION:
        return Room.OWN if demand.is_long == is_home else Room.NONE
    if policy is policies.Policy.PRIORITIES_ONLY or demand.priority == 0:
        return Room.OWN
    return _find_lower_room(load, demand, is_home, now)


def _find_lower_room(
    load: load_view.EngineLoad, demand: demands.Demand, is_home: bool, now: float
) -> Room:
    """Tell whether a request of the lower priority may use, or borrow, an engine."""
    reserved = math.ceil(RESERVED_SLOTS_SHARE * load.limit) if load.limit > 1 else 0
    memory_left = load.memory_free() - demand.memory_tokens
    keeps_slots = load.in_flight < load.limit - reserved
    keeps_memory = memory_left >= RESERVED_MEMORY_SHARE * load.server.memory_tokens
    if demand.is_long and is_home and keeps_slots:
        return Room.OWN
    if not demand.is_long and keeps_slots and keeps_memory:
        return Room.OWN
    is_idle = load.backlog_seconds(1, now) <= 0.0
    return Room.BORROWED if demand.is_long and is_idle else Room.NONE
