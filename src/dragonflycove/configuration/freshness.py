"""Whether a node can know that its configuration is the one in force."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Freshness(enum.Enum):
    """What a node knows about the age of its configuration."""

    FRESH = "fresh"
    """The log was read lately, by this node or by one that it hears of."""

    LOG_SILENT = "log_silent"
    """Nobody it hears of has read the log lately, but most nodes are heard: the log is down."""

    STALE = "stale"
    """The node may be cut off: a newer version may be in force elsewhere."""


class FreshnessBounds(NamedTuple):
    """Bounds on silence."""

    log_seconds: float
    """Longest age of the last reading of the log for a fresh configuration, seconds."""

    peer_seconds: float
    """Longest time since any peer was heard for a node that is not cut off, seconds."""

    majority_seconds: float
    """Longest time since a host was heard of for it to count as heard, seconds."""


class FreshnessView:
    """Keeps when the log and the peers were last heard."""

    def __init__(self, bounds: FreshnessBounds, now: float) -> None:
        """Create the view of a node that starts.

        Args:
            bounds: Bounds on silence.
            now: Time, seconds.
        """
        self._bounds = bounds
        self._log_read_at = float("-inf")
        self._peer_heard_at = now
        self._heard_at_by_host: dict[str, float] = {}
        self._expected_hosts: frozenset[str] = frozenset()

    def on_log_read(self, now: float) -> None:
        """Take note that the log was read to its end.

        Args:
            now: Time, seconds.
        """
        self._log_read_at = max(self._log_read_at, now)

    def on_peer_frame(self, log_age_seconds: float, now: float) -> None:
        """Take note of a frame from a peer that has our version or an older one.

        Args:
            log_age_seconds: Age of the last reading of the log that the peer knows of.
            now: Time, seconds.
        """
        self._peer_heard_at = now
        self._log_read_at = max(self._log_read_at, now - max(0.0, log_age_seconds))

    def on_host_heard(self, host: str, now: float) -> None:
        """Take note that a host is alive, by its own frame or a peer's digest.

        Args:
            host: Name of the host.
            now: Time, seconds.
        """
        self._heard_at_by_host[host] = now

    def on_expected_hosts(self, other_hosts: frozenset[str]) -> None:
        """Take note of which other hosts the host list names.

        Args:
            other_hosts: Names of the hosts, this one left out.
        """
        self._expected_hosts = other_hosts
        for host in self._heard_at_by_host.keys() - other_hosts:
            del self._heard_at_by_host[host]

    def log_age_seconds(self, now: float) -> float:
        """Return the age of the last reading of the log that is known of.

        Args:
            now: Time, seconds.

        Returns:
            Seconds; infinite if none is known of.
        """
        return now - self._log_read_at

    def evaluate(self, now: float) -> Freshness:
        """Tell how fresh the configuration is.

        Args:
            now: Time, seconds.

        Returns:
            The freshness.
        """
        if self.log_age_seconds(now) <= self._bounds.log_seconds:
            return Freshness.FRESH
        if not self._expected_hosts:
            # There is nobody from whom the node could be cut off.
            return Freshness.LOG_SILENT
        peers_silent = now - self._peer_heard_at > self._bounds.peer_seconds
        if peers_silent or 2 * self._count_heard(now) < len(self._expected_hosts):
            return Freshness.STALE
        return Freshness.LOG_SILENT

    def _count_heard(self, now: float) -> int:
        oldest = now - self._bounds.majority_seconds
        return sum(
            1 for host in self._expected_hosts if self._heard_at_by_host.get(host, oldest) > oldest
        )
