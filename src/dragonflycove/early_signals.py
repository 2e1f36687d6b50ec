"""Holds signals back from a process that has no handlers for them yet.

Imports nothing else of the package, since the imports of a node take most of its start.
"""

from __future__ import annotations

import signal

SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM})
"""Signals that end a process without a handler, and that a node handles."""


def hold() -> None:
    """Hold the signals back until `release`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def release() -> None:
    """Deliver the signals that were held back, and further ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
