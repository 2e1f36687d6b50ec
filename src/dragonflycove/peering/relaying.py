"""Messages to all nodes, passed on with a bounded fan-out."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

FAN_OUT_HOSTS = 4
"""Hosts to which one node passes a message on."""

MAX_HOPS = 10
"""Most times that a message is passed on."""

MAX_REMEMBERED = 4096
"""Most messages that are remembered as seen."""


class Relayed(NamedTuple):
    """A message to all nodes."""

    message_id: str
    """Identifier of the message."""

    hops_left: int
    """Times that it may still be passed on."""

    origin: str
    """The process that sent it first, `host/incarnation`."""

    kind: str
    """Kind of the message inside."""

    kind_version: int
    """Version of that kind."""

    body: bytes
    """The message inside, encoded."""


class Relay:
    """Keeps which messages were seen, and picks whom to pass them on to."""

    def __init__(self, rng: random.Random) -> None:
        """Create a relay that has seen nothing.

        Args:
            rng: Where the choice of hosts comes from.
        """
        self._rng = rng
        self._seen: dict[str, None] = {}

    def add_if_new(self, message_id: str) -> bool:
        """Tell whether a message is seen for the first time, and remember it.

        Args:
            message_id: Identifier of the message.

        Returns:
            Whether it is.
        """
        if message_id in self._seen:
            return False
        self._seen[message_id] = None
        if len(self._seen) > MAX_REMEMBERED:
            del self._seen[next(iter(self._seen))]
        return True

    def choose(self, live_hosts: Sequence[str], fan_out: int = FAN_OUT_HOSTS) -> list[str]:
        """Choose hosts to pass a message on to.

        Args:
            live_hosts: The other hosts that are alive.
            fan_out: How many to choose.

        Returns:
            The hosts; all of them where they are few.
        """
        return self._rng.sample(list(live_hosts), min(fan_out, len(live_hosts)))
