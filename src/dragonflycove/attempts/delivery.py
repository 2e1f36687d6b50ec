"""Buffer of one caller's stream: the frames received and those already sent to the caller."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dragonflycove.attempts import effects

if TYPE_CHECKING:
    from collections.abc import Sequence


CALLER_GRACE_SECONDS = 30.0
"""Time after its caller disconnected until a request is cancelled, seconds."""


class Delivery:
    """The frames of a caller's stream, in sequence.

    Args:
        tokens: Texts of the frames received before, from frame 0 on.
        caller_from_index: Index of the first frame that the caller lacks, perhaps beyond `tokens`.
        grace_seconds: Time to wait for a disconnected caller, seconds.
    """

    def __init__(
        self,
        tokens: Sequence[str] = (),
        caller_from_index: int = 0,
        grace_seconds: float = CALLER_GRACE_SECONDS,
    ) -> None:
        self._tokens = list(tokens)
        self._emitted = max(len(self._tokens), caller_from_index)
        self.give_up_at = math.inf
        """Loop time at which a request without its caller is cancelled, seconds; infinite while the
        caller is connected."""
        self._grace_seconds = grace_seconds
        self._finish: str | None = None

    @property
    def count(self) -> int:
        """Number of frames received, including those passed in at the start."""
        return len(self._tokens)

    @property
    def is_behind_caller(self) -> bool:
        """Whether the caller has frames that this node has not received."""
        return self._emitted > len(self._tokens)

    @property
    def tokens(self) -> tuple[str, ...]:
        """Texts of the frames received, from frame 0 on."""
        return tuple(self._tokens)

    @property
    def text(self) -> str:
        """Concatenated text of the frames received."""
        return "".join(self._tokens)

    @property
    def is_detached(self) -> bool:
        """Whether the caller is disconnected."""
        return self.give_up_at < math.inf

    @property
    def has_last_frame(self) -> bool:
        """Whether the last frame of the stream was received."""
        return self._finish is not None

    @property
    def is_fully_emitted(self) -> bool:
        """Whether the last frame was sent to the caller."""
        return self.has_last_frame and self._emitted == len(self._tokens)

    def detach(self, now: float) -> None:
        """Buffer frames from now on, because the caller disconnected.

        Args:
            now: Loop time, seconds.
        """
        self.give_up_at = min(self.give_up_at, now + self._grace_seconds)

    def attach(self, from_index: int) -> list[effects.Effect]:
        """Send frames to the caller again, because it reconnected.

        Args:
            from_index: Index of the first frame that the caller lacks.

        Returns:
            Effects that send the buffered frames from `from_index` on.
        """
        self.give_up_at = math.inf
        self._emitted = from_index
        return self._flush()

    def append(self, token: str, finish: str | None) -> list[effects.Effect]:
        """Append the next frame.

        Args:
            token: Text of the frame.
            finish: Finish reason in the last frame of the stream, otherwise `None`.

        Returns:
            Effects that send the frames that the caller lacks; empty while it is disconnected.
        """
        self._tokens.append(token)
        self._finish = finish
        return self._flush()

    def _flush(self) -> list[effects.Effect]:
        """Return effects that send the frames that a connected caller lacks."""
        if self.is_detached:
            return []
        result: list[effects.Effect] = []
        while self._emitted < len(self._tokens):
            is_last = self._emitted == len(self._tokens) - 1
            finish = self._finish if is_last else None
            result.append(effects.Emit(self._emitted, self._tokens[self._emitted], finish))
            self._emitted += 1
        return result
