"""Divides a limit that all nodes hold together, from the host list alone.

The proof of the sum is in `docs/design/shares.md`; the names below are the ones used there.
"""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.shares import _ranking, _views


class Limit(NamedTuple):
    """A limit that all nodes hold together."""

    name: str
    """Identifier of the limited thing; equal on every node."""

    units: int
    """Whole units that all nodes may use together; units a second for a rate."""


class Excess(NamedTuple):
    """Units in use above the share."""

    units: int
    """Units that the node must stop using."""

    due_at: float
    """Time of the loop's clock by which their use must have ended."""


class ShareTable:
    """This host's shares of all common limits.

    A unit is in use from the moment at which its work is sent until the server is known to have
    ended it: its answer ended, its cancellation was confirmed, or its owner was reclaimed.
    `units` bounds new use. Use that a smaller share no longer covers must end within the reclaim
    time; `excess` says how much and by when.
    """

    def __init__(self, host: str, host_list_lag_seconds: float, reclaim_seconds: float) -> None:
        """Create a table without a host list; every share is zero.

        Args:
            host: Name of this node's host.
            host_list_lag_seconds: Greatest age of a host list that may be acted on.
            reclaim_seconds: Time in which a living holder gives up its excess, and in which the
                uses of one that died or paused are ended at the servers.
        """
        self._host = host
        self._reclaim_seconds = reclaim_seconds
        self._view = _views.HostView(host, host_list_lag_seconds, reclaim_seconds)
        self._ranking = _ranking.Ranking(host)
        self._over_since_by_limit: dict[str, float] = {}

    @property
    def wait_seconds(self) -> float:
        """Time between a change of the host list and the growth of a share."""
        return self._view.wait_seconds

    def on_host_list(self, names: frozenset[str], age_seconds: float, now: float) -> None:
        """Take in a host list.

        Args:
            names: Hosts that may hold shares. This node's own name belongs in it only while the
                list gives this node's own address for it.
            age_seconds: Age of the list: how long ago it was true.
            now: Time of the loop's clock.
        """
        self._view.on_host_list(names, age_seconds, now)
        self._refresh(now)

    def usable(self, now: float) -> bool:
        """Tell whether this node may use any share.

        Args:
            now: Time of the loop's clock.

        Returns:
            False while the host list is too old, this host is not listed, or it waits for the
            use of a predecessor or a former holder to end.
        """
        return self._view.usable(now)

    def units(self, limit: Limit, now: float) -> int:
        """Return how many units this host may have in use.

        Args:
            limit: The limit.
            now: Time of the loop's clock.

        Returns:
            Whole units; the sum over all hosts is at most the limit.
        """
        if not self._view.usable(now):
            return 0
        return self.units_from_last_list(limit, now)

    def units_from_last_list(self, limit: Limit, now: float) -> int:
        """Return this host's units by the last host list, however old it is.

        Only for limits that the server enforces itself, where overstepping costs a refusal.

        Args:
            limit: The limit.
            now: Time of the loop's clock.

        Returns:
            Whole units.
        """
        self._refresh(now)
        return divide(limit.units, self._ranking.rank(limit.name), self._ranking.size)

    def rate(self, limit: Limit, now: float) -> int:
        """Return this host's part of a rate.

        Args:
            limit: The limit, units a second.
            now: Time of the loop's clock.

        Returns:
            Whole units a second, for `rate_share.RateShare.set_rate`.
        """
        return self.units(limit, now)

    def holders(self, limit: Limit, now: float) -> tuple[str, ...]:
        """Return the hosts that have a share, for handing a request on.

        Args:
            limit: The limit.
            now: Time of the loop's clock.

        Returns:
            Names of hosts that are in the newest list, those with the most units first.
        """
        self._refresh(now)
        ranked = self._ranking.best(limit.name, limit.units)
        return tuple(name for name in ranked if name in self._view.names)

    def excess(self, limit: Limit, in_use: int, now: float) -> Excess | None:
        """Tell how much use must end because the share shrank.

        To be asked at least once for each host list and each change of the limit.

        Args:
            limit: The limit.
            in_use: Units that this node has in use.
            now: Time of the loop's clock.

        Returns:
            The units above the share and when they must have been given up, or `None`.
        """
        over = in_use - self.units(limit, now)
        if over <= 0:
            self._over_since_by_limit.pop(limit.name, None)
            return None
        # The first shrink counts: later ones must not put off the end of what it took away.
        since = self._over_since_by_limit.setdefault(limit.name, self._view.shrunk_at(now))
        return Excess(over, since + self._reclaim_seconds)

    def forget(self, limit_name: str) -> None:
        """Drop what is kept for a limit that is gone.

        Args:
            limit_name: Name of the limit.
        """
        self._over_since_by_limit.pop(limit_name, None)
        self._ranking.forget(limit_name)

    def _refresh(self, now: float) -> None:
        """Bring the ranking in line with the hosts that may still use units."""
        change = self._view.take_change(now)
        if change is not None:
            self._ranking.apply(change.added, change.removed)


def divide(units: int, rank: int, hosts: int) -> int:
    """Return the units of the host at a rank.

    Never grows when a host is added, nor when units are taken away.

    Args:
        units: Units to divide.
        rank: Rank of the host, 0 for the best.
        hosts: Number of hosts.

    Returns:
        Whole units; over all ranks they sum to `units`.
    """
    if hosts <= 0 or rank >= units:
        return 0
    return -(-(units - rank) // hosts)
