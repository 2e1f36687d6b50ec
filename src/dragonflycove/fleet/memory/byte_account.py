"""Bounds the bytes that a node holds for callers and servers that read or write slowly.

Organisations and connections share the room by dynamic thresholds (Choudhury and Hahne, "Dynamic
queue length thresholds for shared-memory packet switches", 1998): each may hold a multiple of what
is free, so that some room is free at all times and those that hold most are held back first.
"""

from __future__ import annotations

import collections
import enum
from typing import NamedTuple

PROCESS_BYTES = 80_000_000
"""Memory that the process takes without requests: interpreter, modules, view of the fleet."""

HELD_SHARE = 0.6
"""Share of the other memory for held bytes; the rest is for sockets' buffers and for copies."""

MIN_LIMIT_BYTES = 16_777_216
"""Minimum of the account's limit, so that the largest bodies pass on the smallest hosts."""

SMALL_BYTES = 65_536
"""Bytes of a connection up to which its request counts as small."""

ORGANISATION_FACTOR = 2.0
"""Bytes that an organisation may hold with large requests and for callers that read slowly, as a
multiple of the free bytes."""

SMALL_ORGANISATION_FACTOR = 4.0
"""The same for its small requests, which the others must not keep out."""

CONNECTION_FACTOR = 0.5
"""Bytes that one connection may hold, as a multiple of the free bytes."""

RESERVED_SHARE = 0.125
"""Share of the limit that is kept for organisations below `GUARANTEED_BYTES`."""

GUARANTEED_BYTES = 262_144
"""Bytes that an organisation gets also if the others hold all that is not reserved."""

WAITING_SHARE = 0.5
"""Share of the limit that requests may wait for together; more is not released while they wait."""

MAX_WAIT_SECONDS = 0.5
"""Time that a request waits for room; callers turn to another node after a second."""

MAX_STALL_SECONDS = 10.0
"""Time without progress after which a caller is ended; callers give up before that."""

MAX_STALL_UNDER_PRESSURE_SECONDS = 3.0
"""The same while others wait for room, with a margin over the pauses of a congested path."""

RETRY_AFTER_SECONDS = 1.0
"""Retry-after of a refusal; the largest bodies pass an average link within this time."""


class Use(enum.Enum):
    """What bytes are held for."""

    REQUEST = "request"
    """A request that is being read from its caller, or being served."""

    RESPONSE = "response"
    """A response that the caller has not taken yet."""


class Verdict(enum.Enum):
    """Decision about bytes that were asked for."""

    GRANTED = "granted"
    """They are counted, and may be read."""

    WAIT = "wait"
    """They are granted later, when others have released enough."""

    REFUSED = "refused"
    """They don't fit, also if nothing else were held; or too much waits already."""


class Ended(NamedTuple):
    """A connection that is ended because its caller makes no progress."""

    connection: int
    """Number of the connection."""

    use: Use
    """What its bytes are held for."""

    held_bytes: int
    """Bytes that this frees."""

    stalled_seconds: float
    """Time without progress."""


class _Asked(NamedTuple):
    """Bytes that a connection waits for; at most one for each connection."""

    connection: int
    size: int
    use: Use
    since: float


class _Holding:
    """What one connection holds."""

    def __init__(self, organisation: str, now: float) -> None:
        self.organisation = organisation
        self.held_bytes = 0
        self.awaited_use: Use | None = None
        """What the caller must go on with; None while nothing is awaited of it."""
        self.progress_at = now


class ByteAccount:
    """Bytes held by a node, by connection and organisation; their sum never exceeds the limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Create an account that holds nothing.

        Args:
            limit_bytes: Limit on the sum.
        """
        self.limit_bytes = limit_bytes
        """Limit on the sum."""
        self.held_bytes = 0
        """The sum."""
        self._holding_by_connection: dict[int, _Holding] = {}
        self._bytes_by_organisation: collections.Counter[str] = collections.Counter()
        self._asked_by_connection: dict[int, _Asked] = {}

    @classmethod
    def from_memory(cls, memory_bytes: int) -> ByteAccount:
        """Create the account of a host.

        Args:
            memory_bytes: Memory that the process may use.
        """
        free = memory_bytes - PROCESS_BYTES
        return cls(max(MIN_LIMIT_BYTES, int(free * HELD_SHARE)))

    @property
    def has_waiting(self) -> bool:
        """Whether a connection waits for bytes."""
        return bool(self._asked_by_connection)

    @property
    def has_awaited_callers(self) -> bool:
        """Whether a caller must go on with a request or a response."""
        return any(one.awaited_use is not None for one in self._holding_by_connection.values())

    def organisation_bytes(self, organisation: str) -> int:
        """Return the bytes that an organisation holds.

        Args:
            organisation: Its name; empty for requests without one.
        """
        return self._bytes_by_organisation[organisation]

    def connection_bytes(self, connection: int) -> int:
        """Return the bytes that a connection holds.

        Args:
            connection: Number of the connection.
        """
        holding = self._holding_by_connection.get(connection)
        return holding.held_bytes if holding else 0

    def open(self, connection: int, organisation: str, now: float) -> None:
        """Begin to account for a connection that holds nothing yet; it may be known already.

        Args:
            connection: Number of the connection.
            organisation: Organisation of its request.
            now: Loop time.
        """
        if connection not in self._holding_by_connection:
            self._holding_by_connection[connection] = _Holding(organisation, now)

    def withdraw(self, connection: int) -> None:
        """Forget what a connection waits for.

        Args:
            connection: Number of the connection; may be unknown.
        """
        self._asked_by_connection.pop(connection, None)

    def ask(self, connection: int, organisation: str, size: int, use: Use, now: float) -> Verdict:
        """Count further bytes of a connection if the thresholds allow it.

        Args:
            connection: Number of the connection, which must not be waiting.
            organisation: Organisation of its request.
            size: Number of bytes.
            use: What they are held for.
            now: Loop time.

        Returns:
            The decision; after `WAIT`, `grant_waiting` or `refuse_overdue` tell the outcome.
        """
        self.open(connection, organisation, now)
        holding = self._holding_by_connection[connection]
        # What a caller that reads slowly holds becomes free as it reads on.
        lasting_bytes = 0 if holding.awaited_use is Use.RESPONSE else holding.held_bytes
        if size > self._largest_bytes() - lasting_bytes:
            return Verdict.REFUSED
        if self._may_hold(holding, size):
            self._count(holding, size)
            return Verdict.GRANTED
        if use is Use.REQUEST and self._awaited_bytes(use) + size > self._max_awaited_bytes:
            return Verdict.REFUSED
        self._asked_by_connection[connection] = _Asked(connection, size, use, now)
        return Verdict.WAIT

    @property
    def _max_awaited_bytes(self) -> int:
        # At least one of the largest requests may wait.
        return max(int(self.limit_bytes * WAITING_SHARE), self._largest_bytes())

    def _awaited_bytes(self, use: Use) -> int:
        return sum(one.size for one in self._asked_by_connection.values() if one.use is use)

    def _largest_bytes(self) -> int:
        """Return what one connection may hold if nothing else is held."""
        usable = self.limit_bytes * (1 - RESERVED_SHARE)
        return int(usable * CONNECTION_FACTOR / (1 + CONNECTION_FACTOR))

    def _may_hold(self, holding: _Holding, size: int) -> bool:
        """Whether the thresholds allow further bytes."""
        free_after = self.limit_bytes - self.held_bytes - size
        if free_after < 0:
            return False
        of_organisation = self._bytes_by_organisation[holding.organisation] + size
        if of_organisation <= GUARANTEED_BYTES:
            return True
        usable = free_after - self.limit_bytes * RESERVED_SHARE
        of_connection = holding.held_bytes + size
        is_slow_reader = holding.awaited_use is Use.RESPONSE
        if of_connection <= SMALL_BYTES and not is_slow_reader:
            return of_organisation <= SMALL_ORGANISATION_FACTOR * usable
        return (
            of_organisation <= ORGANISATION_FACTOR * usable
            and of_connection <= CONNECTION_FACTOR * usable
        )

    def _count(self, holding: _Holding, size: int) -> None:
        holding.held_bytes += size
        self.held_bytes += size
        self._bytes_by_organisation[holding.organisation] += size

    def release(self, connection: int, size: int) -> None:
        """Free bytes of a connection.

        Args:
            connection: Number of the connection; may be unknown.
            size: Number of bytes; those beyond what it holds are ignored.
        """
        holding = self._holding_by_connection.get(connection)
        if holding is None:
            return
        self._count(holding, -min(size, holding.held_bytes))
        if not self._bytes_by_organisation[holding.organisation]:
            del self._bytes_by_organisation[holding.organisation]

    def close(self, connection: int) -> None:
        """Free all bytes of a connection, whose request has ended.

        Args:
            connection: Number of the connection; may be unknown.
        """
        self._asked_by_connection.pop(connection, None)
        holding = self._holding_by_connection.get(connection)
        if holding is not None:
            self.release(connection, holding.held_bytes)
            del self._holding_by_connection[connection]

    def await_caller(self, connection: int, use: Use | None, now: float) -> None:
        """Record what a caller must go on with, or that nothing is awaited of it.

        Args:
            connection: Number of the connection; may be unknown.
            use: What the caller must send or take; None for nothing.
            now: Loop time; the time without progress counts from here.
        """
        holding = self._holding_by_connection.get(connection)
        if holding is not None:
            holding.awaited_use = use
            holding.progress_at = now

    def grant_waiting(self, now: float) -> list[int]:
        """Count the bytes of those that wait, as far as the thresholds allow it.

        Those of the organisation that holds least come first.

        Args:
            now: Loop time.

        Returns:
            The connections that wait no longer.
        """
        granted = []
        for asked in sorted(self._asked_by_connection.values(), key=self._rank):
            holding = self._holding_by_connection[asked.connection]
            if self._may_hold(holding, asked.size):
                self._count(holding, asked.size)
                # The wait was none of the caller's.
                holding.progress_at = now
                del self._asked_by_connection[asked.connection]
                granted.append(asked.connection)
        return granted

    def _rank(self, asked: _Asked) -> tuple[int, float]:
        organisation = self._holding_by_connection[asked.connection].organisation
        return self._bytes_by_organisation[organisation], asked.since

    def refuse_overdue(self, now: float) -> list[int]:
        """Refuse the requests that have waited too long; responses wait on.

        Args:
            now: Loop time.

        Returns:
            Their connections, which hold on to what was granted before.
        """
        overdue = [
            asked.connection
            for asked in self._asked_by_connection.values()
            if asked.use is Use.REQUEST and now >= asked.since + MAX_WAIT_SECONDS
        ]
        for connection in overdue:
            del self._asked_by_connection[connection]
        return overdue

    def end_stalled(self, now: float) -> list[Ended]:
        """Choose the connections to end because their callers make no progress.

        While others wait for room, those that hold most come first, and no more than are needed.

        Args:
            now: Loop time.

        Returns:
            The connections, which are closed in the account.
        """
        needed = sum(asked.size for asked in self._asked_by_connection.values())
        stalled = [
            (holding.held_bytes, now - holding.progress_at, holding.awaited_use, connection)
            for connection, holding in self._holding_by_connection.items()
            if holding.awaited_use is not None and not self._is_own_wait(connection, holding)
        ]
        ended = []
        for held_bytes, seconds, use, connection in sorted(stalled, key=lambda one: -one[0]):
            own = self._asked_by_connection.get(connection)
            own_bytes = own.size if own is not None else 0
            is_pressed = needed > own_bytes and seconds >= MAX_STALL_UNDER_PRESSURE_SECONDS
            if use is not None and (is_pressed or seconds >= MAX_STALL_SECONDS):
                needed -= held_bytes + own_bytes
                ended.append(Ended(connection, use, held_bytes, seconds))
        for one in ended:
            self.close(one.connection)
        return ended

    def _is_own_wait(self, connection: int, holding: _Holding) -> bool:
        """Whether a caller can't go on because this node doesn't read its request."""
        asked = self._asked_by_connection.get(connection)
        return asked is not None and holding.awaited_use is Use.REQUEST
