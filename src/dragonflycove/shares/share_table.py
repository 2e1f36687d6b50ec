"""Computes this host's share of limits that all nodes share, from the host list alone.

`docs/design/shares.md` proves that the shares never exceed the limit, with the names used here.
"""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.shares import _ranking, _views


class Limit(NamedTuple):
    """A limit that all nodes share, in units such as concurrent requests."""

    name: str
    """Name of the limit; the same on every node."""

    units: int
    """Units that all nodes together may use; units per second for a rate."""


class Excess(NamedTuple):
    """Units in use beyond this host's share."""

    units: int
    """Number of units that this node must stop using."""

    due_at: float
    """Loop time by which this node must have stopped using them, seconds."""


class ShareTable:
    """This host's shares of all common limits.

    A unit is in use from when its work is sent until the server is known to have ended that work:
    the response ended, the cancellation was confirmed, or the work of its owner was reclaimed.
    `units` limits new use. When a share shrinks, use beyond it must end within the reclaim time;
    `excess` returns the number of units and the deadline.
    """

    def __init__(self, host: str, host_list_lag_seconds: float, reclaim_seconds: float) -> None:
        """Create a table without a host list; every share is zero.

        Args:
            host: Name of this node's host.
            host_list_lag_seconds: Maximum age of a host list that may be acted on.
            reclaim_seconds: Time within which a live host stops using its excess, and within which
                the servers end the work of a host that died or paused.
        """
        self._host = host
        self._reclaim_seconds = reclaim_seconds
        self._view = _views.HostView(host, host_list_lag_seconds, reclaim_seconds)
        self._ranking = _ranking.Ranking(host)
        self._excess_since_by_limit: dict[str, float] = {}

    @property
    def growth_delay_seconds(self) -> float:
        """Delay from a change of the host list until shares may grow because of it."""
        return self._view.growth_delay_seconds

    def on_host_list(self, names: frozenset[str], age_seconds: float, now: float) -> None:
        """Process a host list.

        Args:
            names: Names of hosts that may have shares. This host's name must be included only if
                the list has this node's address for it.
            age_seconds: Age of the list: time since it was current.
            now: Loop time, seconds.
        """
        self._view.on_host_list(names, age_seconds, now)
        self._refresh(now)

    def usable(self, now: float) -> bool:
        """Return whether this node may use its shares.

        Args:
            now: Loop time, seconds.

        Returns:
            False if the host list is too old, if this host is not listed, or until use by this
            host's predecessor or by hosts that were removed has certainly ended.
        """
        return self._view.usable(now)

    def units(self, limit: Limit, now: float) -> int:
        """Return the number of units that this host may have in use.

        Args:
            limit: The limit.
            now: Loop time, seconds.

        Returns:
            Units; the sum over all hosts is at most the limit.
        """
        if not self._view.usable(now):
            return 0
        return self.units_from_last_list(limit, now)

    def units_from_last_list(self, limit: Limit, now: float) -> int:
        """Return this host's units by the last host list, regardless of its age.

        Only for limits that the server enforces itself, where exceeding them costs a refusal.

        Args:
            limit: The limit.
            now: Loop time, seconds.

        Returns:
            Units; over all hosts they may exceed the limit.
        """
        self._refresh(now)
        return divide(limit.units, self._ranking.rank(limit.name), self._ranking.host_count)

    def rate(self, limit: Limit, now: float) -> int:
        """Return this host's share of a rate limit.

        Args:
            limit: The limit in units per second.
            now: Loop time, seconds.

        Returns:
            Units per second, for `rate_share.RateShare.set_rate`.
        """
        return self.units(limit, now)

    def holders(self, limit: Limit, now: float) -> tuple[str, ...]:
        """Return the hosts that have a share of a limit, to forward a request to one of them.

        Args:
            limit: The limit.
            now: Loop time, seconds.

        Returns:
            Names of hosts in the newest host list, those with the most units first.
        """
        self._refresh(now)
        ranked = self._ranking.top_hosts(limit.name, limit.units)
        return tuple(name for name in ranked if name in self._view.names)

    def excess(self, limit: Limit, in_use: int, now: float) -> Excess | None:
        """Return how many units this node must stop using because this host's share shrank.

        Must be called at least once after each host list and each change of the limit.

        Args:
            limit: The limit.
            in_use: Units that this node has in use.
            now: Loop time, seconds.

        Returns:
            The units beyond the share and the deadline to stop using them; `None` without excess.
        """
        excess_units = in_use - self.units(limit, now)
        if excess_units <= 0:
            self._excess_since_by_limit.pop(limit.name, None)
            return None
        # The first shrink sets the deadline; later ones must not postpone it.
        since = self._excess_since_by_limit.setdefault(limit.name, self._view.last_shrink_at(now))
        return Excess(excess_units, since + self._reclaim_seconds)

    def forget_limit(self, limit_name: str) -> None:
        """Drop the state of a limit that no longer exists.

        Args:
            limit_name: Name of the limit.
        """
        self._excess_since_by_limit.pop(limit_name, None)
        self._ranking.forget_limit(limit_name)

    def _refresh(self, now: float) -> None:
        """Update the ranking to the hosts that may still use units."""
        change = self._view.pop_change(now)
        if change is not None:
            self._ranking.update_hosts(change.added, change.removed)


def divide(units: int, rank: int, hosts: int) -> int:
    """Return the units of the host with a given rank.

    The result never grows when a host is added or when `units` is reduced.

    Args:
        units: Units to divide.
        rank: Rank of the host, 0 for the highest.
        hosts: Number of hosts.

    Returns:
        Units; over all ranks they sum to `units`.
    """
    if hosts <= 0 or rank >= units:
        return 0
    return -(-(units - rank) // hosts)
