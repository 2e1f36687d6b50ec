"""Bounds the connections that a listener keeps open, and chooses which give way to new ones."""

from __future__ import annotations

import collections
import enum
from typing import Generic, NamedTuple, TypeVar

from dragonflycove.fleet.memory import byte_account

RESERVED_FILES = 200
"""Descriptors of a host that are not available for sockets and pipes."""

CONNECTION_BYTES = 32_768
"""Memory of a connection beside the bytes that are accounted for."""

CONNECTIONS_SHARE = 0.4
"""Share of the memory without the process's own that connections of callers may take."""

MIN_CONNECTIONS = 4
"""Minimum of each limit."""

MIN_WAITING_SECONDS = 1.0
"""Time that a connection has waited for its peer at least before it gives way to a new one."""

_T = TypeVar("_T")


class Port(enum.Enum):
    """Kind of a listener, with its share of the host's sockets."""

    CALLERS = 1 / 3
    """Requests of callers; each may need a connection to a server as well."""

    DIRECTORY = 1 / 8
    """Directory lookups of callers."""

    PROBES = 1 / 64
    """Readiness checks, or metrics."""

    RELAYS = 1 / 16
    """Requests that other nodes relay."""

    TRANSFERS = 1 / 32
    """Transfers of store records to other nodes."""


def max_connections(port: Port, max_descriptors: int, memory_bytes: int) -> int:
    """Return the limit of a listener.

    Args:
        port: Kind of the listener.
        max_descriptors: Descriptors that the process may open.
        memory_bytes: Memory that the process may use.
    """
    free_memory_bytes = max(byte_account.MIN_LIMIT_BYTES, memory_bytes - byte_account.PROCESS_BYTES)
    by_descriptors = int((max_descriptors - RESERVED_FILES) * port.value)
    by_memory = int(free_memory_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, min(by_descriptors, by_memory))


class Admission(NamedTuple, Generic[_T]):
    """Decision about a new connection."""

    is_admitted: bool
    """Whether it may stay open."""

    closed: _T | None = None
    """Connection that is closed for it; None if none is."""


class ConnectionLimit(Generic[_T]):
    """The open connections of a listener, by how long each has waited for its peer."""

    def __init__(self, max_count: int) -> None:
        """Create a limit without connections.

        Args:
            max_count: Maximum number of connections.
        """
        self._max_count = max_count
        self._open: set[_T] = set()
        self._since_by_waiting: collections.OrderedDict[_T, float] = collections.OrderedDict()

    def admit(self, connection: _T, now: float) -> Admission[_T]:
        """Decide about a new connection; one that is admitted waits for its peer.

        At the limit it takes the place of the one that has waited longest for its peer, be it idle
        or in the middle of a request, but not of one that is being served.

        Args:
            connection: The connection.
            now: Loop time.
        """
        closed: _T | None = None
        if len(self._open) >= self._max_count:
            closed = next(iter(self._since_by_waiting), None)
            if closed is None or now < self._since_by_waiting[closed] + MIN_WAITING_SECONDS:
                return Admission(is_admitted=False)
            self.discard(closed)
        self._open.add(connection)
        self._since_by_waiting[connection] = now
        return Admission(is_admitted=True, closed=closed)

    def on_waiting(self, connection: _T, now: float) -> None:
        """Record that a connection waits for its peer from now on.

        Args:
            connection: The connection; may have been closed.
            now: Loop time.
        """
        if connection in self._open:
            self._since_by_waiting[connection] = now
            self._since_by_waiting.move_to_end(connection)

    def on_served(self, connection: _T) -> None:
        """Record that a request of a connection is being served.

        Args:
            connection: The connection.
        """
        self._since_by_waiting.pop(connection, None)

    def discard(self, connection: _T) -> None:
        """Forget a connection that has ended.

        Args:
            connection: The connection; may be unknown.
        """
        self._open.discard(connection)
        self._since_by_waiting.pop(connection, None)
