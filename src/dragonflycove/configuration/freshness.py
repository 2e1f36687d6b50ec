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


DEFAULT_BOUNDS = FreshnessBounds(log_seconds=4.0, peer_seconds=4.0, least_reachable=0.5)
"""The bounds that nodes use; a reading that finds nothing new takes 2 s."""


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
        self._furthest_offset = 0

    def on_log_read(self, asked_at: float) -> None:
        """Take note that the log was read to its end.

        Args:
            asked_at: When the reading was asked for, seconds. The answer may have waited long
                where the process was paused, so its arrival says nothing.
        """
        self._log_read_at = max(self._log_read_at, asked_at)

    def on_peer_position(self, next_offset: int) -> None:
        """Take note of how far a peer has applied the configuration stream.

        Args:
            next_offset: Offset of the first record that it has not applied.
        """
        self._furthest_offset = max(self._furthest_offset, next_offset)

    def on_peer_response(self, log_age_seconds: float, asked_at: float) -> None:
        """Take note of an answer from a peer that has applied no record that is missing here.

        Args:
            log_age_seconds: Age of the last reading of the log that the peer knows of.
            asked_at: When the peer was asked, seconds.
        """
        self._peer_heard_at = max(self._peer_heard_at, asked_at)
        self._log_read_at = max(self._log_read_at, asked_at - max(0.0, log_age_seconds))

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

    def evaluate(self, now: float, next_offset: int) -> Freshness:
        """Tell how fresh the configuration is.

        Args:
            now: Time, seconds.
            next_offset: Offset of the first record that this node has not applied.

        Returns:
            The freshness.
        """
        if self.log_age_seconds(now) <= self._bounds.log_seconds:
            return Freshness.FRESH
        if next_offset < self._furthest_offset:
            # A peer has applied records that the log does not show here.
            return Freshness.STALE
        if not self._expects_peers:
            # There is nobody from whom the node could be cut off.
            return Freshness.LOG_SILENT
        peers_silent = now - self._peer_heard_at > self._bounds.peer_seconds
        if peers_silent or self._reachable_fraction < self._bounds.least_reachable:
            return Freshness.STALE
        return Freshness.LOG_SILENT
