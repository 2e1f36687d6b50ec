"""This host's rendezvous rank for each limit, updated incrementally as hosts change."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any, NamedTuple

from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_CACHED_LIMITS = 4096
"""Maximum number of cached limits; beyond it the oldest entry is evicted."""


class _CachedTopHosts(NamedTuple):
    requested_count: int
    names: tuple[str, ...]


class Ranking:
    """Rendezvous ranks of one host among all hosts that may use units of a limit."""

    def __init__(self, host: str) -> None:
        """Create a ranking without other hosts.

        Args:
            host: Name of this node's host.
        """
        self._host = host
        self._names: set[str] = set()
        self._rank_by_limit: dict[str, int] = {}
        self._top_hosts_by_limit: dict[str, _CachedTopHosts] = {}

    @property
    def host_count(self) -> int:
        """Number of hosts that may use units, this one included."""
        return len(self._names | {self._host})

    def update_hosts(self, added: Iterable[str], removed: Iterable[str]) -> None:
        """Add and remove hosts.

        Args:
            added: Names of hosts to add.
            removed: Names of hosts to remove.
        """
        for name in added:
            self._names.add(name)
            self._adjust_ranks(name, 1)
        for name in removed:
            self._names.discard(name)
            self._adjust_ranks(name, -1)
        self._top_hosts_by_limit.clear()

    def rank(self, limit_name: str) -> int:
        """Return how many hosts rank above this one for a limit.

        Args:
            limit_name: Name of the limit.

        Returns:
            The rank, 0 for the highest.
        """
        rank = self._rank_by_limit.get(limit_name)
        if rank is None:
            own = _score(limit_name, self._host)
            rank = sum(_score(limit_name, name) > own for name in self._names)
            _evict_oldest_if_full(self._rank_by_limit)
            self._rank_by_limit[limit_name] = rank
        return rank

    def top_hosts(self, limit_name: str, count: int) -> tuple[str, ...]:
        """Return the highest ranked hosts for a limit.

        Args:
            limit_name: Name of the limit.
            count: Maximum number of hosts.

        Returns:
            Names of hosts, the highest ranked first.
        """
        cached = self._top_hosts_by_limit.get(limit_name)
        if cached is None or cached.requested_count < count:
            names = heapq.nlargest(
                min(count, len(self._names)), self._names, key=lambda name: _score(limit_name, name)
            )
            cached = _CachedTopHosts(count, tuple(names))
            _evict_oldest_if_full(self._top_hosts_by_limit)
            self._top_hosts_by_limit[limit_name] = cached
        return cached.names[:count]

    def forget_limit(self, limit_name: str) -> None:
        """Drop the cached ranks of a limit that no longer exists.

        Args:
            limit_name: Name of the limit.
        """
        self._rank_by_limit.pop(limit_name, None)
        self._top_hosts_by_limit.pop(limit_name, None)

    def _adjust_ranks(self, name: str, rank_change: int) -> None:
        """Adjust this host's cached ranks after another host was added (1) or removed (-1)."""
        if name == self._host:
            return
        for limit_name, rank in self._rank_by_limit.items():
            if _score(limit_name, name) > _score(limit_name, self._host):
                self._rank_by_limit[limit_name] = rank + rank_change


def _evict_oldest_if_full(cache: dict[str, Any]) -> None:
    """Evict the oldest entry of a cache that is full."""
    if len(cache) >= MAX_CACHED_LIMITS:
        del cache[next(iter(cache))]


def _score(limit_name: str, host: str) -> tuple[int, str]:
    """Return the rendezvous weight of a host for a limit; the name breaks ties."""
    return identifiers.stable_hash(limit_name, host), host
