"""One attempt of a model request at one engine, and what is counted about it."""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.attempts import effects
from dragonflycove.values import outcomes

RESUMES_WITHOUT_PROGRESS_LIMIT = 1
"""Fresh connections tried for an attempt without a new frame before it is given up."""

GAP_FRAMES_LIMIT = 64
"""Frames out of sequence after which an attempt whose gap was not filled is given up."""

NOT_RUN_KINDS = frozenset({effects.BreakKind.UNREACHABLE, effects.BreakKind.REFUSED_NOT_RUN})
"""Breaks of an attempt's first connection after which the attempt has not run."""

RESUMABLE_KINDS = frozenset({effects.BreakKind.SILENT, effects.BreakKind.CRASHED})
"""Breaks after which the engine may still run the stream."""

REASON_BY_KIND: dict[effects.BreakKind, outcomes.Reason] = {
    effects.BreakKind.UNREACHABLE: outcomes.Reason.BACKEND_UNREACHABLE,
    effects.BreakKind.CRASHED: outcomes.Reason.BACKEND_CRASHED,
    effects.BreakKind.SILENT: outcomes.Reason.BACKEND_SILENT,
    effects.BreakKind.ERROR: outcomes.Reason.BACKEND_ERROR,
    effects.BreakKind.REFUSED_NOT_RUN: outcomes.Reason.BACKEND_REFUSED,
}
"""Reason that is counted for each kind of break."""


class ResumePoint(NamedTuple):
    """Where a caller may resume its stream, at any node."""

    server_id: str
    """Engine that runs the stream."""

    attempt: str
    """Attempt under which it runs."""

    base_index: int
    """Index in the caller's stream of the attempt's frame 0."""


class FrameCounts:
    """Frames that were dropped."""

    def __init__(self) -> None:
        self.late = 0
        """Frames of an attempt that is not the current one."""
        self.duplicate = 0
        """Frames that were there before."""
        self.gap = 0
        """Frames that came before an earlier one."""


class Attempt:
    """One attempt at one engine.

    Args:
        attempt: Identifier of the attempt.
        server_id: The engine.
        base_index: Index in the caller's stream of the attempt's frame 0.
    """

    def __init__(self, attempt: str, server_id: str, base_index: int) -> None:
        self.attempt = attempt
        self.server_id = server_id
        self.base_index = base_index
        self.connection = 0
        """Number of the newest connection; 0 is the one that sent the request."""
        self.resumes_without_progress = 0
        """Fresh connections since the last new frame."""
        self.gap_frames = 0
        """Frames out of sequence since the last new frame."""
        self.has_frames = False
        """Whether the engine ever gave a frame."""
        self.is_lost = False
        """Whether the connection ended while the caller was away."""
        self.break_reason: outcomes.Reason | None = None
        """Why the attempt was resumed since the last new frame."""

    def note_progress(self) -> None:
        """Record that a new frame came in sequence."""
        self.resumes_without_progress = 0
        self.gap_frames = 0
        self.has_frames = True
        self.break_reason = None

    def cancel(self) -> effects.CancelAttempt | effects.AbandonAttempt:
        """Return the effect that frees the attempt's stream, unless it may be another node's."""
        if self.is_lost:
            return effects.AbandonAttempt(self.attempt, self.server_id)
        return effects.CancelAttempt(self.attempt, self.server_id)

    @property
    def resume_point(self) -> ResumePoint:
        """Where the caller may resume the stream."""
        return ResumePoint(self.server_id, self.attempt, self.base_index)

    @property
    def may_resume(self) -> bool:
        """Whether a further fresh connection is worth trying."""
        return self.resumes_without_progress < RESUMES_WITHOUT_PROGRESS_LIMIT

    def is_awaiting_gap(self) -> bool:
        """Count a frame out of sequence, and tell whether the frames before it may still come."""
        self.gap_frames += 1
        is_resumed = self.break_reason is outcomes.Reason.STREAM_GAP
        return is_resumed and self.gap_frames < GAP_FRAMES_LIMIT

    def resume(
        self, caller_index: int, reason: outcomes.Reason | None = None
    ) -> effects.ResumeAttempt:
        """Return the effect that reads the stream on, on a fresh connection.

        Args:
            caller_index: First frame wanted, as an index in the caller's stream.
            reason: What broke the connection before; `None` where nothing did.

        Returns:
            The effect.
        """
        self.connection += 1
        self.is_lost = False
        if reason is not None:
            self.resumes_without_progress += 1
            self.break_reason = reason
        from_index = caller_index - self.base_index
        return effects.ResumeAttempt(self.attempt, self.server_id, from_index, self.connection)


class AttemptPair:
    """The current attempt, and the one it is to replace until its first frame."""

    def __init__(self) -> None:
        self.current: Attempt | None = None
        """The attempt whose frames count."""
        self.standby: Attempt | None = None
        """An attempt at a leaving server, to go back to if the current one breaks early."""

    def start(self, attempt: Attempt) -> None:
        """Make an attempt the current one, and keep the one before it on standby.

        Args:
            attempt: The new attempt.
        """
        self.standby = self.current
        self.current = attempt

    def fall_back(self) -> Attempt | None:
        """Drop the current attempt and return the one on standby, which is now current."""
        self.current = self.standby
        self.standby = None
        return self.current

    def cancel_standby(self) -> list[effects.Effect]:
        """Drop the attempt on standby.

        Returns:
            The effect that frees it, if there was one.
        """
        standby = self.standby
        self.standby = None
        return [] if standby is None else [standby.cancel()]

    def cancel_all(self) -> list[effects.Effect]:
        """Drop both attempts.

        Returns:
            The effects that free them.
        """
        result = self.cancel_standby()
        current = self.current
        self.current = None
        return result if current is None else [*result, current.cancel()]
