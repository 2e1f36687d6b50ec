"""State machine of one admitted model request, from its first attempt to its outcome."""

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

    It does no I/O: each event method returns the effects that the node carries out. A request
    starts in the state in which it awaits its first dispatch. A frame is one event of a stream
    with the text of a generated token; frames of the caller's stream are numbered from 0 over all
    attempts.

    Args:
        request: The request.
        rng: Random generator for attempt identifiers.
        received_frames: Texts of the frames that another node received for the request, if it
            sent them; otherwise empty.
        caller_from_index: Index of the first frame that the caller lacks if it resumes here,
            otherwise 0.
        caller_grace_seconds: Time to wait for a disconnected caller, seconds.
    """

    def __init__(
        self,
        request: requests.ModelRequest,
        rng: random.Random,
        received_frames: Sequence[str] = (),
        caller_from_index: int = 0,
        caller_grace_seconds: float = delivery.CALLER_GRACE_SECONDS,
    ) -> None:
        self.request = request
        """The caller's request, which this state machine follows to its final outcome."""
        self.done = False
        """Whether the request has ended; later events have no effect."""
        self.frames_dropped = attempts.DroppedFrameCounts()
        """Numbers of frames from engines that were dropped."""
        self._rng = rng
        self._delivery = delivery.Delivery(received_frames, caller_from_index, caller_grace_seconds)
        self._pair = attempts.AttemptPair()
        self._is_awaiting_dispatch = True
        ran = (
            outcomes.Execution.RAN
            if received_frames or caller_from_index
            else outcomes.Execution.NOT_RUN
        )
        self._retries = retry_state.RetryState(ran)

    @property
    def retries_by_reason(self) -> collections.Counter[outcomes.Reason]:
        """Number of retries and resumes of this request by reason."""
        return self._retries.retries_by_reason

    @property
    def resume_point(self) -> attempts.ResumePoint | None:
        """Where the caller can resume the stream; `None` while no attempt runs."""
        current = self._pair.current
        return None if current is None else current.resume_point

    @property
    def received_frames(self) -> tuple[str, ...]:
        """Texts of the frames received so far, from frame 0 on."""
        return self._delivery.tokens

    def on_dispatched(
        self, server_id: str, priority: int, now: float, group: tuple[str, ...] = ()
    ) -> list[effects.Effect]:
        """Start an attempt at the server that the dispatcher chose.

        An attempt that still runs at a leaving server stays on standby until the first frame of
        the new one.

        Args:
            server_id: Identifier of the server.
            priority: Priority at the engine; lower values are scheduled first.
            now: Loop time, seconds.
            group: Engines of the memory group; empty for a single engine.

        Returns:
            The effects; without a `StartAttempt` among them the server is not used.
        """
        if self.done or not self._is_awaiting_dispatch or self._delivery.has_last_frame:
            return []
        self._is_awaiting_dispatch = False
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
        """Resume a stream that another node started, instead of awaiting a dispatch.

        Args:
            point: Engine and attempt of the stream, according to the caller or to that node.
            now: Loop time, seconds.

        Returns:
            A `ResumeAttempt`, or a `Redispatch` if frames before the attempt's first are missing.
        """
        if self.done or self._pair.current is not None:
            return []
        self._is_awaiting_dispatch = False
        if point.base_index > self._delivery.count:
            return self._redispatch(outcomes.Reason.STREAM_GAP, now)
        attempt = attempts.Attempt(point.attempt, point.server_id, point.base_index)
        attempt.note_progress()
        self._pair.start(attempt)
        return [attempt.resume(self._delivery.count)]

    def on_frame(
        self, attempt: str, index: int, token: str, finish: str | None, now: float
    ) -> list[effects.Effect]:
        """Handle one frame of an engine's stream.

        Args:
            attempt: Identifier of the attempt that the frame belongs to.
            index: Index of the frame, counted from the attempt's own frame 0.
            token: Text of the frame.
            finish: Finish reason in the last frame of the stream, otherwise `None`.
            now: Loop time, seconds.

        Returns:
            The effects; empty for a dropped frame.
        """
        current = self._get_if_current(attempt)
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
        self._retries.ran = outcomes.Execution.RAN
        return [*self._pair.cancel_standby(), *self._accept(token, finish)]

    def on_attempt_failed(
        self,
        attempt: str,
        kind: effects.AttemptFailureKind,
        now: float,
        connection: int | None = None,
    ) -> list[effects.Effect]:
        """Handle the failure of an attempt's connection before the last frame.

        Args:
            attempt: Identifier of the attempt.
            kind: How the connection failed.
            now: Loop time, seconds.
            connection: Number of the connection; the failure of an older one is ignored. `None` if
                not known.

        Returns:
            The effects.
        """
        current = self._get_if_current(attempt)
        if current is None:
            return []
        if connection is not None and connection != current.connection:
            return []
        reason = attempts.REASON_BY_KIND[kind]
        if kind in attempts.RESUMABLE_KINDS and self._delivery.is_detached:
            # The caller may have resumed at another node, which then owns the stream.
            current.is_disconnected = True
            return []
        if kind in attempts.RESUMABLE_KINDS and current.can_resume:
            return self._resume_after(current, reason)
        if kind in attempts.NOT_RUN_KINDS and current.connection == 0 and not current.has_frames:
            self._retries.exclude_refused(current.server_id, now)
            return self._fall_back_or_redispatch(reason, now)
        first_reason = current.failure_reason or reason
        replaced = self._replace_failed(current, first_reason, now)
        is_error = kind is effects.AttemptFailureKind.ERROR
        return (
            replaced
            if is_error
            else [effects.SuspectServer(current.server_id, attempt, first_reason), *replaced]
        )

    def on_resume_unknown(self, attempt: str, now: float) -> list[effects.Effect]:
        """Handle an engine's response that it does not know the stream.

        The engine lost the stream, and is reported as suspect, if it had sent frames or the
        previous connection ended by a crash.

        Args:
            attempt: Identifier of the attempt that was to be resumed.
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        current = self._get_if_current(attempt)
        if current is None:
            return []
        reason = current.failure_reason or outcomes.Reason.STREAM_GAP
        crashed = outcomes.Reason.BACKEND_CRASHED
        if not current.has_frames and reason is not crashed:
            return self._replace_failed(current, reason, now)
        suspect = effects.SuspectServer(current.server_id, attempt, crashed)
        return [suspect, *self._replace_failed(current, crashed, now)]

    def on_caller_disconnected(self, now: float) -> list[effects.Effect]:
        """Buffer the stream's frames until the caller reconnects or its grace time ends.

        Args:
            now: Loop time, seconds.

        Returns:
            No effects.
        """
        self._delivery.detach(now)
        return []

    def on_caller_resumed(self, from_index: int, now: float) -> list[effects.Effect]:
        """Send the frames that a reconnected caller lacks, and continue the stream.

        Args:
            from_index: Index of the first frame that the caller lacks.
            now: Loop time, seconds.

        Returns:
            The effects; the request fails if `from_index` lies beyond the frames received.
        """
        if self.done:
            return []
        if not 0 <= from_index <= self._delivery.count:
            detail = f"frame {from_index} is outside the stream's {self._delivery.count} frames"
            return self._fail(outcomes.Reason.STREAM_GAP, detail)
        result = [*self._delivery.attach(from_index), *self._finish_if_complete()]
        current = self._pair.current
        if current is not None and current.is_disconnected:
            result.append(current.resume(self._delivery.count))
        return result

    def on_preempted(self, now: float) -> list[effects.Effect]:
        """Cancel the attempts at once, and ask the dispatcher for a server again.

        Args:
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        if self.done or self._pair.current is None or self._delivery.has_last_frame:
            return []
        return [*self._cancel_all(), *self._redispatch(outcomes.Reason.PREEMPTED, now)]

    def on_moved(self, reason: outcomes.Reason, now: float) -> list[effects.Effect]:
        """Ask for another server while the attempt at the leaving server continues.

        Args:
            reason: Why the request needs another server.
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        if self.done or self._is_awaiting_dispatch or self._delivery.has_last_frame:
            return []
        if self._pair.current is None or self._pair.standby is not None:
            return []
        self._retries.exclude_failed(self._pair.current.server_id, now)
        return self._redispatch(reason, now)

    def on_no_server(self, failed: outcomes.Failed, now: float) -> list[effects.Effect]:
        """Handle the dispatcher's reply that no server can take the request.

        Args:
            failed: Outcome to report if no attempt runs.
            now: Loop time, seconds.

        Returns:
            No effects while an attempt still runs, otherwise the end of the request.
        """
        was_awaiting_dispatch = self._is_awaiting_dispatch
        self._is_awaiting_dispatch = False
        if self.done or not was_awaiting_dispatch or self._pair.current is not None:
            return []
        return self._fail(failed.reason, failed.detail, failed.retry_after_seconds)

    def on_deadline(self, now: float) -> list[effects.Effect]:
        """End the request because its deadline passed.

        Args:
            now: Loop time, seconds.

        Returns:
            The effects; empty if the request has ended before.
        """
        return [] if self.done else self._fail(outcomes.Reason.DEADLINE, "the deadline passed")

    def tick(self, now: float) -> list[effects.Effect]:
        """End the request if its deadline or the caller's grace time has passed.

        Args:
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        if self.done:
            return []
        if now >= self.request.deadline:
            return self.on_deadline(now)
        if now >= self._delivery.give_up_at:
            return self._fail(outcomes.Reason.CANCELLED, "the caller disconnected")
        return []

    def _get_if_current(self, attempt: str) -> attempts.Attempt | None:
        """Return the current attempt if it has this identifier and has not sent its last frame."""
        current = self._pair.current
        if self.done or current is None or self._delivery.has_last_frame:
            return None
        return current if current.attempt == attempt else None

    def _accept(self, token: str, finish: str | None) -> list[effects.Effect]:
        """Append the next frame of the caller's stream."""
        return [*self._delivery.append(token, finish), *self._finish_if_complete()]

    def _finish_if_complete(self) -> list[effects.Effect]:
        """End the request once the last frame was sent to the caller."""
        if not self._delivery.is_fully_emitted:
            return []
        self.done = True
        self._pair.current = None
        return [*self._pair.cancel_standby(), effects.Finish(outcomes.Answered())]

    def _on_gap(self, current: attempts.Attempt, now: float) -> list[effects.Effect]:
        """Resume to fetch missing frames, or replace an attempt whose engine does not send them."""
        reason = outcomes.Reason.STREAM_GAP
        self.frames_dropped.gap += 1
        if current.count_gap_frame():
            return []
        if current.can_resume:
            return self._resume_after(current, reason)
        return self._replace_failed(current, reason, now)

    def _resume_after(
        self, current: attempts.Attempt, reason: outcomes.Reason
    ) -> list[effects.Effect]:
        """Resume the current attempt on a new connection after a failure."""
        self._retries.note_may_have_run()
        self._retries.retries_by_reason[reason] += 1
        return [current.resume(self._delivery.count, reason)]

    def _replace_failed(
        self, current: attempts.Attempt, reason: outcomes.Reason, now: float
    ) -> list[effects.Effect]:
        """End an attempt that may have run, and replace it unless too many attempts failed."""
        self._retries.note_may_have_run()
        self._retries.failed_attempts += 1
        self._retries.exclude_failed(current.server_id, now)
        if self._retries.is_exhausted:
            return self._fail(reason, f"{self._retries.failed_attempts} attempts failed")
        return [current.cancel(), *self._fall_back_or_redispatch(reason, now)]

    def _fall_back_or_redispatch(self, reason: outcomes.Reason, now: float) -> list[effects.Effect]:
        """Resume the attempt on standby, or ask the dispatcher for a server if there is none."""
        standby = self._pair.fall_back()
        if standby is None:
            return self._redispatch(reason, now)
        self._retries.retries_by_reason[reason] += 1
        return [standby.resume(self._delivery.count)]

    def _redispatch(self, reason: outcomes.Reason, now: float) -> list[effects.Effect]:
        """Ask the dispatcher for a server, unless a dispatch is already awaited."""
        if self._is_awaiting_dispatch:
            return []
        self._is_awaiting_dispatch = True
        self._retries.retries_by_reason[reason] += 1
        return [effects.Redispatch(self._retries.excluded(now), reason)]

    def _cancel_all(self) -> list[effects.Effect]:
        """End every attempt that may still hold KV cache memory at an engine."""
        if self._pair.current is not None:
            self._retries.note_may_have_run()
        return self._pair.cancel_all()

    def _fail(
        self, reason: outcomes.Reason, detail: str, retry_after_seconds: float | None = None
    ) -> list[effects.Effect]:
        """End the request without its complete response, and end its attempts."""
        self.done = True
        cancels = self._cancel_all()
        failed = outcomes.Failed(reason, detail, self._retries.ran, retry_after_seconds)
        return [*cancels, effects.Finish(failed)]
