"""What one node knows of the host list over time."""

from __future__ import annotations

from typing import NamedTuple


class Change(NamedTuple):
    """A change of the hosts that may use units."""

    added: frozenset[str]
    """Hosts that may use units from now on."""

    removed: frozenset[str]
    """Hosts whose last use has ended."""


class HostView:
    """Hosts that may use units now, and whether this host is one of them."""

    def __init__(self, host: str, lag_seconds: float, reclaim_seconds: float) -> None:
        """Create a view that has seen no host list.

        Args:
            host: Name of this node's host.
            lag_seconds: Greatest age of a host list that may be acted on.
            reclaim_seconds: Time in which a holder gives up its excess, and in which the uses of
                one that died or paused are ended.
        """
        self.names: frozenset[str] = frozenset()
        """Hosts of the newest list."""
        # A holder may see a change late, give up its excess late, and die right before that is due.
        self.wait_seconds = 2 * (lag_seconds + reclaim_seconds)
        """Time between a change of the host list and the growth of a share."""
        # No host can begin and cease to use units unseen in a gap between lists that is shorter.
        self._longest_gap_seconds = 2 * reclaim_seconds
        self._host = host
        self._lag_seconds = lag_seconds
        self._read_at: float | None = None
        self._listed_since: float | None = None
        self._changed_at = 0.0
        self._missing_since_by_name: dict[str, float] = {}
        self._is_stale = False
        self._next_expiry = float("inf")
        self._counted: frozenset[str] = frozenset()

    def on_host_list(self, names: frozenset[str], age_seconds: float, now: float) -> None:
        """Take in a host list; one that is older than the newest is ignored."""
        read_at = now - max(0.0, age_seconds)
        if self._read_at is not None and read_at < self._read_at:
            return
        covered = self._covered(now)
        gap = 0.0 if self._read_at is None else read_at - self._read_at
        self._note_missing(names, now)
        if names - self.names or self._host not in names:
            self._changed_at = now
        self._is_stale = self._is_stale or names != self.names
        self.names = names
        self._read_at = read_at
        if self._host not in names or not self._covered(now):
            self._listed_since = None
        elif self._listed_since is None or (not covered and gap >= self._longest_gap_seconds):
            self._listed_since = read_at

    def usable(self, now: float) -> bool:
        """Tell whether this host may use units."""
        if not self._covered(now) or self._listed_since is None:
            return False
        return now >= self._listed_since + self.wait_seconds

    def shrunk_at(self, now: float) -> float:
        """Return the latest moment at which this host's shares may have shrunk."""
        if self._read_at is None:
            return self._changed_at
        if self._covered(now):
            return self._changed_at
        return self._read_at + self._lag_seconds

    def take_change(self, now: float) -> Change | None:
        """Return how the hosts that may use units changed since the last call."""
        if not self._is_stale and now < self._next_expiry:
            return None
        for name, since in list(self._missing_since_by_name.items()):
            if now >= since + self.wait_seconds:
                del self._missing_since_by_name[name]
        self._is_stale = False
        first = min(self._missing_since_by_name.values(), default=float("inf"))
        self._next_expiry = first + self.wait_seconds
        counted = self.names | self._missing_since_by_name.keys()
        if counted == self._counted:
            return None
        change = Change(counted - self._counted, self._counted - counted)
        self._counted = counted
        return change

    def _covered(self, now: float) -> bool:
        """Tell whether the newest list is young enough to act on."""
        return self._read_at is not None and now - self._read_at <= self._lag_seconds

    def _note_missing(self, names: frozenset[str], now: float) -> None:
        """Note since when hosts that may still use units are missing from the list."""
        for name in self.names - names:
            self._missing_since_by_name[name] = now
        for name in names & self._missing_since_by_name.keys():
            del self._missing_since_by_name[name]
