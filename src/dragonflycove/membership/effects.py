"""What a membership decision asks for."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.membership import digests


class Send(NamedTuple):
    """A message to a host."""

    host: str
    """Name of the host."""

    message: digests.Probe | digests.ProbeAnswered | digests.ProbeRequested
    """The message."""


class ProbeSucceeded(NamedTuple):
    """A probe was answered, by its target or by a helper."""

    sent_at: float
    """When the probe was sent, seconds."""


class MemberChanged(NamedTuple):
    """A member started, stopped answering, answers again or is leaving."""

    digest: digests.Digest
    """What is now known of it."""


class MemberGone(NamedTuple):
    """The host list no longer names a host."""

    host: str
    """Name of the host."""


Effect = Send | ProbeSucceeded | MemberChanged | MemberGone
"""What a membership decision asks for."""
