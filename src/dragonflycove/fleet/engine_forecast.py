"""Predicts what an engine does with the requests that were placed there.

An engine works in passes. A pass that has writers runs a fixed number of steps, each of which also
reads a chunk of a waiting prompt, and ends with one event for every writer. A prompt read beside
writers therefore shows as a pause in their streams, as long as the whole read. Parts of prompts that
several engines read go before everything else that is unread, the newest first.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dragonflycove.fleet import forwarding, work

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

LATE_LOSS_SHARE = 0.75
"""Share of a request's worth that is lost when it is late; the users pay a quarter for late ones."""

LATE_MIDPOINT = 0.85
"""Predicted time, as a share of the goal, at which a request is as likely late as not.

Under 1 since reports lag and passes begin at moments that the node does not see.
"""

LATE_WIDTH = 0.07
"""How fast the chance of being late rises around the midpoint, as a share of the goal."""

TIGHT_GAP_SECONDS = 0.4
"""Longest pause of a request that can't bear a long read beside it; a prompt of 45,000 tokens."""

_STEEPEST = 30.0
"""Largest exponent that is computed."""


def late_chance(seconds: float, latency_target_seconds: float) -> float:
    """Return the chance that a predicted time misses its goal.

    Args:
        seconds: The predicted time.
        goal_seconds: The goal; 0 for none.
    """
    if latency_target_seconds <= 0:
        return 0.0
    exponent = (LATE_MIDPOINT - seconds / latency_target_seconds) / LATE_WIDTH
    if exponent > _STEEPEST:
        return 0.0
    if exponent < -_STEEPEST:
        return 1.0
    return 1.0 / (1.0 + math.exp(exponent))


def lost_share(
    seconds: float, latency_target_seconds: float, next_event_deadline_seconds: float
) -> float:
    """Return the share of a request's worth that it is predicted to lose.

    Args:
        seconds: The predicted time to its next event.
        goal_seconds: Time within which it earns its full worth.
        patience_seconds: Time after which its caller gives up.
    """
    late = LATE_LOSS_SHARE * late_chance(seconds, latency_target_seconds)
    return late + (1 - LATE_LOSS_SHARE) * late_chance(seconds, next_event_deadline_seconds)


def is_tight(job: work.Job) -> bool:
    """Whether a request allows no pause in which a long prompt could be read.

    Args:
        job: The request.
    """
    return job.gap_target_seconds < TIGHT_GAP_SECONDS


def prefill_seconds(spec: catalog.EngineSpec, prompt_tokens: int, parts: int) -> float:
    """Return the time in which one of several equal parts of a prompt is read.

    Args:
        spec: The engine.
        prompt_tokens: Length of the whole prompt.
        parts: Engines that read it.
    """
    pairs = prompt_tokens * prompt_tokens / 2
    whole = (
        prompt_tokens / spec.prefill_tokens_per_second
        + pairs * spec.attention_seconds_per_token_pair
    )
    return whole / parts


def step_seconds(spec: catalog.EngineSpec, writers: int, context_tokens: int) -> float:
    """Return the time of a step in which nothing is read.

    Args:
        spec: The engine.
        writers: Requests that write.
        context_tokens: Tokens of their contexts.
    """
    return (
        spec.step_seconds
        + max(1, writers) * spec.step_seconds_per_sequence
        + context_tokens * spec.step_seconds_per_context_token
    )


def _risk(
    job: work.Job, due_seconds: float, added_seconds: float, goal: float, patience: float
) -> float:
    """Return the worth that a request is predicted to lose by a delay."""
    before = lost_share(due_seconds, goal, patience)
    return job.value * (lost_share(due_seconds + added_seconds, goal, patience) - before)


class PlacedRead:
    """One part of a prompt on one engine."""

    __slots__ = (
        "is_late",
        "is_lead",
        "is_split",
        "job",
        "left_seconds",
        "kv_cache_tokens",
        "placed_at",
        "is_decoding",
    )

    def __init__(
        self,
        job: work.Job,
        placed_at: float,
        seconds: float,
        *,
        is_lead: bool,
        is_split: bool,
        kv_cache_tokens: int,
    ) -> None:
        """Note a part.

        Args:
            job: The request.
            placed_at: Loop time at which it was placed.
            seconds: Time that reading takes.
            is_lead: Whether this engine writes the answer.
            is_split: Whether other engines read parts of the prompt as well.
            memory_tokens: Memory that the part takes here.
        """
        self.job = job
        self.placed_at = placed_at
        self.is_lead = is_lead
        self.kv_cache_tokens = kv_cache_tokens
        self.is_split = is_split
        self.left_seconds = seconds
        """Time that reading the rest takes, as predicted."""
        self.is_decoding = False
        """Whether the first event has come."""
        self.is_late = job.is_late
        """Whether the goal has been missed, so that a further pause costs little."""


class EngineForecast:
    """The requests on one engine, and the times that follow."""

    def __init__(self, spec: catalog.EngineSpec) -> None:
        """Create an engine without requests.

        Args:
            spec: Its speed and size.
        """
        self.spec = spec
        self.reads_by_job: dict[work.JobKey, PlacedRead] = {}
        self._unread: list[PlacedRead] = []
        self._advanced_at = 0.0

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return sum(1 for read in self.reads_by_job.values() if read.is_lead)

    @property
    def tight(self) -> int:
        """Requests that hold a slot and allow only short pauses."""
        return sum(1 for read in self.reads_by_job.values() if read.is_lead and is_tight(read.job))

    @property
    def helping(self) -> int:
        """Prompts of other engines that this one helps to read or holds."""
        return sum(1 for read in self.reads_by_job.values() if not read.is_lead)

    @property
    def kv_cache_tokens(self) -> int:
        """Memory that the placed requests take."""
        return sum(read.kv_cache_tokens for read in self.reads_by_job.values())

    def backlog_seconds(self, now: float, *, is_split: bool = False) -> float:
        """Return the time until a prompt placed now would begin to be read.

        Args:
            now: Loop time.
            is_split: Whether other engines read parts of it as well.
        """
        if is_split:
            return 0.0
        self._advance(now)
        return sum(read.left_seconds for read in self._unread)

    def _advance(self, now: float) -> None:
        """Count as read what the engine has read since the last look."""
        worked = max(0.0, now - self._advanced_at)
        self._advanced_at = max(now, self._advanced_at)
        for read in self._unread:
            step = min(worked, read.left_seconds)
            read.left_seconds -= step
            worked -= step
            if worked <= 0:
                break
        while self._unread and self._unread[0].left_seconds <= 0:
            self._unread.pop(0)

    def pass_seconds(self) -> float:
        """Return the time of a pass in which nothing is read."""
        writers = context = 0
        for read in self.reads_by_job.values():
            if read.is_lead:
                writers += 1
                context += read.job.kv_cache_tokens
        return step_seconds(self.spec, writers, context) * self.spec.steps_per_pass

    def first_event_seconds(self, now: float, seconds: float, *, is_split: bool = False) -> float:
        """Predict the first event of a prompt that would be placed now.

        Args:
            now: Loop time.
            seconds: Time that its part takes here.
            is_split: Whether other engines read parts of it as well.
        """
        base = self.pass_seconds()
        # A newcomer joins at the end of the pass in progress, half a pass away on average.
        wait = base / 2 if self.reads_by_job else 0.0
        return self.backlog_seconds(now, is_split=is_split) + seconds + wait + base

    def harm(self, now: float, seconds: float, *, is_split: bool = False) -> float:
        """Return the worth that others lose if a prompt is read here as well.

        Args:
            now: Loop time.
            seconds: Time that its part takes here.
            is_split: Whether other engines read parts of it as well.
        """
        if not self.reads_by_job:
            return 0.0
        base = self.pass_seconds()
        pause = base + self.backlog_seconds(now)
        loss = 0.0
        unread_until = 0.0
        for read in self._unread:
            unread_until += read.left_seconds
            # A whole prompt goes behind all others, a part before them.
            if is_split:
                due = now - read.placed_at + unread_until + base
                goal = (
                    work.MIN_LATENCY_TARGET_SECONDS
                    if read.is_late
                    else read.job.latency_target_seconds
                )
                loss += _risk(read.job, due, seconds, goal, read.job.next_event_deadline_seconds)
        for read in self.reads_by_job.values():
            if read.is_lead and read.left_seconds <= 0:
                goal = (
                    work.MIN_LATENCY_TARGET_SECONDS if read.is_late else read.job.gap_target_seconds
                )
                patience = forwarding.caller_timeout_seconds(0.0, read.job.gap_target_seconds)
                loss += _risk(read.job, pause, seconds, goal, patience)
        return loss

    def add(self, read: PlacedRead) -> None:
        """Place a part here.

        Args:
            read: The part.
        """
        self._advance(read.placed_at)
        self.reads_by_job[read.job.key] = read
        self._unread.insert(0 if read.is_split else len(self._unread), read)

    def on_first_event(self, key: work.JobKey, now: float) -> None:
        """Note that a request's prompt has been read.

        Args:
            key: The request.
            now: Loop time.
        """
        read = self.reads_by_job.get(key)
        if read is None or read.is_decoding:
            return
        self._advance(now)
        read.is_decoding = True
        read.is_late = read.is_late or now - read.placed_at > read.job.latency_target_seconds
        self._drop(read)

    def remove(self, key: work.JobKey, now: float) -> None:
        """Take a request away.

        Args:
            key: The request.
            now: Loop time.
        """
        read = self.reads_by_job.pop(key, None)
        if read is not None:
            self._advance(now)
            self._drop(read)

    def _drop(self, read: PlacedRead) -> None:
        read.left_seconds = 0.0
        if read in self._unread:
            self._unread.remove(read)
