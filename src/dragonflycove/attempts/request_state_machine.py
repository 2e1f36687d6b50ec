"""The life of one admitted model request, from its first attempt to its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.attempts import attempts, delivery, effects, retry_state
from dragonflycove.values import identifiers, outcomes

if TYPE_CHECKING:
    import collections
    import random
    from collections.abc import Sequence

    from dragonflycove.values import requests


class RequestStateMachine:
    """State machine of one model request.

    Args:
        request: The request.
        rng: Generator for the identifiers of attempts.
        delivered: Frames that the caller has from another node, as far as it sent them along.
        caller_from_index: First frame that the caller lacks, where it resumes at this node.
        caller_grace_seconds: Time to wait for a caller that went away, seconds.
    """

    def __init__(
        self,
        request: requests.ModelRequest,
        rng: random.Random,
        delivered: Sequence[str] = (),
        caller_from_index: int = 0,
        caller_grace_seconds: float = delivery.CALLER_GRACE_SECONDS,
    ) -> None:
        self.request = request
        self.done = False
        """Whether the request is over."""
        self.frames_dropped = attempts.FrameCounts()
        self._rng = rng
        self._delivery = delivery.Delivery(delivered, caller_from_index, caller_grace_seconds)
        self._pair = attempts.AttemptPair()
        self._is_asking = True
        ran = outcomes.Ran.RAN if delivered or caller_from_index else outcomes.Ran.NOT_RUN
        self._retries = retry_state.RetryState(ran)

    @property
    def retries_by_reason(self) -> collections.Counter[outcomes.Reason]:
        """Retries and resumptions of this request by reason."""
        return self._retries.retries_by_reason

    @property
    def resume_point(self) -> attempts.ResumePoint | None:
        """Where the caller may resume; `None` while no attempt runs."""
        current = self._pair.current
        return None if current is None else current.resume_point

    @property
    def delivered(self) -> tuple[str, ...]:
        """Frames taken in so far."""
        return self._delivery.tokens

    def on_dispatched(
        self, server_id: str, priority: int, now: float, group: tuple[str, ...] = ()
    ) -> list[effects.Effect]:
        """Start an attempt at the server that the dispatcher chose.

        An attempt that still runs at a leaving server stays on standby until the first frame of
        the new one.

        Args:
            server_id: The server.
            priority: Priority at the engine.
            now: Time of the loop's clock, seconds.
            group: Engines of the memory group; empty for a single engine.

        Returns:
            The effects; where no attempt is among them, the server is not used.
        """
        if self.done or not self._is_asking or self._delivery.finished:
            return []
        self._is_asking = False
        if self._delivery.is_behind_caller:
            return self._fail(outcomes.Reason.STREAM_GAP, "the stream's earlier frames are lost")
        remaining = self.request.max_tokens - self._delivery.count
        if remaining <= 0:
            return [*self._cancel_all(), *self._accept("", "length")]
        attempt_id = identifiers.new_id(self._rng, "attempt")
        self._pair.start(attempts.Attempt(attempt_id, server_id, self._delivery.count))
        start = effects.StartAttempt(
            attempt_id,
            server_id,
            priority,
            group,
            self._delivery.count,
            self._delivery.text,
            remaining,
        )
        return [start]

    def on_taken_over(self, point: attempts.ResumePoint, now: float) -> list[effects.Effect]:
        """Go on with a stream that another node started, instead of asking for a server.

        Args:
            point: Where the caller says that its stream runs.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        if self.done or self._pair.current is not None:
            return []
        self._is_asking = False
        if point.base_index > self._delivery.count:
            return self._ask(outcomes.Reason.STREAM_GAP, now)
        attempt = attempts.Attempt(point.attempt, point.server_id, point.base_index)
        attempt.note_progress()
        self._pair.start(attempt)
        return [attempt.resume(self._delivery.count)]

    def on_frame(
        self, attempt: str, index: int, token: str, finish: str | None, now: float
    ) -> list[effects.Effect]:
        """Take in one frame of an engine.

        Args:
            attempt: Attempt that the frame names.
            index: Index of the frame, counted from the attempt's own frame 0.
            token: Text of the frame.
            finish: Reason for the end of the stream, in its last frame.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        current = self._current_if(attempt)
        if current is None:
            self.frames_dropped.late += 1
            return []
        position = current.base_index + index
        if position < self._delivery.count:
            self.frames_dropped.duplicate += 1
            return []
        if position > self._delivery.count:
            return self._on_gap(current, now)
        current.note_progress()
        self._retries.ran = outcomes.Ran.RAN
        return [*self._pair.cancel_standby(), *self._accept(token, finish)]

    def on_broken(
        self,
        attempt: str,
        kind: effects.BreakKind,
        now: float,
        connection: int | None = None,
    ) -> list[effects.Effect]:
        """Handle the end of an attempt's connection before the last frame.

        Args:
            attempt: The attempt.
            kind: How it ended.
            now: Time of the loop's clock, seconds.
            connection: Number of the connection, where known; an older one is ignored.

        Returns:
            The effects.
        """
        current = self._current_if(attempt)
        if current is None:
            return []
        if connection is not None and connection != current.connection:
            return []
        reason = attempts.REASON_BY_KIND[kind]
        if kind in attempts.RESUMABLE_KINDS and self._delivery.is_detached:
            # The caller may have gone on at another node, which then owns the stream.
            current.is_lost = True
            return []
        if kind in attempts.RESUMABLE_KINDS and current.may_resume:
            return self._resume_after(current, reason)
        if kind in attempts.NOT_RUN_KINDS and current.connection == 0 and not current.has_frames:
            self._retries.exclude_refused(current.server_id, now)
            return self._replace_current(reason, now)
        first_reason = current.break_reason or reason
        leave = self._leave_broken(current, first_reason, now)
        is_error = kind is effects.BreakKind.ERROR
        return (
            leave
            if is_error
            else [effects.SuspectServer(current.server_id, attempt, first_reason), *leave]
        )

    def on_resume_unknown(self, attempt: str, now: float) -> list[effects.Effect]:
        """Handle an engine's answer that it does not know the stream.

        Args:
            attempt: The attempt that was to be resumed.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        current = self._current_if(attempt)
        if current is None:
            return []
        reason = current.break_reason or outcomes.Reason.STREAM_GAP
        crashed = outcomes.Reason.BACKEND_CRASHED
        if not current.has_frames and reason is not crashed:
            return self._leave_broken(current, reason, now)
        suspect = effects.SuspectServer(current.server_id, attempt, crashed)
        return [suspect, *self._leave_broken(current, crashed, now)]

    def on_caller_gone(self, now: float) -> list[effects.Effect]:
        """Keep the stream's frames until the caller comes back or the grace time is over.

        Args:
            now: Time of the loop's clock, seconds.

        Returns:
            No effects.
        """
        self._delivery.detach(now)
        return []

    def on_caller_resumed(self, from_index: int, now: float) -> list[effects.Effect]:
        """Hand the caller the frames that it lacks, and go on.

        Args:
            from_index: First frame that the caller lacks.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        if self.done:
            return []
        if not 0 <= from_index <= self._delivery.count:
            detail = f"frame {from_index} is outside the stream's {self._delivery.count} frames"
            return self._fail(outcomes.Reason.STREAM_GAP, detail)
        result = [*self._delivery.attach(from_index), *self._finish_if_complete()]
        current = self._pair.current
        if current is not None and current.is_lost:
            result.append(current.resume(self._delivery.count))
        return result

    def on_preempted(self, now: float) -> list[effects.Effect]:
        """Free the engine at once and wait for a server again.

        Args:
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        if self.done or self._pair.current is None or self._delivery.finished:
            return []
        return [*self._cancel_all(), *self._ask(outcomes.Reason.PREEMPTED, now)]

    def on_moved(self, reason: outcomes.Reason, now: float) -> list[effects.Effect]:
        """Ask for another server while the attempt at the leaving one goes on.

        Args:
            reason: Why the request moves.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        if self.done or self._is_asking or self._delivery.finished:
            return []
        if self._pair.current is None or self._pair.standby is not None:
            return []
        self._retries.exclude_broken(self._pair.current.server_id, now)
        return self._ask(reason, now)

    def on_no_server(self, failed: outcomes.Failed, now: float) -> list[effects.Effect]:
        """Handle the dispatcher's answer that no server can take the request.

        Args:
            failed: What the dispatcher would answer.
            now: Time of the loop's clock, seconds.

        Returns:
            No effects while an attempt still runs, otherwise the end of the request.
        """
        was_asking = self._is_asking
        self._is_asking = False
        if self.done or not was_asking or self._pair.current is not None:
            return []
        return self._fail(failed.reason, failed.detail, failed.retry_after_seconds)

    def on_deadline(self, now: float) -> list[effects.Effect]:
        """End the request because its deadline passed.

        Args:
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        return [] if self.done else self._fail(outcomes.Reason.DEADLINE, "the deadline passed")

    def tick(self, now: float) -> list[effects.Effect]:
        """End the request if its deadline or the caller's grace time is over.

        Args:
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        if self.done:
            return []
        if now >= self.request.deadline:
            return self.on_deadline(now)
        if now >= self._delivery.abandoned_at:
            return self._fail(outcomes.Reason.CANCELLED, "the caller went away")
        return []

    def _current_if(self, attempt: str) -> attempts.Attempt | None:
        """Return the current attempt if it has this identifier and its stream is not over."""
        current = self._pair.current
        if self.done or current is None or self._delivery.finished:
            return None
        return current if current.attempt == attempt else None

    def _accept(self, token: str, finish: str | None) -> list[effects.Effect]:
        """Take in the next frame of the caller's stream."""
        return [*self._delivery.append(token, finish), *self._finish_if_complete()]

    def _finish_if_complete(self) -> list[effects.Effect]:
        """End the request once the caller was sent the last frame."""
        if not self._delivery.complete:
            return []
        self.done = True
        self._pair.current = None
        return [*self._pair.cancel_standby(), effects.Finish(outcomes.Answered())]

    def _on_gap(self, current: attempts.Attempt, now: float) -> list[effects.Effect]:
        """Fetch lost frames again, or leave an engine that does not give them."""
        reason = outcomes.Reason.STREAM_GAP
        self.frames_dropped.gap += 1
        if current.is_awaiting_gap():
            return []
        if current.may_resume:
            return self._resume_after(current, reason)
        return self._leave_broken(current, reason, now)

    def _resume_after(
        self, current: attempts.Attempt, reason: outcomes.Reason
    ) -> list[effects.Effect]:
        """Resume the current attempt on a fresh connection."""
        self._retries.note_sent()
        self._retries.retries_by_reason[reason] += 1
        return [current.resume(self._delivery.count, reason)]

    def _leave_broken(
        self, current: attempts.Attempt, reason: outcomes.Reason, now: float
    ) -> list[effects.Effect]:
        """Give up an attempt that may have run."""
        self._retries.note_sent()
        self._retries.broken_attempts += 1
        self._retries.exclude_broken(current.server_id, now)
        if self._retries.is_exhausted:
            return self._fail(reason, f"{self._retries.broken_attempts} attempts broke")
        return [current.cancel(), *self._replace_current(reason, now)]

    def _replace_current(self, reason: outcomes.Reason, now: float) -> list[effects.Effect]:
        """Go back to the attempt on standby, or ask for a server."""
        standby = self._pair.fall_back()
        if standby is None:
            return self._ask(reason, now)
        self._retries.retries_by_reason[reason] += 1
        return [standby.resume(self._delivery.count)]

    def _ask(self, reason: outcomes.Reason, now: float) -> list[effects.Effect]:
        """Ask for a server, unless that is under way."""
        if self._is_asking:
            return []
        self._is_asking = True
        self._retries.retries_by_reason[reason] += 1
        return [effects.Redispatch(self._retries.excluded(now), reason)]

    def _cancel_all(self) -> list[effects.Effect]:
        """Cancel every attempt that may still hold memory at an engine."""
        if self._pair.current is not None:
            self._retries.note_sent()
        return self._pair.cancel_all()

    def _fail(
        self, reason: outcomes.Reason, detail: str, retry_after_seconds: float | None = None
    ) -> list[effects.Effect]:
        """End the request without its whole answer."""
        self.done = True
        cancels = self._cancel_all()
        failed = outcomes.Failed(reason, detail, self._retries.ran, retry_after_seconds)
        return [*cancels, effects.Finish(failed)]
