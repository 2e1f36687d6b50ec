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

    least_reachable: float
    """Least part of the other hosts that a node can reach that is not cut off, 0 to 1."""


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
        self._expects_peers = False
        self._reachable_fraction = 1.0

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

    def on_reachability(self, expects_peers: bool, reachable_fraction: float) -> None:
        """Take note of how many of the other hosts answer.

        Args:
            expects_peers: Whether the host list names other hosts.
            reachable_fraction: Estimated part of them that can be reached, 0 to 1.
        """
        self._expects_peers = expects_peers
        self._reachable_fraction = reachable_fraction

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
        if not self._expects_peers:
            # There is nobody from whom the node could be cut off.
            return Freshness.LOG_SILENT
        peers_silent = now - self._peer_heard_at > self._bounds.peer_seconds
        if peers_silent or self._reachable_fraction < self._bounds.least_reachable:
            return Freshness.STALE
        return Freshness.LOG_SILENT
