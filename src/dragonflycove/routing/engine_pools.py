"""Pools of engines, and the capacity that each kind of request may use under each policy."""

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
"""Share of a model's engines that a static partition reserves for long prompts."""

LOWER_PRIORITY_POOLS_SHARE = 0.3
"""Share of a model's engines that are in the lower-priority pool or in the long pool."""

LONG_POOL_SHARE = 0.15
"""Share of a model's engines in the long pool."""

RESERVED_SLOTS_SHARE = 0.25
"""Share of an engine's slots that requests of the lower priority leave free."""

RESERVED_MEMORY_SHARE = 0.15
"""Share of an engine's KV cache that requests of the lower priority leave free."""

BACKLOG_LIMIT_SECONDS = (1.0, 2.0)
"""Maximum prefill backlog of an engine that gets a request of priority 0 and of priority 1."""

SHORT_POOL_FULL_UTILISATION = 0.8
"""Maximum utilisation of the short pool by the higher priority at which the lower may use it."""


class CapacitySource(enum.Enum):
    """Which capacity of an engine a request can use now, if any."""

    NONE = "none"
    """No capacity: the request stays queued."""
    OWN = "own"
    """Capacity that requests of its priority and length may use."""
    BORROWED = "borrowed"
    """Idle capacity that is reserved for other requests; the request may be preempted there."""


class Pool(enum.Enum):
    """Which requests an engine is reserved for; others may use its idle capacity."""

    SHORT = "short"
    """Requests of the higher priority."""
    LOWER_PRIORITY = "lower"
    """Requests of the lower priority that are not long."""
    LONG = "long"
    """Long prompts."""


def assign_pools(policy: policies.Policy, model: str, server_ids: Sequence[str]) -> dict[str, Pool]:
    """Divide the engines of a model between the pools.

    The result depends only on the arguments, so that every node divides the engines alike.

    Args:
        policy: The routing policy.
        model: Name of the model.
        server_ids: Engines that serve it.

    Returns:
        Pool of each engine; empty for a single engine, which all requests share.
    """
    count = len(server_ids)
    if count < 2:
        return {}
    ranked = identifiers.rendezvous_rank(model, server_ids)
    if policy is policies.Policy.STATIC_PARTITION:
        long_count = lower_count = max(1, round(PARTITION_LONG_SHARE * count))
    else:
        long_count = max(1, round(LONG_POOL_SHARE * count))
        lower_count = max(long_count, round(LOWER_PRIORITY_POOLS_SHARE * count))
    pools = (
        [Pool.LONG] * long_count
        + [Pool.LOWER_PRIORITY] * (lower_count - long_count)
        + [Pool.SHORT] * (count - lower_count)
    )
    return dict(zip(ranked, pools, strict=True))


def short_pool_share(pools_by_server: Mapping[str, Pool]) -> float:
    """Return the share of the engines that are in the short pool.

    Args:
        pools_by_server: Pool of each engine; empty if all requests share them.

    Returns:
        From 0 to 1; 1 if all requests share the engines.
    """
    if not pools_by_server:
        return 1.0
    return sum(pool is Pool.SHORT for pool in pools_by_server.values()) / len(pools_by_server)


def find_capacity(
    policy: policies.Policy,
    load: load_view.EngineLoadView,
    demand: demands.Demand,
    pools_by_server: Mapping[str, Pool],
    short_pool_utilisation: float,
    backlog: tuple[float, float],
) -> CapacitySource:
    """Find capacity for a request on an engine with a free slot.

    Args:
        policy: The routing policy; not a baseline policy.
        load: The node's view of the engine's load.
        demand: What the request needs.
        pools_by_server: Pool of each engine; empty if all requests share them.
        short_pool_utilisation: Share of the short pool's prefill rate that requests of the higher
            priority use.
        backlog: Prefill backlog of the higher priority and of both priorities, seconds.

    Returns:
        Which capacity the request can use.
    """
    priority = demand.priority
    if backlog[priority] > BACKLOG_LIMIT_SECONDS[priority]:
        return CapacitySource.NONE
    if demand.memory_tokens > load.free_memory_tokens():
        return CapacitySource.NONE
    if policy is policies.Policy.PRIORITIES_ONLY or not pools_by_server:
        return CapacitySource.OWN
    pool = pools_by_server[load.server.server_id]
    if policy is policies.Policy.STATIC_PARTITION:
        return CapacitySource.OWN if demand.is_long == (pool is Pool.LONG) else CapacitySource.NONE
    if priority == 0:
        is_free = pool is Pool.SHORT or backlog[1] <= 0.0
        return CapacitySource.OWN if is_free else CapacitySource.NONE
    if pool is Pool.SHORT and short_pool_utilisation > SHORT_POOL_FULL_UTILISATION:
        return CapacitySource.NONE
    return _find_lower_priority_capacity(load, demand, pool, backlog[1])


def _find_lower_priority_capacity(
    load: load_view.EngineLoadView, demand: demands.Demand, pool: Pool, backlog: float
) -> CapacitySource:
    """Find capacity that a request of the lower priority may use or borrow on an engine."""
    reserved = (
        math.ceil(RESERVED_SLOTS_SHARE * load.in_flight_limit) if load.in_flight_limit > 1 else 0
    )
    memory_left = load.free_memory_tokens() - demand.memory_tokens
    keeps_slots = load.in_flight < load.in_flight_limit - reserved
    keeps_memory = memory_left >= RESERVED_MEMORY_SHARE * load.server.memory_tokens
    if demand.is_long and pool is Pool.LONG and keeps_slots:
        return CapacitySource.OWN
    if not demand.is_long and keeps_slots and keeps_memory:
        return CapacitySource.OWN
    return CapacitySource.BORROWED if demand.is_long and backlog <= 0.0 else CapacitySource.NONE
