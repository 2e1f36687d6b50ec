"""What nodes tell each other of members, and which of two digests is newer."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Health(enum.IntEnum):
    """Whether a member answers; a higher value wins until the member refutes it."""

    ALIVE = 0
    """It answered, or nobody complained."""

    SUSPECT = 1
    """It did not answer a probe, nor probes through others."""

    SILENT = 2
    """It did not take back the suspicion in time."""


class Digest(NamedTuple):
    """What is known of one member."""

    host: str
    """Name of its host."""

    incarnation: str
    """Start of its process."""

    started_at: float
    """When the process started, Unix seconds; orders the starts on one host."""

    refutation: int
    """Counter that the member raises to take back a suspicion."""

    heartbeat: int
    """Counter that the member raises with each of its probes."""

    version: int
    """Configuration version in force there."""

    leaving: bool
    """Whether it is stopping."""

    health: Health
    """Whether it answers."""


class Probe(NamedTuple):
    """Asks whether the receiver is alive."""

    probe_id: int
    """Number of the probe at its sender."""

    digests: tuple[Digest, ...]
    """Digests, the sender's own first."""


class ProbeAnswered(NamedTuple):
    """Answers a probe."""

    probe_id: int
    """Number of the probe."""

    target: str
    """Host that is alive: the sender, or the one it probed for the receiver."""

    digests: tuple[Digest, ...]
    """Digests, the sender's own first."""


class ProbeRequested(NamedTuple):
    """Asks the receiver to probe a host that did not answer the sender."""

    probe_id: int
    """Number of the probe at its sender."""

    target: str
    """Name of the host."""


def is_newer(given: Digest, known: Digest | None) -> bool:
    """Tell whether a digest says more than what is known.

    Args:
        given: The digest.
        known: What is known of the same host; `None` for nothing.

    Returns:
        Whether it replaces what is known.
    """
    if known is None:
        return True
    if given.incarnation != known.incarnation:
        return (given.started_at, given.incarnation) > (known.started_at, known.incarnation)
    return (given.refutation, given.health, given.heartbeat) > (
        known.refutation,
        known.health,
        known.heartbeat,
    )
