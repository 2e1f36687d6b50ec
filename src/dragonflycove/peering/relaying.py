"""Broadcast by gossip: each node forwards a new message to a few random hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

FAN_OUT_HOSTS = 4
"""Number of hosts to which a node forwards a message."""

MAX_HOPS = 10
"""Maximum number of times that a message is forwarded."""

MAX_KNOWN_MESSAGES = 4096
"""Number of recent message identifiers kept to detect duplicates."""


class Relayed(NamedTuple):
    """A broadcast message."""

    message_id: str
    """Identifier of the broadcast, by which duplicates are detected."""

    hops_left: int
    """Number of times that it may still be forwarded."""

    origin: str
    """Process that started the broadcast, `host/incarnation`."""

    kind: str
    """Kind of the embedded message."""

    kind_version: int
    """Version of the kind."""

    body: bytes
    """Encoded embedded message."""


class Relay:
    """Detects duplicate broadcasts and chooses hosts to forward to."""

    def __init__(self, rng: random.Random) -> None:
        """Create a relay.

        Args:
            rng: Random number generator for the choice of hosts.
        """
        self._rng = rng
        self._known_ids: dict[str, None] = {}

    def add_if_new(self, message_id: str) -> bool:
        """Record a broadcast; beyond the limit the oldest is forgotten.

        Args:
            message_id: Identifier of the broadcast.

        Returns:
            Whether it is new.
        """
        if message_id in self._known_ids:
            return False
        self._known_ids[message_id] = None
        if len(self._known_ids) > MAX_KNOWN_MESSAGES:
            del self._known_ids[next(iter(self._known_ids))]
        return True

    def choose(self, live_hosts: Sequence[str], fan_out: int = FAN_OUT_HOSTS) -> list[str]:
        """Choose random hosts to forward a message to.

        Args:
            live_hosts: The other live hosts.
            fan_out: Number of hosts to choose.

        Returns:
            The hosts; all if there are no more than `fan_out`.
        """
        return self._rng.sample(list(live_hosts), min(fan_out, len(live_hosts)))
