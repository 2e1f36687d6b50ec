"""Server-sent events of the stand-in model engine, and faults injected into them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from dragonflycove.standins import engine_parameters, engine_streams

HEARTBEAT = b":\n\n"
"""Heartbeat: an empty comment of the server-sent event stream."""

FOREIGN_ATTEMPT = "attempt-of-another-request"
"""Attempt id in frames that `cross_every` inserts from another stream."""


class FrameFaults:
    """Duplicates, reorders, inserts and drops frames of one connection."""

    def __init__(self, switches: engine_parameters.EngineSwitches) -> None:
        """Create the faults of a new connection.

        Args:
            switches: The faults that are switched on.
        """
        self._switches = switches
        self._count = 0
        self._delayed: engine_streams.Token | None = None

    def apply(self, token: engine_streams.Token) -> list[engine_streams.Token]:
        """Return the tokens to send in place of the next one, possibly none."""
        self._count += 1
        sent = [] if self._is_due(self._switches.drop_every) else [token]
        if self._is_due(self._switches.duplicate_every):
            sent = sent * 2
        if self._is_due(self._switches.cross_every):
            sent.insert(0, token._replace(attempt=FOREIGN_ATTEMPT, finish=None))
        if self._delayed is not None:
            sent.append(self._delayed)
            self._delayed = None
        elif sent and token.finish is None and self._is_due(self._switches.swap_every):
            self._delayed = sent.pop()
        return sent

    def _is_due(self, every: int) -> bool:
        """Return whether a fault applies to the current frame; 0 means never."""
        return every > 0 and self._count % every == 0


def encode(token: engine_streams.Token) -> bytes:
    """Return a token as one server-sent event.

    Args:
        token: The token.

    Returns:
        The encoded event.
    """
    return b"data: " + msgspec.json.encode(token._asdict()) + b"\n\n"
