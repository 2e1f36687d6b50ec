"""One node's view of the host list over time."""

from __future__ import annotations

from typing import NamedTuple


class HostChange(NamedTuple):
    """A change of the set of hosts that may use units."""

    added: frozenset[str]
    """Names of the hosts that may use units of limits from now on."""

    removed: frozenset[str]
    """Names of hosts that have ended all use of units."""


class HostView:
    """Tracks which hosts may use units at present and whether this host is one of them."""

    def __init__(self, host: str, lag_seconds: float, reclaim_seconds: float) -> None:
        """Create a view without a host list.

        Args:
            host: Name of this node's host.
            lag_seconds: Maximum age of a host list that may be acted on.
            reclaim_seconds: Time within which a host stops using units above its share, and within
                which use by a host that died or paused is ended.
        """
        self.names: frozenset[str] = frozenset()
        """Names of the hosts in the newest list."""
        # A host may see the change late, stop its excess use late, and die just before that is due;
        # to end a dead host's use takes as long again.
        self.growth_delay_seconds = 2 * (lag_seconds + reclaim_seconds)
        """Delay from a change of the host list until shares may grow because of it."""
        # In a shorter gap between lists no host can start and stop using units unnoticed.
        self._max_gap_seconds = 2 * reclaim_seconds
        self._host = host
        self._lag_seconds = lag_seconds
        self._read_at: float | None = None
        self._listed_since: float | None = None
        self._changed_at = 0.0
        self._missing_since_by_name: dict[str, float] = {}
        self._has_pending_change = False
        self._next_expiry = float("inf")
        self._eligible_names: frozenset[str] = frozenset()

    def on_host_list(self, names: frozenset[str], age_seconds: float, now: float) -> None:
        """Process a host list; a list older than the newest one is ignored."""
        read_at = now - max(0.0, age_seconds)
        if self._read_at is not None and read_at < self._read_at:
            return
        was_fresh = self._is_list_fresh(now)
        gap = 0.0 if self._read_at is None else read_at - self._read_at
        self._update_missing(names, now)
        if names - self.names or self._host not in names:
            self._changed_at = now
        self._has_pending_change = self._has_pending_change or names != self.names
        self.names = names
        self._read_at = read_at
        if self._host not in names or not self._is_list_fresh(now):
            self._listed_since = None
        elif self._listed_since is None or (not was_fresh and gap >= self._max_gap_seconds):
            self._listed_since = read_at

    def usable(self, now: float) -> bool:
        """Return whether this host may use units."""
        if not self._is_list_fresh(now) or self._listed_since is None:
            return False
        return now >= self._listed_since + self.growth_delay_seconds

    def last_shrink_at(self, now: float) -> float:
        """Return the latest loop time at which this host's shares may have shrunk, seconds."""
        if self._read_at is None:
            return self._changed_at
        if self._is_list_fresh(now):
            return self._changed_at
        return self._read_at + self._lag_seconds

    def pop_change(self, now: float) -> HostChange | None:
        """Return the change of the hosts that may use units since the last call, or `None`."""
        if not self._has_pending_change and now < self._next_expiry:
            return None
        for name, since in list(self._missing_since_by_name.items()):
            if now >= since + self.growth_delay_seconds:
                del self._missing_since_by_name[name]
        self._has_pending_change = False
        first_missing_since = min(self._missing_since_by_name.values(), default=float("inf"))
        self._next_expiry = first_missing_since + self.growth_delay_seconds
        eligible_names = self.names | self._missing_since_by_name.keys()
        if eligible_names == self._eligible_names:
            return None
        change = HostChange(
            eligible_names - self._eligible_names, self._eligible_names - eligible_names
        )
        self._eligible_names = eligible_names
        return change

    def _is_list_fresh(self, now: float) -> bool:
        """Return whether the newest host list is recent enough to act on."""
        return self._read_at is not None and now - self._read_at <= self._lag_seconds

    def _update_missing(self, names: frozenset[str], now: float) -> None:
        """Record when hosts were removed from the list; they may still be using units."""
        for name in self.names - names:
            self._missing_since_by_name[name] = now
        for name in names & self._missing_since_by_name.keys():
            del self._missing_since_by_name[name]
