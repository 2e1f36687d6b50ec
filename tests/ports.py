"""Listening ports for tests, outside the kernel's range for outgoing connections.

A port of that range can be taken by a connection while a process that listens on it restarts.
"""

from __future__ import annotations

import collections
import itertools
import os
import socket

FIRST_PORT, LAST_PORT = 12_000, 31_000
"""Range of the ports, the last one excluded; Linux uses 32,768 and up for outgoing connections."""

RESERVATION_IP = "127.255.255.253"
"""Address at which ports that were returned are kept from other test runs until they are used."""

MAX_RESERVATIONS = 200
"""Ports that are kept so; those before them are in use or done with."""

# Concurrent test runs start at different ports, so that they rarely try the same one; their
# process ids are mostly close to each other.
_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _ in range(os.getpid() * 6_421 % (LAST_PORT - FIRST_PORT)):
    next(_ports)

_reservations: collections.deque[socket.socket] = collections.deque()


def free_port() -> int:
    """Return a port that nothing listens on; each call returns another one."""
    for port in itertools.islice(_ports, LAST_PORT - FIRST_PORT):
        if _is_free(port) and _reserve(port):
            return port
    raise RuntimeError("no port of the range is free")


def free_ports(count: int) -> int:
    """Return the first of several free ports in a row; each call returns others."""
    first = last = free_port()
    while last - first + 1 < count:
        port = free_port()
        first, last = (first if port == last + 1 else port), port
    return first


def _is_free(port: int) -> bool:
    """Whether nothing uses a port, on any local address, for TCP or UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as candidate:
            try:
                candidate.bind(("", port))
            except OSError:
                return False
    return True


def _reserve(port: int) -> bool:
    """Keep a port from other test runs; returns whether none of them was faster."""
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((RESERVATION_IP, port))
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    if len(_reservations) > MAX_RESERVATIONS:
        _reservations.popleft().close()
    return True
