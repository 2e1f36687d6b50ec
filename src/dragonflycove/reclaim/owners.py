"""Decides whether the owner of an `inventory.Item` counts as dead, and since when."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dragonflycove.values import identifiers

REPLACEMENT_CONFIRM_SECONDS = 2.0
"""Minimum time from first seeing an item on an engine to a message from another process of its
owner's host, for the owner to count as replaced, seconds."""

HOST_RETENTION_SECONDS = 3_600.0
"""Time after a host left the host list until its state is dropped, seconds."""


class OwnerView:
    """A node's view of which other nodes are alive.

    A host has answered if this node received a message from it. An owner counts as dead once
    another process of its host has answered `REPLACEMENT_CONFIRM_SECONDS` or more after an item of
    the owner was first seen, or its host has been off the host list for `lag_seconds`, or its host
    is listed and has not answered again for `unresponsive_seconds`. All three can be wrong about a
    live node; that node then retries its requests itself.

    Args:
        lag_seconds: Maximum lag of the host list, seconds.
        unresponsive_seconds: Time without a message after which a listed host counts as dead,
            seconds.
    """

    def __init__(self, lag_seconds: float, unresponsive_seconds: float) -> None:
        self._lag_seconds = lag_seconds
        self._unresponsive_seconds = unresponsive_seconds
        self._started_at: float | None = None
        self._hosts: frozenset[str] = frozenset()
        self._listed_at_by_host: dict[str, float] = {}
        self._answered_at_by_host: dict[str, float] = {}
        self._incarnation_by_host: dict[str, str] = {}
        self._incarnation_since_by_host: dict[str, float] = {}

    def on_members(
        self,
        hosts: frozenset[str],
        incarnation_by_host: Mapping[str, str],
        now: float,
    ) -> None:
        """Update the host list and the hosts that answered since the last call.

        Args:
            hosts: Names of the hosts on the list.
            incarnation_by_host: Incarnations of the hosts that answered since the last call.
            now: Loop time, seconds.
        """
        if self._started_at is None:
            self._started_at = now
        self._hosts = hosts
        for host in hosts:
            self._listed_at_by_host[host] = now
        for host, incarnation in incarnation_by_host.items():
            self._answered_at_by_host[host] = now
            if self._incarnation_by_host.get(host) != incarnation:
                self._incarnation_by_host[host] = incarnation
                self._incarnation_since_by_host[host] = now
        self._drop_old_hosts(now)

    def dead_since(
        self, owner: identifiers.NodeIdentity, seen_at: float, now: float
    ) -> float | None:
        """Return since when an owner counts as dead.

        Args:
            owner: Node process that owns the item.
            seen_at: Loop time at which the item was first seen, seconds.
            now: Loop time, seconds.

        Returns:
            Loop time, seconds; `None` if the owner may be alive.
        """
        if self._started_at is None:
            return None
        answered_at = self._answered_at_by_host.get(owner.host)
        incarnation = self._incarnation_by_host.get(owner.host, owner.incarnation)
        is_replaced = (
            answered_at is not None and answered_at >= seen_at + REPLACEMENT_CONFIRM_SECONDS
        )
        if is_replaced and incarnation != owner.incarnation:
            return max(
                seen_at + REPLACEMENT_CONFIRM_SECONDS, self._incarnation_since_by_host[owner.host]
            )
        if owner.host in self._hosts:
            dead_at = self._unresponsive_at(owner.host)
        else:
            listed_at = self._listed_at_by_host.get(owner.host, self._started_at)
            dead_at = listed_at + self._lag_seconds
        return dead_at if now >= dead_at else None

    def is_unresponsive(self, host: str, now: float) -> bool:
        """Return whether a host has not answered for `unresponsive_seconds`.

        The time is counted from the start of this node if the host never answered. This is used
        only to divide the work among the nodes. A host that never answered may be alive, and owners
        on it do not count as dead.

        Args:
            host: Name of the host.
            now: Loop time, seconds.
        """
        started_at = now if self._started_at is None else self._started_at
        answered_at = self._answered_at_by_host.get(host, started_at)
        return now >= answered_at + self._unresponsive_seconds

    def _unresponsive_at(self, host: str) -> float:
        """Return the loop time at which a host counts as dead if it does not respond again."""
        # This node may exchange no messages with a host that never answered.
        answered_at = self._answered_at_by_host.get(host, math.inf)
        return answered_at + self._unresponsive_seconds

    def _drop_old_hosts(self, now: float) -> None:
        """Drop the state of hosts that left the list `HOST_RETENTION_SECONDS` ago."""
        limit = now - HOST_RETENTION_SECONDS
        for host in [h for h, at in self._listed_at_by_host.items() if at < limit]:
            del self._listed_at_by_host[host]
            self._answered_at_by_host.pop(host, None)
            self._incarnation_by_host.pop(host, None)
            self._incarnation_since_by_host.pop(host, None)
