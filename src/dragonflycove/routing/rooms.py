"""Which engines a length class may use under each policy, and how much of each."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

from dragonflycove.routing import policies
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from dragonflycove.routing import demands, load_view

PARTITION_LONG_SHARE = 0.4
"""Share of a model's engines that a static partition gives to long prompts."""

LOWER_HOME_SHARE = 0.3
"""Share of a model's engines on which prompts of the lower priority have a right to run."""

LONG_HOME_SHARE = 0.15
"""Share of a model's engines on which long prompts have a right to run."""

RESERVED_SLOTS_SHARE = 0.25
"""Share of an engine's slots that prompts of the lower priority leave free."""

RESERVED_MEMORY_SHARE = 0.15
"""Share of an engine's memory that prompts of the lower priority leave free."""

BACKLOG_LIMIT_SECONDS = (1.0, 2.0)
"""Prompt reading ahead of a request beyond which it waits in the node instead, by priority."""

FULL_UTILISATION = 0.8
"""Share of the other engines taken by the higher priority above which the lower stays at home."""


class Room(enum.Enum):
    """Whether an engine can take a request now."""

    NONE = "none"
    """It cannot."""
    OWN = "own"
    """It can, out of what its class may use."""
    BORROWED = "borrowed"
    """It can, out of idle capacity of the other class."""


class Home(enum.Enum):
    """Whose right an engine is."""

    SHORT = "short"
    """Of prompts of the higher priority."""
    LOWER = "lower"
    """Of prompts of the lower priority that are not long."""
    LONG = "long"
    """Of long prompts."""


def pick_homes(policy: policies.Policy, model: str, server_ids: Sequence[str]) -> dict[str, Home]:
    """Divide the engines of a model between the classes; every node divides them alike.

    Args:
        policy: The routing policy.
        model: Name of the model.
        server_ids: Engines that serve it.

    Returns:
        Homes by engine; empty for a single engine, which everything shares.
    """
    count = len(server_ids)
    if count < 2:
        return {}
    ranked = identifiers.rendezvous_rank(model, server_ids)
    if policy is policies.Policy.STATIC_PARTITION:
        longs = lowers = max(1, round(PARTITION_LONG_SHARE * count))
    else:
        longs = max(1, round(LONG_HOME_SHARE * count))
        lowers = max(longs, round(LOWER_HOME_SHARE * count))
    homes = [Home.LONG] * longs + [Home.LOWER] * (lowers - longs) + [Home.SHORT] * (count - lowers)
    return dict(zip(ranked, homes, strict=True))


def short_share(homes: Mapping[str, Home]) -> float:
    """Return the share of the engines that are the right of short prompts.

    Args:
        homes: Whose right each engine is.

    Returns:
        From 0 to 1; 1 where everything is shared.
    """
    if not homes:
        return 1.0
    return sum(home is Home.SHORT for home in homes.values()) / len(homes)


def find_room(
    policy: policies.Policy,
    load: load_view.EngineLoad,
    demand: demands.Demand,
    homes: Mapping[str, Home],
    first_utilisation: float,
    backlog: tuple[float, float],
) -> Room:
    """Tell whether an engine with a free slot can take a request now.

    Args:
        policy: The routing policy.
        load: What is believed of the engine.
        demand: What the request needs.
        homes: Whose right each engine is; empty where everything is shared.
        first_utilisation: Share of the short prompts' engines that the higher priority takes.
        backlog: Seconds of prompt reading of the higher priority, and of both.

    Returns:
        The room.
    """
    priority = demand.priority
    if backlog[priority] > BACKLOG_LIMIT_SECONDS[priority]:
        return Room.NONE
    if demand.memory_tokens > load.memory_free():
        return Room.NONE
    if policy is policies.Policy.PRIORITIES_ONLY or not homes:
        return Room.OWN
    home = homes[load.server.server_id]
    if policy is policies.Policy.STATIC_PARTITION:
        return Room.OWN if demand.is_long == (home is Home.LONG) else Room.NONE
    if priority == 0:
        is_free = home is Home.SHORT or backlog[1] <= 0.0
        return Room.OWN if is_free else Room.NONE
    if home is Home.SHORT and first_utilisation > FULL_UTILISATION:
        return Room.NONE
    return _find_lower_room(load, demand, home, backlog[1])


def _find_lower_room(
    load: load_view.EngineLoad, demand: demands.Demand, home: Home, backlog: float
) -> Room:
    """Tell whether a request of the lower priority may use, or borrow, an engine."""
    reserved = math.ceil(RESERVED_SLOTS_SHARE * load.limit) if load.limit > 1 else 0
    memory_left = load.memory_free() - demand.memory_tokens
    keeps_slots = load.in_flight < load.limit - reserved
    keeps_memory = memory_left >= RESERVED_MEMORY_SHARE * load.server.memory_tokens
    if demand.is_long and home is Home.LONG and keeps_slots:
        return Room.OWN
    if not demand.is_long and keeps_slots and keeps_memory:
        return Room.OWN
    return Room.BORROWED if demand.is_long and backlog <= 0.0 else Room.NONE
