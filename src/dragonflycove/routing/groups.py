"""Engines for requests that need the memory of several."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dragonflycove.routing import engine_pools

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from dragonflycove.routing import demands, load_view

BACKLOG_LIMIT_SECONDS = 10.0
"""Prompt reading ahead of a group's part beyond which an engine is too busy for it."""

MEMBER_MEMORY_SHARE = 0.7
"""Largest share of an engine's memory that one request may take there."""

SPARE_CANDIDATES = 2
"""Engines beyond the least number that are named as candidates."""

_POOL_ORDER = {
    engine_pools.Pool.LONG: 0,
    engine_pools.Pool.LOWER_PRIORITY: 1,
    engine_pools.Pool.SHORT: 2,
}


def needs_group(memory_tokens: int, largest_memory_tokens: int) -> bool:
    """Tell whether a request needs the memory of several engines.

    Args:
        memory_tokens: KV memory that it takes.
        largest_memory_tokens: KV memory of the largest engine.

    Returns:
        True also where one engine would have to be almost empty.
    """
    return memory_tokens > MEMBER_MEMORY_SHARE * largest_memory_tokens


def find_candidates(
    demand: demands.Demand,
    loads: Sequence[load_view.EngineLoadView],
    pools_by_server: Mapping[str, engine_pools.Pool],
    short_pool_utilisation: float,
    is_urgent: bool,
    now: float,
) -> tuple[str, ...]:
    """Find engines that can take their part of a request now.

    Args:
        demand: What the request needs.
        loads: The engines that may get new work.
        homes: Whose right each engine is.
        first_utilisation: Share of the short prompts' engines that the higher priority takes.
        is_urgent: Whether the request has to start by now; then busy engines will do too.
        now: Time, seconds.

    Returns:
        Engines, those of long prompts first and the less busy before the others; empty where
        there are too few.
    """
    allowed = [load for load in loads if load.server.server_id not in demand.excluded]
    if not allowed:
        return ()
    largest = max(load.server.memory_tokens for load in allowed)
    count = math.ceil(demand.memory_tokens / (MEMBER_MEMORY_SHARE * largest))
    part = -(-demand.memory_tokens // count)
    ranked = []
    for load in allowed:
        server_id = load.server.server_id
        pool = pools_by_server.get(server_id, engine_pools.Pool.LONG)
        backlog = load.backlog_seconds(now)[1]
        is_full = (
            pool is engine_pools.Pool.SHORT
            and short_pool_utilisation > engine_pools.SHORT_POOL_FULL_UTILISATION
        )
        is_busy = backlog > BACKLOG_LIMIT_SECONDS or is_full
        if (
            load.has_free_slot(now)
            and load.free_memory_tokens() >= part
            and (is_urgent or not is_busy)
        ):
            ranked.append((is_busy, _POOL_ORDER[pool], backlog, server_id))
    if len(ranked) < count:
        return ()
    return tuple(entry[-1] for entry in sorted(ranked)[: count + SPARE_CANDIDATES])
