"""Reserves KV cache at helper engines for prompts that don't fit on one engine.

A reservation expires after a few seconds unless it is renewed, which happens while its request
runs. So the reservations of a node that died expire by themselves.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.gateway import engine_calls
from dragonflycove.platform import engine_orders, requests
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, work

RESERVATION_TTL_SECONDS = 3.4
"""Lifetime of a reservation; the specification bounds it to 4 s for a dead node's reservations."""

RENEW_INTERVAL_SECONDS = 0.9
"""Time between renewals; three fit into a reservation's lifetime, so two in a row may be lost."""

MAX_RELEASE_ATTEMPTS = 4
"""Maximum attempts to release a reservation; then it is left to expire."""


class ReservationFailure(enum.Enum):
    """Why a reservation could not be made."""

    REFUSED = "refused"
    """An engine refused it."""

    NO_RESPONSE = "no_response"
    """An engine did not respond."""


class Reservation(NamedTuple):
    """KV cache reserved at one engine."""

    server: catalog.BackendServer
    """The engine."""

    reservation_id: str
    """Id that this node chose, unique in the fleet."""

    tokens: int
    """Reserved KV cache tokens."""


class ReservationSet(NamedTuple):
    """All reservations of one attempt."""

    reservations: tuple[Reservation, ...]
    """Empty if the placement needs none."""

    helpers: tuple[str, ...]
    """Helper engines with their reservations, each encoded as the engine that leads expects it."""

    renewal_task: asyncio.Task[None] | None
    """Renews the reservations until cancelled; None if there are none."""


class ReservationManager:
    """Reserves, renews and releases KV cache for this node's requests."""

    def __init__(self, calls: engine_calls.EngineCalls) -> None:
        """Create a manager without reservations.

        Args:
            calls: Calls to engines.
        """
        self._calls = calls
        self._release_tasks: set[asyncio.Task[None]] = set()

    async def reserve(
        self, grant: work.Grant, job: work.Job
    ) -> result.Result[ReservationSet, ReservationFailure]:
        """Reserve the KV cache that a placement needs, and begin to renew the reservations.

        Args:
            grant: The placement.
            job: The request.

        Returns:
            The reservations, or why one engine gave none; then the others are released.
        """
        reservations = []
        helpers = []
        for number, helper in enumerate(grant.helpers):
            address = helper.server.address
            if helper.reserved_tokens:
                key = job.key
                name = f"{key.host}.{key.incarnation}.{key.number}.{number}"
                reservations.append(Reservation(helper.server, name, helper.reserved_tokens))
                helpers.append(requests.encode_helper(address, name))
            else:
                helpers.append(requests.encode_helper(address, ""))
        if not reservations:
            return result.Ok(ReservationSet((), tuple(helpers), None))
        try:
            statuses = await asyncio.gather(
                *(self._reserve(reservation) for reservation in reservations)
            )
        except asyncio.CancelledError:
            self.release(ReservationSet(tuple(reservations), (), None))
            raise
        if any(status != engine_orders.OK_STATUS for status in statuses):
            self.release(ReservationSet(tuple(reservations), (), None))
            logs.event("reservation_failed", job=key.number, statuses=statuses)
            return result.Err(
                ReservationFailure.REFUSED if all(statuses) else ReservationFailure.NO_RESPONSE
            )
        renewal_task = asyncio.ensure_future(self._renew(tuple(reservations)))
        return result.Ok(ReservationSet(tuple(reservations), tuple(helpers), renewal_task))

    def release(self, reservation_set: ReservationSet) -> None:
        """Release reservations in the background.

        Args:
            reservation_set: The reservations.
        """
        if reservation_set.renewal_task is not None:
            reservation_set.renewal_task.cancel()
        for reservation in reservation_set.reservations:
            task = asyncio.ensure_future(self._release(reservation))
            self._release_tasks.add(task)
            task.add_done_callback(self._release_tasks.discard)

    async def wait_for_releases(self, seconds: float) -> None:
        """Wait until engines have responded to all pending releases.

        Args:
            seconds: Maximum wait; reservations that are not released by then expire.
        """
        if self._release_tasks:
            timeout = max(0.0, min(engine_calls.ENGINE_TIMEOUT_SECONDS, seconds))
            await asyncio.wait(set(self._release_tasks), timeout=timeout)

    async def _reserve(self, reservation: Reservation) -> int:
        request = engine_orders.reserve(
            reservation.server.address,
            reservation.reservation_id,
            reservation.tokens,
            RESERVATION_TTL_SECONDS,
        )
        response = await self._calls.call(reservation.server, request)
        return response.status if response else 0

    async def _renew(self, reservations: tuple[Reservation, ...]) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_SECONDS)
            await asyncio.gather(*(self._reserve(reservation) for reservation in reservations))

    async def _release(self, reservation: Reservation) -> None:
        for _ in range(MAX_RELEASE_ATTEMPTS):
            request = engine_orders.release(reservation.server.address, reservation.reservation_id)
            if await self._calls.call(reservation.server, request) is not None:
                return
        logs.warning(
            "release_unanswered",
            engine=reservation.server.address,
            reservation=reservation.reservation_id,
        )
