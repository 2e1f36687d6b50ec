"""Memory set aside at engines for prompts that no engine holds alone.

A reservation is held for a few seconds at a time and renewed while its request runs, so what a dead
node leaves behind lapses by itself.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.platform import engine_orders, requests
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, work
    from dragonflycove.gateway import server_pool
    from dragonflycove.transport import http1

HOLD_SECONDS = 3.4
"""Time for which memory is set aside; under the four seconds that the users allow after a death."""

RENEW_SECONDS = 0.9
"""Time between renewals; three fit into a hold, so that two may be lost."""

ORDER_SECONDS = 0.6
"""Time for an order's answer; a running engine answers within milliseconds."""

RELEASE_TRIES = 4
"""Times that a release is sent until it is answered; after that the hold lapses."""


class Reservation(NamedTuple):
    """Memory set aside at one engine."""

    address: catalog.Address
    """The engine."""

    reservation_id: str
    """Id of the reservation."""

    tokens: int
    """Tokens of memory."""


class Held(NamedTuple):
    """What is set aside for one request."""

    reservations: tuple[Reservation, ...]
    """The reservations."""

    helpers: tuple[str, ...]
    """The helping engines with their reservations, encoded for the request."""

    renewing: asyncio.Task[None] | None
    """Renews them; None if there are none."""


class Reservations:
    """Reserves, renews and releases memory for this node's requests."""

    def __init__(self, pool: server_pool.ServerPool) -> None:
        """Create without reservations.

        Args:
            pool: Connections to engines.
        """
        self._pool = pool
        self._releasing: set[asyncio.Task[None]] = set()

    async def reserve(self, grant: work.Grant, job: work.Job) -> result.Result[Held, str]:
        """Set aside the memory that a placement wants.

        Args:
            grant: The placement.
            job: The request.

        Returns:
            What is held, all or nothing, or why it is not.
        """
        reservations = []
        helpers = []
        for number, part in enumerate(grant.helpers):
            address = part.server.address
            if part.reserved_tokens:
                key = job.key
                name = f"{key.host}.{key.incarnation}.{key.number}.{number}"
                reservations.append(Reservation(address, name, part.reserved_tokens))
                helpers.append(requests.encode_helper(address, name))
            else:
                helpers.append(requests.encode_helper(address, ""))
        if not reservations:
            return result.Ok(Held((), tuple(helpers), None))
        try:
            statuses = await asyncio.gather(*(self._reserve(one) for one in reservations))
        except asyncio.CancelledError:
            self.release(Held(tuple(reservations), (), None))
            raise
        if any(status != engine_orders.OK_STATUS for status in statuses):
            self.release(Held(tuple(reservations), (), None))
            logs.event("reservation_failed", job=key.number, statuses=statuses)
            return result.Err("memory_not_free")
        renewing = asyncio.ensure_future(self._renew(tuple(reservations)))
        return result.Ok(Held(tuple(reservations), tuple(helpers), renewing))

    def release(self, held: Held) -> None:
        """Give memory back, in the background.

        Args:
            held: What was set aside.
        """
        if held.renewing is not None:
            held.renewing.cancel()
        for one in held.reservations:
            task = asyncio.ensure_future(self._release(one))
            self._releasing.add(task)
            task.add_done_callback(self._releasing.discard)

    async def finish(self, seconds: float) -> None:
        """Wait until all releases have been sent.

        Args:
            seconds: Longest wait; what is not released by then lapses.
        """
        if self._releasing:
            timeout = max(0.0, min(ORDER_SECONDS, seconds))
            await asyncio.wait(set(self._releasing), timeout=timeout)

    async def _reserve(self, one: Reservation) -> int:
        order = engine_orders.reserve(one.address, one.reservation_id, one.tokens, HOLD_SECONDS)
        return await self._order(one.address, order)

    async def _renew(self, reservations: tuple[Reservation, ...]) -> None:
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            await asyncio.gather(*(self._reserve(one) for one in reservations))

    async def _release(self, one: Reservation) -> None:
        for _ in range(RELEASE_TRIES):
            order = engine_orders.release(one.address, one.reservation_id)
            if await self._order(one.address, order):
                return
        logs.warning("release_unanswered", engine=one.address, reservation=one.reservation_id)

    async def _order(self, address: catalog.Address, order: http1.Request) -> int:
        """Send an order; returns the answer's status, 0 if there is none."""
        connection: http1.Connection | None = None
        try:
            async with asyncio.timeout(ORDER_SECONDS):
                taken = await self._pool.take(address, fresh=False, connect_seconds=ORDER_SECONDS)
                if isinstance(taken, result.Err):
                    return 0
                connection = taken.ok_value
                connection.send(order)
                answer = await connection.read_response()
                if isinstance(answer, result.Err):
                    return 0
                head, _ = answer.ok_value
                self._pool.put(address, connection, requests.decode_response_head(head))
                connection = None
                return head.status
        except TimeoutError:
            return 0
        finally:
            if connection is not None:
                connection.close()
