"""Predicts what an engine does with the requests that were placed there.

An engine works in passes. A pass that has writers runs a fixed number of steps, each of which also
reads a chunk of a waiting prompt, and ends with one event for every writer. A prompt read beside
writers therefore shows as a pause in their streams, as long as the whole read.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dragonflycove.fleet import forwarding, work

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

LATE_SHARE = 0.75
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


def late_chance(seconds: float, goal_seconds: float) -> float:
    """Return the chance that a predicted time misses its goal.

    Args:
        seconds: The predicted time.
        goal_seconds: The goal; 0 for none.
    """
    if goal_seconds <= 0:
        return 0.0
    exponent = (LATE_MIDPOINT - seconds / goal_seconds) / LATE_WIDTH
    if exponent > _STEEPEST:
        return 0.0
    if exponent < -_STEEPEST:
        return 1.0
    return 1.0 / (1.0 + math.exp(exponent))


def lost_share(seconds: float, goal_seconds: float, patience_seconds: float) -> float:
    """Return the share of a request's worth that it is predicted to lose.

    Args:
        seconds: The predicted time to its next event.
        goal_seconds: Time within which it earns its full worth.
        patience_seconds: Time after which its caller gives up.
    """
    late = LATE_SHARE * late_chance(seconds, goal_seconds)
    return late + (1 - LATE_SHARE) * late_chance(seconds, patience_seconds)


def is_tight(job: work.Job) -> bool:
    """Whether a request allows no pause in which a long prompt could be read.

    Args:
        job: The request.
    """
    return job.gap_goal_seconds < TIGHT_GAP_SECONDS


def read_seconds(spec: catalog.EngineSpec, prompt_tokens: int, parts: int) -> float:
    """Return the time in which one of several equal parts of a prompt is read.

    Args:
        spec: The engine.
        prompt_tokens: Length of the whole prompt.
        parts: Engines that read it.
    """
    pairs = prompt_tokens * prompt_tokens / 2
    whole = prompt_tokens / spec.read_tokens_per_second + pairs * spec.seconds_per_pair
    return whole / parts


def _pause_patience(job: work.Job) -> float:
    """Return the pause of a running stream at which its caller gives up."""
    return max(
        forwarding.CALLER_PATIENCE_SECONDS, forwarding.CALLER_PATIENCE_GAPS * job.gap_goal_seconds
    )


class PlacedRead:
    """One part of a prompt on one engine."""

    __slots__ = (
        "ends_at",
        "is_late",
        "is_lead",
        "job",
        "memory_tokens",
        "placed_at",
        "seconds",
        "writes",
    )

    def __init__(
        self,
        job: work.Job,
        placed_at: float,
        seconds: float,
        *,
        is_lead: bool,
        memory_tokens: int,
    ) -> None:
        """Note a part.

        Args:
            job: The request.
            placed_at: Loop time at which it was placed.
            seconds: Time that reading takes.
            is_lead: Whether this engine writes the answer.
            memory_tokens: Memory that the part takes here.
        """
        self.job = job
        self.placed_at = placed_at
        self.seconds = seconds
        self.is_lead = is_lead
        self.memory_tokens = memory_tokens
        self.ends_at = placed_at + seconds
        """Loop time at which the part is predicted to be read."""
        self.writes = False
        """Whether the first event has come."""
        self.is_late = job.is_late
        """Whether the goal has been missed, so that a further pause costs little."""

    def is_reading(self, now: float) -> bool:
        """Whether the part is predicted to be still unread."""
        return not self.writes and self.ends_at > now


class EngineForecast:
    """The requests on one engine, and the times that follow."""

    def __init__(self, spec: catalog.EngineSpec) -> None:
        """Create an engine without requests.

        Args:
            spec: Its speed and size.
        """
        self.spec = spec
        self.pace = 1.0
        """How many times slower than stated the engine works."""
        self.reads_by_job: dict[work.JobKey, PlacedRead] = {}
        self._read_until = 0.0

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
    def memory_tokens(self) -> int:
        """Memory that the placed requests take."""
        return sum(read.memory_tokens for read in self.reads_by_job.values())

    def backlog_seconds(self, now: float) -> float:
        """Return the time until all prompts placed here are read.

        Args:
            now: Loop time.
        """
        return max(0.0, self._read_until - now)

    def pass_seconds(self) -> float:
        """Return the time of a pass in which nothing is read."""
        writers = context = 0
        for read in self.reads_by_job.values():
            if read.is_lead:
                writers += 1
                context += read.job.memory_tokens
        spec = self.spec
        step = (
            spec.step_seconds
            + max(1, writers) * spec.step_seconds_per_writer
            + context * spec.step_seconds_per_context_token
        )
        return step * spec.steps_per_pass * self.pace

    def first_event_seconds(self, now: float, seconds: float) -> float:
        """Predict the first event of a prompt that would be placed now.

        Args:
            now: Loop time.
            seconds: Time that its part takes here.
        """
        base = self.pass_seconds()
        # A newcomer joins at the end of the pass in progress, half a pass away on average.
        wait = base / 2 if self.reads_by_job else 0.0
        return self.backlog_seconds(now) + seconds * self.pace + wait + base

    def harm(self, now: float, seconds: float) -> float:
        """Return the worth that others lose if a prompt is read here as well.

        Args:
            now: Loop time.
            seconds: Time that its part takes here.
        """
        if not self.reads_by_job:
            return 0.0
        added = seconds * self.pace
        before = self.pass_seconds() + self.backlog_seconds(now)
        loss = 0.0
        for read in self.reads_by_job.values():
            job = read.job
            is_reading = read.is_reading(now)
            if not read.is_lead and not is_reading:
                continue
            if is_reading:
                due = now - read.placed_at + before
                goal, patience = job.goal_seconds, job.patience_seconds
            else:
                due = before
                goal, patience = job.gap_goal_seconds, _pause_patience(job)
            if read.is_late:
                goal = work.LEAST_GOAL_SECONDS
            risk = lost_share(due + added, goal, patience) - lost_share(due, goal, patience)
            loss += job.value * risk
        return loss

    def add(self, read: PlacedRead) -> None:
        """Place a part here.

        Args:
            read: The part.
        """
        now = read.placed_at
        self._read_until = max(now, self._read_until) + read.seconds * self.pace
        read.ends_at = self._read_until
        self.reads_by_job[read.job.key] = read

    def on_first_event(self, key: work.JobKey, now: float) -> None:
        """Note that a request's prompt has been read.

        Args:
            key: The request.
            now: Loop time.
        """
        read = self.reads_by_job.get(key)
        if read is None or read.writes:
            return
        read.writes = True
        read.is_late = read.is_late or now - read.placed_at > read.job.goal_seconds
        read.ends_at = min(read.ends_at, now)
        self._settle(now)

    def remove(self, key: work.JobKey, now: float) -> None:
        """Take a request away.

        Args:
            key: The request.
            now: Loop time.
        """
        if self.reads_by_job.pop(key, None) is not None:
            self._settle(now)

    def _settle(self, now: float) -> None:
        """Shorten the backlog to what is still predicted to be unread."""
        unread = sum(read.seconds for read in self.reads_by_job.values() if read.is_reading(now))
        self._read_until = min(self._read_until, now + unread * self.pace)
