"""Listening ports for tests, outside the kernel's range for outgoing connections.

A port of that range can be taken by a connection while a process that listens on it restarts.
"""

from __future__ import annotations

import itertools
import os
import socket

FIRST_PORT, LAST_PORT = 12_000, 31_000
"""Range of the ports, the last one excluded; Linux uses 32,768 and up for outgoing connections."""

# Concurrent test runs start at different ports, so that they rarely try the same one.
_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _ in range(os.getpid() * 97 % (LAST_PORT - FIRST_PORT)):
    next(_ports)


def free_port() -> int:
    """Return a port that nothing listens on; each call returns another one."""
    for port in itertools.islice(_ports, LAST_PORT - FIRST_PORT):
        if _is_free(port):
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
