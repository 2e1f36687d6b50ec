"""Effects of membership for the node to carry out."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.membership import digests


class Send(NamedTuple):
    """Send a message to a host."""

    host: str
    """Name of the host."""

    message: digests.Probe | digests.ProbeAnswered | digests.ProbeRequested
    """Message to send."""


class ProbeSucceeded(NamedTuple):
    """A probe was confirmed by its target, directly or through another node."""

    sent_at: float
    """Loop time at which the probe was sent, seconds."""


class MemberChanged(NamedTuple):
    """A member started, became suspect or unresponsive, responds again or is leaving."""

    digest: digests.Digest
    """New state of the member."""


class MemberRemoved(NamedTuple):
    """A host was removed from the host list."""

    host: str
    """Name of the host."""


Effect = Send | ProbeSucceeded | MemberChanged | MemberRemoved
"""All effects of membership."""
