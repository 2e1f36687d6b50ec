"""Messages between members, and the order of two digests of one member."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Health(enum.IntEnum):
    """Health of a member; a higher value wins until the member refutes it.

    The member names are logged in lower case.
    """

    ALIVE = 0
    """It responded, or no node suspects it."""

    SUSPECT = 1
    """It responded neither to a probe nor to indirect probes."""

    SILENT = 2
    """It did not refute the suspicion before the timeout and counts as unresponsive."""


class Digest(NamedTuple):
    """State of one member in the view of the node that sends it."""

    host: str
    """Name of its host."""

    incarnation: str
    """Identifier of its process."""

    started_at: float
    """Start time of the process, Unix seconds; orders the processes on one host."""

    refutation: int
    """Counter that the member increments to refute a suspicion."""

    heartbeat: int
    """Counter that the member increments with each of its probes and updates of its own state."""

    version: int
    """Configuration version in force at the member."""

    leaving: bool
    """Whether the member is stopping."""

    health: Health
    """Health of the member."""


class Probe(NamedTuple):
    """Asks whether the receiver is alive."""

    probe_id: int
    """Number of the probe, unique at its sender."""

    digests: tuple[Digest, ...]
    """Digests, the sender's own first."""


class ProbeAnswered(NamedTuple):
    """Response to a probe."""

    probe_id: int
    """Number that the receiver of this response gave the probe."""

    target: str
    """Host that is alive: the sender, or the host that it probed on the receiver's behalf."""

    digests: tuple[Digest, ...]
    """Digests, the sender's own first."""


class ProbeRequested(NamedTuple):
    """Asks the receiver to probe a host that did not respond to the sender."""

    probe_id: int
    """Number of the sender's own probe of the host."""

    target: str
    """Name of the host."""


def is_newer(given: Digest, known: Digest | None) -> bool:
    """Return whether a received digest is newer than the known one of the same host.

    A later process wins; within one process, the higher refutation, then health, then heartbeat.

    Args:
        given: The received digest.
        known: The known digest; `None` if there is none.

    Returns:
        Whether the received digest replaces the known one.
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
