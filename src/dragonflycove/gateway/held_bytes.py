"""The bytes that a node holds for its callers: who waits for room, and who is ended."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from dragonflycove.fleet import relaying
from dragonflycove.fleet.memory import byte_account
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    Headers = Sequence[tuple[bytes, bytes]]

TICK_SECONDS = 0.1
"""Interval at which progress is looked at while a caller is awaited or a connection waits."""


class HeldBytes:
    """The account of a node, with the tasks that wait for its decisions."""

    def __init__(self, account: byte_account.ByteAccount) -> None:
        """Create without connections.

        Args:
            account: Decides who may hold how much.
        """
        self.account = account
        """Decides who may hold how much."""
        self.refused = 0
        """Requests refused so far because of their bytes."""
        self._numbers = itertools.count(1)
        self._connection_by_number: dict[int, HeldConnection] = {}
        self._is_ticking = False
        self._is_granting = False

    def open(
        self, transport: asyncio.WriteTransport, name_organisation: Callable[[Headers], str]
    ) -> HeldConnection:
        """Begin to account for a caller's connection.

        Args:
            transport: The connection; aborted if its caller makes no progress.
            name_organisation: Returns the organisation of a request by its headers.
        """
        connection = HeldConnection(self, next(self._numbers), transport, name_organisation)
        self._connection_by_number[connection.number] = connection
        return connection

    def discard(self, number: int) -> None:
        """Forget a connection that has ended.

        Args:
            number: Its number.
        """
        self._connection_by_number.pop(number, None)

    def on_released(self) -> None:
        """Let those go on for which there is room, once for all releases of a turn of the loop."""
        if self.account.has_waiting and not self._is_granting:
            self._is_granting = True
            asyncio.get_running_loop().call_soon(self._grant)

    def _grant(self) -> None:
        self._is_granting = False
        for number in self.account.grant_waiting(_now()):
            self._connection_by_number[number].decide(is_granted=True)

    def watch(self) -> None:
        """Look at progress from now on, until nobody waits or is awaited."""
        if not self._is_ticking:
            self._is_ticking = True
            asyncio.get_running_loop().call_later(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._is_ticking = False
        for connection in list(self._connection_by_number.values()):
            if connection.on_tick is not None:
                connection.on_tick()
        now = _now()
        for ended in self.account.end_stalled(now):
            logs.event(
                "slow_caller_ended",
                request=self._connection_by_number[ended.connection].request_id,
                reason=relaying.SLOW_CALLER,
                what=ended.use.value,
                organisation=self._connection_by_number[ended.connection].organisation,
                bytes=ended.held_bytes,
                seconds=ended.stalled_seconds,
                held=self.account.held_bytes,
                limit=self.account.limit_bytes,
            )
            self._connection_by_number[ended.connection].end()
        self._grant()
        for number in self.account.refuse_overdue(now):
            self._connection_by_number[number].decide(is_granted=False)
        if self.account.has_waiting or self.account.has_awaited_callers:
            self.watch()

    def gauges(self) -> dict[str, float]:
        """Return the values of the account's gauge metrics by name."""
        return {
            "dragonflycove_held_bytes": self.account.held_bytes,
            "dragonflycove_held_bytes_limit": self.account.limit_bytes,
            "dragonflycove_bytes_refused": self.refused,
        }


class HeldConnection:
    """What one caller's connection holds, for one request at a time."""

    def __init__(
        self,
        node: HeldBytes,
        number: int,
        transport: asyncio.WriteTransport,
        name_organisation: Callable[[Headers], str],
    ) -> None:
        """Create a connection that holds nothing.

        Args:
            node: The account of the node.
            number: Number of the connection.
            transport: The connection.
            name_organisation: Returns the organisation of a request by its headers.
        """
        self.number = number
        """Number of the connection."""
        self.on_tick: Callable[[], None] | None = None
        """Called at intervals; frees the bytes that the caller has taken."""
        self.request_id = ""
        """Id of the request that was read last, for the log."""
        self._node = node
        self._transport = transport
        self._name_organisation = name_organisation
        self._headers: Headers = ()
        self._organisation: str | None = None
        self._decision: asyncio.Future[bool] | None = None
        self._is_granted = False

    @property
    def organisation(self) -> str:
        """Organisation of the request; empty if it has none."""
        if self._organisation is None:
            self._organisation = self._name_organisation(self._headers)
        return self._organisation

    def begin_request(self, headers: Headers) -> None:
        """Begin with the next request.

        Args:
            headers: Its headers.
        """
        self._headers = headers
        self._organisation = None
        self.request_id = ""

    async def take(self, size: int, use: byte_account.Use) -> bool:
        """Wait until further bytes may be held.

        Args:
            size: Number of bytes.
            use: What they are held for.

        Returns:
            Whether they may; if not, they must not be read.
        """
        account = self._node.account
        verdict = account.ask(self.number, self.organisation, size, use, _now())
        if verdict is not byte_account.Verdict.WAIT:
            return verdict is byte_account.Verdict.GRANTED
        self._node.watch()
        self._is_granted = False
        self._decision = asyncio.get_running_loop().create_future()
        try:
            return await self._decision
        except asyncio.CancelledError:
            account.withdraw(self.number)
            if self._is_granted:
                self.release(size)
            raise
        finally:
            self._decision = None

    def stop_waiting(self) -> None:
        """End a wait for room that is not needed any more; `take` returns False."""
        if self._decision is not None and not self._decision.done():
            self._node.account.withdraw(self.number)
            self._decision.set_result(False)

    def decide(self, *, is_granted: bool) -> None:
        """Tell the waiting task the decision.

        Args:
            is_granted: Whether the bytes may be held.
        """
        # Also if the wait has been cancelled, and its task is yet to see it.
        self._is_granted = is_granted
        if self._decision is not None and not self._decision.done():
            self._decision.set_result(is_granted)

    def release(self, size: int) -> None:
        """Free bytes.

        Args:
            size: Their number.
        """
        self._node.account.release(self.number, size)
        self._node.on_released()

    def await_caller(self, use: byte_account.Use | None) -> None:
        """Record what the caller must go on with from now on, or that it made progress.

        Args:
            use: What the caller must send or take; None for nothing.
        """
        account = self._node.account
        if use is not None:
            account.open(self.number, self.organisation, _now())
            self._node.watch()
        account.await_caller(self.number, use, _now())

    def on_refused(self, request_id: str, size: int) -> None:
        """Count and log a request that is refused for its bytes.

        Args:
            request_id: Id of the request.
            size: Bytes of its body as far as known.
        """
        self._node.refused += 1
        logs.event(
            "bytes_refused",
            request=request_id,
            status=503,
            reason=relaying.NODE_MEMORY,
            organisation=self.organisation,
            bytes=size,
            held=self._node.account.held_bytes,
            limit=self._node.account.limit_bytes,
        )

    def end_request(self) -> None:
        """Free all bytes of the request."""
        self._node.account.close(self.number)
        self._node.on_released()

    def end(self) -> None:
        """End the connection, whose caller makes no progress."""
        self.decide(is_granted=False)
        self._transport.abort()

    def close(self) -> None:
        """Free all bytes of the connection, which has ended."""
        self.on_tick = None
        self.end_request()
        self._node.discard(self.number)


def _now() -> float:
    return asyncio.get_running_loop().time()
