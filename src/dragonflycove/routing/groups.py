"""Candidate engines for memory groups, for requests that need the KV cache of several engines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dragonflycove.routing import engine_pools

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from dragonflycove.routing import demands, load_view

MAX_IDLE_BACKLOG_SECONDS = 10.0
"""Maximum prefill backlog of an engine that counts as idle for a memory group."""

MEMBER_MEMORY_SHARE = 0.7
"""Maximum share of an engine's KV cache that one request may take."""

EXTRA_CANDIDATES = 2
"""Number of candidates returned in addition to the members that are needed."""

_POOL_ORDER = {
    engine_pools.Pool.LONG: 0,
    engine_pools.Pool.LOWER_PRIORITY: 1,
    engine_pools.Pool.SHORT: 2,
}


def needs_group(memory_tokens: int, largest_memory_tokens: int) -> bool:
    """Return whether a request needs the KV cache of several engines.

    Args:
        memory_tokens: KV cache that the request takes, tokens.
        largest_memory_tokens: KV cache of the largest engine, tokens.

    Returns:
        True if it takes more than `MEMBER_MEMORY_SHARE` of the largest engine.
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
    """Find engines that can reserve a member's part of a request's KV cache now.

    Args:
        demand: What the request needs.
        loads: The engines that may get new work.
        pools_by_server: Pool of each engine; empty if all requests share them.
        short_pool_utilisation: Share of the short pool's prefill rate that requests of the higher
            priority use.
        is_urgent: Whether the request has to start now; then busy engines are candidates too.
        now: Loop time, seconds.

    Returns:
        Identifiers of engines, idle before busy ones, then by pool (long, lower priority, short),
        then by backlog; empty if there are fewer than needed.
    """
    allowed = [load for load in loads if load.server.server_id not in demand.excluded]
    if not allowed:
        return ()
    largest = max(load.server.memory_tokens for load in allowed)
    count = math.ceil(demand.memory_tokens / (MEMBER_MEMORY_SHARE * largest))
    member_tokens = -(-demand.memory_tokens // count)
    ranked = []
    for load in allowed:
        server_id = load.server.server_id
        pool = pools_by_server.get(server_id, engine_pools.Pool.LONG)
        backlog = load.backlog_seconds(now)[1]
        is_short_pool_full = (
            pool is engine_pools.Pool.SHORT
            and short_pool_utilisation > engine_pools.SHORT_POOL_FULL_UTILISATION
        )
        is_busy = backlog > MAX_IDLE_BACKLOG_SECONDS or is_short_pool_full
        if (
            load.has_free_slot(now)
            and load.free_memory_tokens() >= member_tokens
            and (is_urgent or not is_busy)
        ):
            ranked.append((is_busy, _POOL_ORDER[pool], backlog, server_id))
    if len(ranked) < count:
        return ()
    return tuple(entry[-1] for entry in sorted(ranked)[: count + EXTRA_CANDIDATES])
