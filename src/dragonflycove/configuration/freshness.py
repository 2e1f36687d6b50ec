"""Evaluates whether a node's configuration can still be the version in force.

A node that is isolated from the log and its peers may serve an outdated configuration.
"""

from __future__ import annotations

import enum
from typing import NamedTuple


class Freshness(enum.Enum):
    """Freshness of a node's configuration."""

    FRESH = "fresh"
    """The log was read recently, by this node or by a peer that holds no newer records."""

    LOG_SILENT = "log_silent"
    """No known node has read the log recently, but this node is not isolated: the log is down."""

    STALE = "stale"
    """The node may be isolated, or a peer has newer records: a newer version may be in force."""


class FreshnessBounds(NamedTuple):
    """Limits within which a configuration counts as fresh, and a node as not isolated."""

    max_log_age_seconds: float
    """Maximum age of the last log read for a fresh configuration, seconds."""

    peer_timeout_seconds: float
    """Time without a response from any peer after which a node may be isolated, seconds."""

    min_reachable_fraction: float
    """Fraction of the other hosts below which a node may be isolated, 0 to 1."""


DEFAULT_BOUNDS = FreshnessBounds(
    max_log_age_seconds=4.0, peer_timeout_seconds=4.0, min_reachable_fraction=0.5
)
"""The limits that nodes use. A log read that finds no new records takes 2 s (long poll)."""


class FreshnessView:
    """Tracks when the log was last read and when peers last responded."""

    def __init__(self, bounds: FreshnessBounds, now: float) -> None:
        """Create the view of a starting node; `now` counts as the time of the last peer response.

        Args:
            bounds: Limits on the age of information.
            now: Loop time, seconds.
        """
        self._bounds = bounds
        self._log_read_at = float("-inf")
        self._last_peer_response_at = now
        self._has_peers = False
        self._reachable_fraction = 1.0
        self._max_peer_offset = 0

    def on_log_read(self, requested_at: float) -> None:
        """Record that the log was read to its end.

        Args:
            requested_at: Loop time at which the read was sent, seconds. The time of the
                response is not used, since a paused process may handle it long after the log sent
                it.
        """
        self._log_read_at = max(self._log_read_at, requested_at)

    def on_peer_position(self, next_offset: int) -> None:
        """Record how far a peer has applied the configuration stream.

        Args:
            next_offset: Offset of the first record that the peer has not applied.
        """
        self._max_peer_offset = max(self._max_peer_offset, next_offset)

    def on_peer_response(self, log_age_seconds: float, requested_at: float) -> None:
        """Record a response of a peer.

        Args:
            log_age_seconds: Age of the last log read that the peer knows of; infinite if it knows
                of no read, or if it has applied records that this node lacks.
            requested_at: Loop time at which the request was sent to the peer, seconds.
        """
        self._last_peer_response_at = max(self._last_peer_response_at, requested_at)
        self._log_read_at = max(self._log_read_at, requested_at - max(0.0, log_age_seconds))

    def on_reachability(self, has_peers: bool, reachable_fraction: float) -> None:
        """Record how many of the other hosts are reachable.

        Args:
            has_peers: Whether the host list holds other hosts.
            reachable_fraction: Estimated fraction of them that is reachable, 0 to 1.
        """
        self._has_peers = has_peers
        self._reachable_fraction = reachable_fraction

    def log_age_seconds(self, now: float) -> float:
        """Return the age of the last log read, by this node or as reported by a peer.

        Args:
            now: Loop time, seconds.

        Returns:
            Seconds; infinite if no read is known.
        """
        return now - self._log_read_at

    def evaluate(self, now: float, next_offset: int) -> Freshness:
        """Return the freshness of the configuration.

        Args:
            now: Loop time, seconds.
            next_offset: Offset of the first record that this node has not applied.

        Returns:
            The freshness, from the age of the log read first, then from the peers.
        """
        if self.log_age_seconds(now) <= self._bounds.max_log_age_seconds:
            return Freshness.FRESH
        if next_offset < self._max_peer_offset:
            # A peer has applied records that this node has not read.
            return Freshness.STALE
        if not self._has_peers:
            # Without other hosts the node can't be isolated from them.
            return Freshness.LOG_SILENT
        peers_unresponsive = now - self._last_peer_response_at > self._bounds.peer_timeout_seconds
        if peers_unresponsive or self._reachable_fraction < self._bounds.min_reachable_fraction:
            return Freshness.STALE
        return Freshness.LOG_SILENT
