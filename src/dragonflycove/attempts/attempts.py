"""Attempts of a model request at engines, and the limits on resuming them."""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.attempts import effects
from dragonflycove.values import outcomes

RESUMES_WITHOUT_PROGRESS_LIMIT = 1
"""Maximum reconnections to an attempt's stream since the last new frame."""

GAP_FRAMES_LIMIT = 64
"""Number of out-of-sequence frames since the last new frame at which an attempt is given up."""

NOT_RUN_KINDS = frozenset(
    {effects.AttemptFailureKind.UNREACHABLE, effects.AttemptFailureKind.REFUSED_NOT_RUN}
)
"""Failures of an attempt's first connection which show that the engine did not run the attempt."""

RESUMABLE_KINDS = frozenset({effects.AttemptFailureKind.SILENT, effects.AttemptFailureKind.CRASHED})
"""Failures after which the engine may still be running the stream, so that a resume is tried."""

REASON_BY_KIND: dict[effects.AttemptFailureKind, outcomes.Reason] = {
    effects.AttemptFailureKind.UNREACHABLE: outcomes.Reason.BACKEND_UNREACHABLE,
    effects.AttemptFailureKind.CRASHED: outcomes.Reason.BACKEND_CRASHED,
    effects.AttemptFailureKind.SILENT: outcomes.Reason.BACKEND_SILENT,
    effects.AttemptFailureKind.ERROR: outcomes.Reason.BACKEND_ERROR,
    effects.AttemptFailureKind.REFUSED_NOT_RUN: outcomes.Reason.BACKEND_REFUSED,
}
"""Reason that is reported and counted for each kind of failure."""


class ResumePoint(NamedTuple):
    """Engine and attempt of a stream, with which a caller can resume the stream at any node."""

    server_id: str
    """Identifier of the engine that runs the stream."""

    attempt: str
    """Identifier of the attempt that runs it."""

    base_index: int
    """Index in the caller's stream of the attempt's frame 0."""


class DroppedFrameCounts:
    """Frames from engines that were dropped, by cause."""

    def __init__(self) -> None:
        self.late = 0
        """Number of frames of an attempt that is not the current one."""
        self.duplicate = 0
        """Number of frames that had already been received."""
        self.gap = 0
        """Number of frames that arrived while an earlier frame was missing."""


class Attempt:
    """One try of a request at one engine.

    Args:
        attempt: Identifier of the attempt.
        server_id: Identifier of the engine.
        base_index: Index in the caller's stream of the attempt's frame 0.
    """

    def __init__(self, attempt: str, server_id: str, base_index: int) -> None:
        self.attempt = attempt
        """Identifier of the attempt."""
        self.server_id = server_id
        """Identifier of the engine."""
        self.base_index = base_index
        """Index in the caller's stream of the attempt's frame 0."""
        self.connection = 0
        """Number of the newest connection; 0 is the one that sent the request."""
        self.resumes_without_progress = 0
        """Number of reconnections after a failure since the last new frame."""
        self.gap_frames = 0
        """Number of out-of-sequence frames since the last new frame."""
        self.has_frames = False
        """Whether the engine has sent a frame in sequence."""
        self.is_disconnected = False
        """Whether the connection failed while the caller was away; resumed on its return."""
        self.failure_reason: outcomes.Reason | None = None
        """Why the attempt was last resumed; `None` once a new frame has arrived."""

    def note_progress(self) -> None:
        """Reset the failure counters after a new frame in sequence."""
        self.resumes_without_progress = 0
        self.gap_frames = 0
        self.has_frames = True
        self.failure_reason = None

    def cancel(self) -> effects.CancelAttempt | effects.AbandonAttempt:
        """Return the effect that ends the attempt.

        A disconnected attempt is abandoned instead of cancelled: its caller may have resumed the
        stream at another node, which then owns it.
        """
        if self.is_disconnected:
            return effects.AbandonAttempt(self.attempt, self.server_id)
        return effects.CancelAttempt(self.attempt, self.server_id)

    @property
    def resume_point(self) -> ResumePoint:
        """Where the caller can resume the stream at any node."""
        return ResumePoint(self.server_id, self.attempt, self.base_index)

    @property
    def can_resume(self) -> bool:
        """Whether the limit on reconnections without a new frame leaves another one."""
        return self.resumes_without_progress < RESUMES_WITHOUT_PROGRESS_LIMIT

    def count_gap_frame(self) -> bool:
        """Count an out-of-sequence frame.

        Returns:
            Whether the missing frames may still arrive, because the attempt was resumed to fetch
            them and the limit on out-of-sequence frames is not reached.
        """
        self.gap_frames += 1
        is_resumed = self.failure_reason is outcomes.Reason.STREAM_GAP
        return is_resumed and self.gap_frames < GAP_FRAMES_LIMIT

    def resume(
        self, caller_index: int, reason: outcomes.Reason | None = None
    ) -> effects.ResumeAttempt:
        """Return the effect that continues reading the stream on a new connection.

        Args:
            caller_index: First frame to read, as an index in the caller's stream.
            reason: Why the previous connection failed, which adds to the resumes without
                progress; `None` for a resume that follows no failure.

        Returns:
            The effect.
        """
        self.connection += 1
        self.is_disconnected = False
        if reason is not None:
            self.resumes_without_progress += 1
            self.failure_reason = reason
        from_index = caller_index - self.base_index
        return effects.ResumeAttempt(self.attempt, self.server_id, from_index, self.connection)


class AttemptPair:
    """The current attempt, and the attempt that it replaces, kept until its first frame."""

    def __init__(self) -> None:
        self.current: Attempt | None = None
        """The attempt whose frames are accepted; `None` while no attempt runs."""
        self.standby: Attempt | None = None
        """The attempt at a leaving server, resumed if the current one fails before a frame."""

    def start(self, attempt: Attempt) -> None:
        """Make an attempt the current one, and keep the previous one on standby.

        Args:
            attempt: The new attempt.
        """
        self.standby = self.current
        self.current = attempt

    def fall_back(self) -> Attempt | None:
        """Drop the current attempt and make the standby current.

        Returns:
            The attempt that is current now; `None` if there was no standby.
        """
        self.current = self.standby
        self.standby = None
        return self.current

    def cancel_standby(self) -> list[effects.Effect]:
        """Drop the attempt on standby.

        Returns:
            The effect that ends it; empty if there was none.
        """
        standby = self.standby
        self.standby = None
        return [] if standby is None else [standby.cancel()]

    def cancel_all(self) -> list[effects.Effect]:
        """Drop both attempts.

        Returns:
            The effects that end them; empty if there were none.
        """
        result = self.cancel_standby()
        current = self.current
        self.current = None
        return result if current is None else [*result, current.cancel()]
