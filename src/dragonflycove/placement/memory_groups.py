"""Builds the memory group of engines that one long request needs, and keeps it while it runs.

KV cache is reserved at one engine after another by identifier, in the same order by every node.
After a denial all reservations are released before the next attempt, so that no node waits while
it holds KV cache. Every reservation expires at the engine unless it is renewed, which frees the KV
cache of a dead owner. The rules are in `docs/design/memory-groups.md`.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.placement import _group_choice, _reservations
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    import random

Candidate = _group_choice.Candidate
Release = _reservations.Release
Reserve = _reservations.Reserve

EXPIRY_SECONDS = 30.0
"""Time after which an engine frees a reservation that is not renewed."""

RETRY_INTERVAL_SECONDS = 0.5
"""Mean time before the second attempt to build a group; doubles with each further attempt."""

MAX_RETRY_INTERVAL_SECONDS = 8.0
"""Maximum mean time between two attempts to build a group."""


class GroupRequest(NamedTuple):
    """The request that a memory group is built for."""

    request_id: str
    """Identifier of the request."""

    tokens: int
    """KV cache that the request needs over all engines, tokens."""

    deadline: float
    """Loop time at which the request fails, with or without a group, seconds."""


class GroupReady(NamedTuple):
    """The KV cache that the request needs is reserved at all engines of the group."""

    request_id: str
    """Identifier of the request."""

    group_id: str
    """Identifier of the group at the engines."""

    servers: tuple[str, ...]
    """Identifiers of the group's engines, sorted."""


class GroupFailed(NamedTuple):
    """The group could not be built or lost a reservation; the others are being released."""

    request_id: str
    """Identifier of the request."""

    reason: outcomes.Reason
    """Reason of the failure."""

    retry_after_seconds: float
    """Time after which the caller may retry, seconds."""


Effect = Reserve | Release | GroupReady | GroupFailed
"""Effects for the node to carry out."""


class Phase(enum.Enum):
    """Phase of a group's builder."""

    BUILDING = "building"
    """KV cache is being reserved at the engines."""
    BACKING_OFF = "backing_off"
    """All reservations are being released; another attempt follows."""
    READY = "ready"
    """KV cache is reserved at all engines; the request runs on the group."""
    ENDED = "over"
    """The request ended or failed; remaining reservations are being released."""


class GroupBuilder:
    """Builds and keeps one request's memory group."""

    def __init__(self, request: GroupRequest, owner: str, rng: random.Random) -> None:
        """Create a builder; `on_start` starts the first attempt.

        Args:
            request: The request that needs the group.
            owner: `host/incarnation` of this node, stored with each reservation.
            rng: Random generator for the time between attempts.
        """
        self.phase = Phase.BUILDING
        """Current phase."""
        self.owner = owner
        """`host/incarnation` of the node that builds the group."""
        self._request = request
        self._rng = rng
        self._attempt_number = 0
        self._retry_at = float("inf")
        self._members: list[_group_choice.Member] = []
        self._reservations = _reservations.Reservations(owner, EXPIRY_SECONDS)

    @property
    def is_done(self) -> bool:
        """Whether the request ended and no engine can still hold a reservation."""
        return self.phase is Phase.ENDED and self._reservations.is_empty

    @property
    def group_id(self) -> str:
        """Identifier of the current attempt's group at the engines."""
        return f"{self._request.request_id}.{self._attempt_number}"

    def on_start(self, candidates: list[Candidate], now: float) -> list[Effect]:
        """Start an attempt with engines that have enough free KV cache.

        Call it once at the start, and whenever `is_retry_due` is true.

        Args:
            candidates: Engines that could take part.
            now: Loop time, seconds.

        Returns:
            Effects.
        """
        if self.phase is Phase.ENDED:
            return []
        self._attempt_number += 1
        self.phase = Phase.BUILDING
        self._members = _group_choice.choose(candidates, self._request.tokens)
        if not self._members:
            return self._back_off(now)
        return self._reserve_next(now)

    def is_retry_due(self, now: float) -> bool:
        """Return whether the next attempt is due.

        Args:
            now: Loop time, seconds.

        Returns:
            Whether to call `on_start`.
        """
        return self.phase is Phase.BACKING_OFF and now >= self._retry_at

    def on_granted(self, server_id: str, group_id: str, now: float) -> list[Effect]:
        """Handle that an engine granted or renewed a reservation.

        Args:
            server_id: Identifier of the engine.
            group_id: Identifier of the group.
            now: Loop time, seconds.

        Returns:
            Effects: the next reservation, or the release of one that is no longer wanted.
        """
        is_wanted = self._reservations.on_granted(server_id, group_id, now)
        if not is_wanted:
            return list(self._reservations.release_group(server_id, group_id, now))
        return self._reserve_next(now) if self.phase is Phase.BUILDING else []

    def on_denied(self, server_id: str, group_id: str, now: float) -> list[Effect]:
        """Handle that an engine denied a reservation or its renewal.

        Args:
            server_id: Identifier of the engine.
            group_id: Identifier of the group.
            now: Loop time, seconds.

        Returns:
            Effects; none if the reservation was no longer wanted.
        """
        if not self._reservations.remove(server_id, group_id):
            return []
        return self._on_reservation_lost(outcomes.Reason.NO_SERVER, now)

    def on_reservation_response_lost(
        self, server_id: str, group_id: str, now: float
    ) -> list[Effect]:
        """Handle that the response to a reservation or its renewal was lost.

        Args:
            server_id: Identifier of the engine.
            group_id: Identifier of the group.
            now: Loop time, seconds.

        Returns:
            Effects: the same order again, which is idempotent by group, or giving up the group.
        """
        repeated = self._reservations.on_reservation_response_lost(server_id, group_id, now)
        if repeated is not None:
            return [repeated]
        if not self._reservations.is_wanted(server_id, group_id):
            return []
        return self._on_reservation_lost(outcomes.Reason.BACKEND_SILENT, now)

    def on_released(self, server_id: str, group_id: str) -> None:
        """Handle that an engine confirmed a release.

        Args:
            server_id: Identifier of the engine.
            group_id: Identifier of the group.
        """
        self._reservations.on_released(server_id, group_id)

    def on_release_response_lost(self, server_id: str, group_id: str, now: float) -> list[Effect]:
        """Handle that the response to a release was lost.

        Args:
            server_id: Identifier of the engine.
            group_id: Identifier of the group.
            now: Loop time, seconds.

        Returns:
            No effects; a later `on_tick` returns the release again.
        """
        self._reservations.on_release_response_lost(server_id, group_id, now)
        return []

    def on_engine_died(self, server_id: str, now: float) -> list[Effect]:
        """Handle that an engine died and lost its reservations.

        Args:
            server_id: Identifier of the engine.
            now: Loop time, seconds.

        Returns:
            Effects; none if the group did not use the engine.
        """
        if not self._reservations.on_engine_died(server_id):
            return []
        return self._on_reservation_lost(outcomes.Reason.BACKEND_CRASHED, now)

    def on_request_ended(self, now: float) -> list[Effect]:
        """Handle that the request ended, with any outcome.

        Args:
            now: Loop time, seconds.

        Returns:
            The releases.
        """
        self.phase = Phase.ENDED
        return list(self._reservations.release_all(now))

    def on_tick(self, now: float) -> list[Effect]:
        """Renew reservations, repeat unconfirmed releases, and enforce the deadline.

        Args:
            now: Loop time, seconds.

        Returns:
            Effects.
        """
        if self.phase is not Phase.ENDED and now >= self._request.deadline:
            return self._fail(outcomes.Reason.DEADLINE, now)
        if self._reservations.may_have_expired(now):
            return self._on_reservation_lost(outcomes.Reason.BACKEND_SILENT, now)
        return list(self._reservations.on_tick(now))

    def _reserve_next(self, now: float) -> list[Effect]:
        """Reserve the next member that is not held yet, or report that the group is ready."""
        for member in self._members:
            if not self._reservations.is_held(member.server_id):
                return [
                    self._reservations.reserve(member.server_id, self.group_id, member.tokens, now)
                ]
        self.phase = Phase.READY
        servers = tuple(member.server_id for member in self._members)
        return [GroupReady(self._request.request_id, self.group_id, servers)]

    def _on_reservation_lost(self, reason: outcomes.Reason, now: float) -> list[Effect]:
        """Fail a running group; release a group being built and schedule a retry."""
        if self.phase is Phase.READY:
            return self._fail(reason, now)
        if self.phase is not Phase.BUILDING:
            return []
        return self._back_off(now)

    def _back_off(self, now: float) -> list[Effect]:
        """Release all reservations and schedule a retry; fail if it is after the deadline."""
        mean = min(
            MAX_RETRY_INTERVAL_SECONDS,
            RETRY_INTERVAL_SECONDS * 2.0 ** min(10, self._attempt_number - 1),
        )
        self._retry_at = now + mean * self._rng.uniform(0.5, 1.5)
        if self._retry_at >= self._request.deadline:
            return self._fail(outcomes.Reason.NO_SERVER, now)
        self.phase = Phase.BACKING_OFF
        return list(self._reservations.release_all(now))

    def _fail(self, reason: outcomes.Reason, now: float) -> list[Effect]:
        """End without a group and release all reservations."""
        self.phase = Phase.ENDED
        releases = self._reservations.release_all(now)
        failed = GroupFailed(self._request.request_id, reason, MAX_RETRY_INTERVAL_SECONDS)
        return [failed, *releases]
