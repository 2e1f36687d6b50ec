"""Builds the memory group of engines that one long request needs, and keeps it while it runs.

Engines are reserved one after another in the order of their identifiers, which is the same for
every node. A denial gives back all that is held before the next try, so that nobody waits while
holding memory. Every reservation expires at the engine unless it is renewed, so a dead owner's
memory comes back. The rule is in `docs/design/memory-groups.md`.
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
"""Time after which an engine frees a reservation that was not renewed."""

RETRY_SECONDS = 0.5
"""Mean time between two tries to build a group; it doubles up to `RETRY_MAX_SECONDS`."""

RETRY_MAX_SECONDS = 8.0
"""Greatest mean time between two tries to build a group."""


class GroupRequest(NamedTuple):
    """What a memory group is built for."""

    request_id: str
    """Identifier of the request."""

    tokens: int
    """KV memory that the request needs over all engines, tokens."""

    deadline: float
    """Time of the loop's clock by which the group must be ready."""


class GroupReady(NamedTuple):
    """Every engine of the group is reserved."""

    request_id: str
    """Identifier of the request."""

    group_id: str
    """Identifier of the group at the engines."""

    servers: tuple[str, ...]
    """Identifiers of its engines, in the fixed order."""


class GroupFailed(NamedTuple):
    """There is no group, or no longer one; all its reservations are being released."""

    request_id: str
    """Identifier of the request."""

    reason: outcomes.Reason
    """Why."""

    retry_after_seconds: float
    """When to come back."""


Effect = Reserve | Release | GroupReady | GroupFailed
"""What the node is asked to do."""


class Phase(enum.Enum):
    """Phase of a builder."""

    BUILDING = "building"
    """Reservations are being made."""
    BACKING_OFF = "backing_off"
    """All is given back; another try follows."""
    READY = "ready"
    """The request runs on the group."""
    OVER = "over"
    """The request ended or failed; what is left is released."""


class GroupBuilder:
    """Builds and keeps one request's memory group."""

    def __init__(self, request: GroupRequest, owner: str, rng: random.Random) -> None:
        """Create a builder; `on_start` begins.

        Args:
            request: What the group is for.
            owner: `host/incarnation` of this node, held on each reservation.
            rng: Generator for the time between tries.
        """
        self.phase = Phase.BUILDING
        """Phase of the builder."""
        self.owner = owner
        """`host/incarnation` of the node that builds."""
        self._request = request
        self._rng = rng
        self._round = 0
        self._retry_at = float("inf")
        self._choice: list[_group_choice.Member] = []
        self._held = _reservations.Reservations(owner, EXPIRY_SECONDS)

    @property
    def is_done(self) -> bool:
        """Whether nothing is held or may be held any longer."""
        return self.phase is Phase.OVER and self._held.is_empty

    @property
    def group_id(self) -> str:
        """Identifier of the present try's group at the engines."""
        return f"{self._request.request_id}.{self._round}"

    def on_start(self, candidates: list[Candidate], now: float) -> list[Effect]:
        """Begin a try with the engines that are known to be free enough.

        Called at first and whenever `wants_candidates` says so.

        Args:
            candidates: Engines that could take part.
            now: Time of the loop's clock.

        Returns:
            What to do.
        """
        if self.phase is Phase.OVER:
            return []
        self._round += 1
        self.phase = Phase.BUILDING
        self._choice = _group_choice.choose(candidates, self._request.tokens)
        if not self._choice:
            return self._back_off(now)
        return self._reserve_next(now)

    def is_retry_due(self, now: float) -> bool:
        """Tell whether it is time for another try.

        Args:
            now: Time of the loop's clock.

        Returns:
            Whether `on_start` is due.
        """
        return self.phase is Phase.BACKING_OFF and now >= self._retry_at

    def on_granted(self, server_id: str, group_id: str, now: float) -> list[Effect]:
        """Take in that an engine granted or renewed a reservation.

        Args:
            server_id: Identifier of the engine.
            group_id: Identifier of the group.
            now: Time of the loop's clock.

        Returns:
            What to do.
        """
        current = self._held.on_granted(server_id, group_id, now)
        if not current:
            return list(self._held.release_group(server_id, group_id, now))
        return self._reserve_next(now) if self.phase is Phase.BUILDING else []

    def on_denied(self, server_id: str, group_id: str, now: float) -> list[Effect]:
        """Take in that an engine denied a reservation or its renewal.

        Args:
            server_id: Identifier of the engine.
            group_id: Identifier of the group.
            now: Time of the loop's clock.

        Returns:
            What to do.
        """
        if not self._held.on_gone(server_id, group_id):
            return []
        return self._lose(outcomes.Reason.NO_SERVER, now)

    def on_reservation_response_lost(
        self, server_id: str, group_id: str, now: float
    ) -> list[Effect]:
        """Take in that the answer to a reservation or its renewal was lost.

        Args:
            server_id: Identifier of the engine.
            group_id: Identifier of the group.
            now: Time of the loop's clock.

        Returns:
            What to do: the same order again, which is idempotent by group, or giving up.
        """
        again = self._held.on_reservation_response_lost(server_id, group_id, now)
        if again is not None:
            return [again]
        if not self._held.is_wanted(server_id, group_id):
            return []
        return self._lose(outcomes.Reason.BACKEND_SILENT, now)

    def on_released(self, server_id: str, group_id: str) -> None:
        """Take in that an engine confirmed a release.

        Args:
            server_id: Identifier of the engine.
            group_id: Identifier of the group.
        """
        self._held.on_released(server_id, group_id)

    def on_release_response_lost(self, server_id: str, group_id: str, now: float) -> list[Effect]:
        """Take in that the answer to a release was lost.

        Args:
            server_id: Identifier of the engine.
            group_id: Identifier of the group.
            now: Time of the loop's clock.

        Returns:
            The release again, at the next tick.
        """
        self._held.on_release_response_lost(server_id, group_id, now)
        return []

    def on_engine_died(self, server_id: str, now: float) -> list[Effect]:
        """Take in that an engine died, and with it its reservations.

        Args:
            server_id: Identifier of the engine.
            now: Time of the loop's clock.

        Returns:
            What to do.
        """
        if not self._held.on_engine_died(server_id):
            return []
        return self._lose(outcomes.Reason.BACKEND_CRASHED, now)

    def on_request_ended(self, now: float) -> list[Effect]:
        """Take in that the request ended, whatever its outcome.

        Args:
            now: Time of the loop's clock.

        Returns:
            The releases.
        """
        self.phase = Phase.OVER
        return list(self._held.release_all(now))

    def on_tick(self, now: float) -> list[Effect]:
        """Renew what is due, release again what was not confirmed, and mind the deadline.

        Args:
            now: Time of the loop's clock.

        Returns:
            What to do.
        """
        if self.phase is not Phase.OVER and now >= self._request.deadline:
            return self._fail(outcomes.Reason.DEADLINE, now)
        if self._held.has_lapsed(now):
            return self._lose(outcomes.Reason.BACKEND_SILENT, now)
        return list(self._held.on_tick(now))

    def _reserve_next(self, now: float) -> list[Effect]:
        """Reserve the first engine of the choice that is not held yet, or report the group."""
        for member in self._choice:
            if not self._held.is_held(member.server_id):
                return [self._held.reserve(member.server_id, self.group_id, member.tokens, now)]
        self.phase = Phase.READY
        servers = tuple(member.server_id for member in self._choice)
        return [GroupReady(self._request.request_id, self.group_id, servers)]

    def _lose(self, reason: outcomes.Reason, now: float) -> list[Effect]:
        """Give everything back, and try again unless the request was already running."""
        if self.phase is Phase.READY:
            return self._fail(reason, now)
        if self.phase is not Phase.BUILDING:
            return []
        return self._back_off(now)

    def _back_off(self, now: float) -> list[Effect]:
        """Give everything back and set the time of the next try."""
        mean = min(RETRY_MAX_SECONDS, RETRY_SECONDS * 2.0 ** min(10, self._round - 1))
        self._retry_at = now + mean * self._rng.uniform(0.5, 1.5)
        if self._retry_at >= self._request.deadline:
            return self._fail(outcomes.Reason.NO_SERVER, now)
        self.phase = Phase.BACKING_OFF
        return list(self._held.release_all(now))

    def _fail(self, reason: outcomes.Reason, now: float) -> list[Effect]:
        """End the request without a group."""
        self.phase = Phase.OVER
        releases = self._held.release_all(now)
        failed = GroupFailed(self._request.request_id, reason, RETRY_MAX_SECONDS)
        return [failed, *releases]
