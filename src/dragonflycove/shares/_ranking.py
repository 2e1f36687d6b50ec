"""This host's rendezvous rank for each limit, kept up to date change by change."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any, NamedTuple

from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Iterable

MOST_CACHED = 4096
"""Limits whose ranks are kept; when there are more, the one first asked for is forgotten."""


class _Best(NamedTuple):
    wanted: int
    names: tuple[str, ...]


class Ranking:
    """Ranks of one host among all hosts that may use units."""

    def __init__(self, host: str) -> None:
        """Create a ranking without hosts.

        Args:
            host: Name of this node's host.
        """
        self._host = host
        self._names: set[str] = set()
        self._rank_by_limit: dict[str, int] = {}
        self._best_by_limit: dict[str, _Best] = {}

    @property
    def size(self) -> int:
        """Number of hosts, this one included."""
        return len(self._names | {self._host})

    def apply(self, added: Iterable[str], removed: Iterable[str]) -> None:
        """Add and remove hosts.

        Args:
            added: Names of hosts to add.
            removed: Names of hosts to remove.
        """
        for name in added:
            self._names.add(name)
            self._shift(name, 1)
        for name in removed:
            self._names.discard(name)
            self._shift(name, -1)
        self._best_by_limit.clear()

    def rank(self, limit_name: str) -> int:
        """Return how many hosts rank above this one.

        Args:
            limit_name: Name of the limit.

        Returns:
            The rank, 0 for the best.
        """
        rank = self._rank_by_limit.get(limit_name)
        if rank is None:
            own = _score(limit_name, self._host)
            rank = sum(_score(limit_name, name) > own for name in self._names)
            _make_room(self._rank_by_limit)
            self._rank_by_limit[limit_name] = rank
        return rank

    def best(self, limit_name: str, count: int) -> tuple[str, ...]:
        """Return the best hosts.

        Args:
            limit_name: Name of the limit.
            count: How many.

        Returns:
            Their names, the best first.
        """
        cached = self._best_by_limit.get(limit_name)
        if cached is None or cached.wanted < count:
            names = heapq.nlargest(
                min(count, len(self._names)), self._names, key=lambda name: _score(limit_name, name)
            )
            cached = _Best(count, tuple(names))
            _make_room(self._best_by_limit)
            self._best_by_limit[limit_name] = cached
        return cached.names[:count]

    def forget(self, limit_name: str) -> None:
        """Drop what is kept for a limit that is gone.

        Args:
            limit_name: Name of the limit.
        """
        self._rank_by_limit.pop(limit_name, None)
        self._best_by_limit.pop(limit_name, None)

    def _shift(self, name: str, step: int) -> None:
        """Move this host's known ranks because another host came or went."""
        if name == self._host:
            return
        for limit_name, rank in self._rank_by_limit.items():
            if _score(limit_name, name) > _score(limit_name, self._host):
                self._rank_by_limit[limit_name] = rank + step


def _make_room(cache: dict[str, Any]) -> None:
    """Forget the oldest entry of a cache that is full."""
    if len(cache) >= MOST_CACHED:
        del cache[next(iter(cache))]


def _score(limit_name: str, host: str) -> tuple[int, str]:
    """Return the rendezvous weight of a host for a limit."""
    return identifiers.stable_hash(limit_name, host), host
