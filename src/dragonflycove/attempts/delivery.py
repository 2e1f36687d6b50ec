"""Keeps the frames of one stream and tells which of them the caller still needs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dragonflycove.attempts import effects

if TYPE_CHECKING:
    from collections.abc import Sequence


CALLER_GRACE_SECONDS = 30.0
"""Time for which a request whose caller went away waits for it, seconds."""


class Delivery:
    """The frames of a caller's stream, in sequence.

    Args:
        tokens: Frames that are known from before, the first one first.
        caller_from_index: First frame that the caller lacks; it may lie beyond the known ones.
        grace_seconds: Time to wait for a caller that went away, seconds.
    """

    def __init__(
        self,
        tokens: Sequence[str] = (),
        caller_from_index: int = 0,
        grace_seconds: float = CALLER_GRACE_SECONDS,
    ) -> None:
        self._tokens = list(tokens)
        self._emitted = max(len(self._tokens), caller_from_index)
        self.abandoned_at = math.inf
        """Time at which to give up the caller, seconds; infinite while it is there."""
        self._grace_seconds = grace_seconds
        self._finish: str | None = None

    @property
    def count(self) -> int:
        """Frames taken in, those included that the caller had before."""
        return len(self._tokens)

    @property
    def is_behind_caller(self) -> bool:
        """Whether the caller has frames that are not known here."""
        return self._emitted > len(self._tokens)

    @property
    def tokens(self) -> tuple[str, ...]:
        """Texts of all the frames."""
        return tuple(self._tokens)

    @property
    def text(self) -> str:
        """Text of all the frames."""
        return "".join(self._tokens)

    @property
    def is_detached(self) -> bool:
        """Whether the caller is away."""
        return self.abandoned_at < math.inf

    @property
    def finished(self) -> bool:
        """Whether the last frame was taken in."""
        return self._finish is not None

    @property
    def complete(self) -> bool:
        """Whether the caller was sent the last frame."""
        return self.finished and self._emitted == len(self._tokens)

    def detach(self, now: float) -> None:
        """Keep frames from now on instead of handing them to the caller.

        Args:
            now: Time of the loop's clock, seconds.
        """
        self.abandoned_at = min(self.abandoned_at, now + self._grace_seconds)

    def attach(self, from_index: int) -> list[effects.Effect]:
        """Hand frames to the caller again.

        Args:
            from_index: First frame that the caller lacks.

        Returns:
            The frames that it lacks.
        """
        self.abandoned_at = math.inf
        self._emitted = from_index
        return self._flush()

    def append(self, token: str, finish: str | None) -> list[effects.Effect]:
        """Take in the next frame.

        Args:
            token: Text of the frame.
            finish: Reason for the end of the stream, in its last frame.

        Returns:
            The frames to hand to the caller now.
        """
        self._tokens.append(token)
        self._finish = finish
        return self._flush()

    def _flush(self) -> list[effects.Effect]:
        """Return the frames that an attached caller lacks."""
        if self.is_detached:
            return []
        result: list[effects.Effect] = []
        while self._emitted < len(self._tokens):
            is_last = self._emitted == len(self._tokens) - 1
            finish = self._finish if is_last else None
            result.append(effects.Emit(self._emitted, self._tokens[self._emitted], finish))
            self._emitted += 1
        return result
