"""Decides since when an owner counts as dead."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dragonflycove.values import identifiers

REPLACED_SECONDS = 2.0
"""Time for which another start must answer before the owner counts as replaced, seconds."""

FORGET_SECONDS = 3_600.0
"""Time after which a host that left the list is forgotten, seconds."""


class OwnerView:
    """What a node has heard of the other nodes.

    An owner counts as dead once another start of its host has answered for a while after the
    owner's name was seen, or its host has been off the host list for the list's lag, or the host
    has not been heard for a long time. All three may be wrong about a node that lives; its
    requests are then tried again by their own nodes.

    Args:
        lag_seconds: Bound on the host list's lag, seconds.
        silent_seconds: Time without a sign of life after which a listed host counts as dead,
            seconds.
    """

    def __init__(self, lag_seconds: float, silent_seconds: float) -> None:
        self._lag_seconds = lag_seconds
        self._silent_seconds = silent_seconds
        self._started_at: float | None = None
        self._hosts: frozenset[str] = frozenset()
        self._listed_at_by_host: dict[str, float] = {}
        self._heard_at_by_host: dict[str, float] = {}
        self._incarnation_by_host: dict[str, str] = {}
        self._since_by_host: dict[str, float] = {}

    def on_members(
        self,
        hosts: frozenset[str],
        incarnation_by_host: Mapping[str, str],
        now: float,
    ) -> None:
        """Take in the host list and what was heard since the last time.

        Args:
            hosts: Names of the hosts on the list.
            incarnation_by_host: Incarnations of the hosts that answered since the last time.
            now: Time of the loop's clock, seconds.
        """
        if self._started_at is None:
            self._started_at = now
        self._hosts = hosts
        for host in hosts:
            self._listed_at_by_host[host] = now
        for host, incarnation in incarnation_by_host.items():
            self._heard_at_by_host[host] = now
            if self._incarnation_by_host.get(host) != incarnation:
                self._incarnation_by_host[host] = incarnation
                self._since_by_host[host] = now
        self._forget_old(now)

    def dead_since(
        self, owner: identifiers.NodeIdentity, seen_at: float, now: float
    ) -> float | None:
        """Tell since when an owner counts as dead.

        Args:
            owner: The owner.
            seen_at: When something of the owner's was first seen, seconds of the loop's clock.
            now: Time of the loop's clock, seconds.

        Returns:
            The time, or `None` for one that may live.
        """
        if self._started_at is None:
            return None
        heard_at = self._heard_at_by_host.get(owner.host)
        incarnation = self._incarnation_by_host.get(owner.host, owner.incarnation)
        is_replaced = heard_at is not None and heard_at >= seen_at + REPLACED_SECONDS
        if is_replaced and incarnation != owner.incarnation:
            return max(seen_at + REPLACED_SECONDS, self._since_by_host[owner.host])
        if owner.host in self._hosts:
            dead_at = self._silent_at(owner.host)
        else:
            listed_at = self._listed_at_by_host.get(owner.host, self._started_at)
            dead_at = listed_at + self._lag_seconds
        return dead_at if now >= dead_at else None

    def is_silent(self, host: str, now: float) -> bool:
        """Tell whether a host has not answered for a long time, or never since this node's start.

        This only spreads the work: a host that never answered may live, and its owners do not
        count as dead.

        Args:
            host: Name of the host.
            now: Time of the loop's clock, seconds.
        """
        started_at = now if self._started_at is None else self._started_at
        heard_at = self._heard_at_by_host.get(host, started_at)
        return now >= heard_at + self._silent_seconds

    def _silent_at(self, host: str) -> float:
        """Return when a host counts as silent if it does not answer again."""
        # A host that never answered here may be one that this node does not talk to.
        heard_at = self._heard_at_by_host.get(host, math.inf)
        return heard_at + self._silent_seconds

    def _forget_old(self, now: float) -> None:
        """Forget the hosts that were on the list long ago."""
        limit = now - FORGET_SECONDS
        for host in [h for h, at in self._listed_at_by_host.items() if at < limit]:
            del self._listed_at_by_host[host]
            self._heard_at_by_host.pop(host, None)
            self._incarnation_by_host.pop(host, None)
            self._since_by_host.pop(host, None)
