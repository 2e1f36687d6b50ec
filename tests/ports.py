"""Ports for tests, outside of the range that the kernel gives to outgoing connections.

A port of that range can be taken between two starts of a process that listens on it.
"""

from __future__ import annotations

import itertools
import os
import socket

FIRST_PORT, LAST_PORT = 12_000, 31_000
"""Range of the ports; Linux gives outgoing connections those from 32,768 on."""

# Test runs beside each other begin at different places.
_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _ in range(os.getpid() * 97 % (LAST_PORT - FIRST_PORT)):
    next(_ports)


def free_port() -> int:
    """Return a port of 127.0.0.1 that nothing listens on, another one at each call."""
    for port in itertools.islice(_ports, LAST_PORT - FIRST_PORT):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")
