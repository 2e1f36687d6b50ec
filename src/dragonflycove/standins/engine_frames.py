"""Frames of the model engine's stand-in on the wire, and the faults that they may have."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from dragonflycove.standins import engine_parameters, engine_streams

HEARTBEAT = b":\n\n"
"""A comment of a server-sent event stream."""

FOREIGN_ATTEMPT = "attempt-of-another-request"
"""Attempt of frames that have come to the wrong stream."""


class FrameFaults:
    """Repeats, swaps, crosses and drops the frames of one connection."""

    def __init__(self, switches: engine_parameters.EngineSwitches) -> None:
        """Create the faults of a connection.

        Args:
            switches: What is switched on.
        """
        self._switches = switches
        self._count = 0
        self._delayed: engine_streams.Token | None = None

    def apply(self, token: engine_streams.Token) -> list[engine_streams.Token]:
        """Return what is sent for a token, perhaps nothing."""
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
        """Tell whether a fault strikes the present frame."""
        return every > 0 and self._count % every == 0


def encode(token: engine_streams.Token) -> bytes:
    """Return a token as one server-sent event.

    Args:
        token: The token.

    Returns:
        The event's bytes.
    """
    return b"data: " + msgspec.json.encode(token._asdict()) + b"\n\n"
