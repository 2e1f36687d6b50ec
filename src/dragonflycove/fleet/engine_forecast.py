"""Predicts when an engine finishes the work of the requests that were placed there.

An engine works in passes. A pass with decoding sequences runs a fixed number of steps, each of
which also prefills a chunk of a pending prompt, and ends with one event for every sequence. A
prefill beside decoding sequences therefore delays their next events by the time of the complete
prefill, and a prompt that arrives meanwhile waits for the next pass. Parts of prompts that are split
over several engines are prefilled before all other prompts of their pass, the newest first; without
decoding sequences passes are short, and a new part goes first at once.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from dragonflycove.fleet import forwarding, work

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

LATE_LOSS_SHARE = 0.75
"""Share of a request's value lost when it misses its target; the specification grants the rest."""

MISS_MIDPOINT_SHARE = 0.85
"""Predicted time, as a share of the target, at which the probability of missing it is one half.

Below 1 since reports lag and the node doesn't know when an engine's passes start.
"""

MISS_CURVE_WIDTH_SHARE = 0.07
"""Scale of the logistic curve around the midpoint, as a share of the target."""

SHORT_GAP_TARGET_SECONDS = 0.4
"""Limit below which a gap target leaves no time for a long prefill on the same engine.

The prefill of a prompt of 45,000 tokens takes about this long.
"""

MAX_ENDED = 32
"""Removed requests that are kept; twice what an engine runs and helps with at once."""

_MAX_EXPONENT = 30.0
"""Exponents beyond this are treated as infinite, which avoids an overflow."""


def miss_probability(seconds: float, latency_target_seconds: float) -> float:
    """Return the probability that a request with a predicted time misses its target.

    Args:
        seconds: The predicted time.
        latency_target_seconds: The target; 0 for none.
    """
    if latency_target_seconds <= 0:
        return 0.0
    exponent = (MISS_MIDPOINT_SHARE - seconds / latency_target_seconds) / MISS_CURVE_WIDTH_SHARE
    if exponent > _MAX_EXPONENT:
        return 0.0
    if exponent < -_MAX_EXPONENT:
        return 1.0
    return 1.0 / (1.0 + math.exp(exponent))


def expected_loss_share(
    seconds: float, latency_target_seconds: float, next_event_deadline_seconds: float
) -> float:
    """Return the share of its value that a request is expected to lose.

    Args:
        seconds: The predicted time to its next event.
        latency_target_seconds: Time within which it earns its full value.
        next_event_deadline_seconds: Time after which its caller abandons it.
    """
    late_loss = LATE_LOSS_SHARE * miss_probability(seconds, latency_target_seconds)
    return late_loss + (1 - LATE_LOSS_SHARE) * miss_probability(
        seconds, next_event_deadline_seconds
    )


def has_short_gap_target(job: work.Job) -> bool:
    """Whether a request's target for gaps leaves no time for a long prefill on its engine.

    Args:
        job: The request.
    """
    return job.gap_target_seconds < SHORT_GAP_TARGET_SECONDS


def prefill_seconds(spec: catalog.EngineSpec, prompt_tokens: int, parts: int) -> float:
    """Return the prefill time of one of several equal parts of a prompt.

    Args:
        spec: The engine.
        prompt_tokens: Length of the complete prompt.
        parts: Number of engines that the prompt is split over.
    """
    pairs = prompt_tokens * prompt_tokens / 2
    total_seconds = (
        prompt_tokens / spec.prefill_tokens_per_second
        + pairs * spec.attention_seconds_per_token_pair
    )
    return total_seconds / parts


def step_seconds(spec: catalog.EngineSpec, sequences: int, context_tokens: int) -> float:
    """Return the time of a step without prefill.

    Args:
        spec: The engine.
        sequences: Decoding sequences.
        context_tokens: Total tokens of their contexts.
    """
    return (
        spec.step_seconds
        + max(1, sequences) * spec.step_seconds_per_sequence
        + context_tokens * spec.step_seconds_per_context_token
    )


def _added_loss(
    job: work.Job, due_seconds: float, added_seconds: float, target: float, caller_timeout: float
) -> float:
    """Return the additional value that a request is expected to lose by a further delay."""
    before = expected_loss_share(due_seconds, target, caller_timeout)
    return job.value * (
        expected_loss_share(due_seconds + added_seconds, target, caller_timeout) - before
    )


class PlacedJob:
    """A request on one of its engines, with its complete prompt or a part of a split one."""

    __slots__ = (
        "first_event_at",
        "has_missed_target",
        "is_lead",
        "is_split",
        "job",
        "remaining_seconds",
        "kv_cache_tokens",
        "placed_at",
        "prefill_seconds",
        "is_decoding",
        "is_in_pass",
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
        """Create a request whose prefill has not started.

        Args:
            job: The request.
            placed_at: Loop time at which it was placed.
            seconds: Declared prefill time.
            is_lead: Whether this engine decodes the output.
            is_split: Whether other engines prefill parts of the prompt as well.
            kv_cache_tokens: KV cache that it occupies on this engine.
        """
        self.job = job
        self.placed_at = placed_at
        self.is_lead = is_lead
        self.kv_cache_tokens = kv_cache_tokens
        self.is_split = is_split
        self.prefill_seconds = seconds
        """Declared time of the complete prefill."""
        self.remaining_seconds = seconds
        """Declared time of the rest of the prefill."""
        self.is_decoding = False
        """Whether the first event has arrived."""
        self.first_event_at = float("inf")
        """Loop time of the first event; infinite before."""
        self.is_in_pass = False
        """Whether the engine's current pass includes its prefill."""
        self.has_missed_target = job.has_missed_target
        """Whether the latency target has been missed, so that a further delay costs little."""


class EngineForecast:
    """The requests on one engine, and the predicted times of their events."""

    def __init__(self, spec: catalog.EngineSpec) -> None:
        """Create a forecast of an engine without requests.

        Args:
            spec: The engine's speed and size.
        """
        self.spec = spec
        self._slowdown = 1.0
        self._ended: collections.deque[tuple[float, PlacedJob]] = collections.deque(
            maxlen=MAX_ENDED
        )
        self.placed_by_key: dict[work.JobKey, PlacedJob] = {}
        self._pending_prefills: list[PlacedJob] = []
        self._advanced_at = 0.0

    @property
    def occupied_slots(self) -> int:
        """Slots in use; a request uses one on its lead only."""
        return sum(1 for placed in self.placed_by_key.values() if placed.is_lead)

    @property
    def short_gap_count(self) -> int:
        """Requests that occupy a slot and have a short target for gaps."""
        return sum(
            1
            for placed in self.placed_by_key.values()
            if placed.is_lead and has_short_gap_target(placed.job)
        )

    @property
    def helped_prompt_count(self) -> int:
        """Prompts of other engines that this one prefills or stores parts of."""
        return sum(1 for placed in self.placed_by_key.values() if not placed.is_lead)

    @property
    def kv_cache_tokens(self) -> int:
        """KV cache that the placed requests occupy."""
        return sum(placed.kv_cache_tokens for placed in self.placed_by_key.values())

    def backlog_seconds(self, now: float, *, is_split: bool = False) -> float:
        """Return the time until the prefill of a prompt placed now would start.

        Args:
            now: Loop time.
            is_split: Whether the prompt is split over several engines.
        """
        self._advance(now)
        if is_split:
            return self._current_pass_seconds() * self._slowdown
        return sum(placed.remaining_seconds for placed in self._pending_prefills) * self._slowdown

    def set_slowdown(self, slowdown: float, now: float) -> None:
        """Predict all times from now on as multiples of the declared ones.

        Args:
            slowdown: The multiple.
            now: Loop time.
        """
        if slowdown != self._slowdown:
            self._advance(now)
            self._slowdown = slowdown

    def _current_pass_seconds(self) -> float:
        """Return the declared time until the current pass ends; 0 if no sequence decodes.

        Sequences of other engines count as well: an engine that prefilled a part takes their steps.
        """
        if not any(placed.is_decoding for placed in self.placed_by_key.values()):
            return 0.0
        return sum(
            placed.remaining_seconds for placed in self._pending_prefills if placed.is_in_pass
        )

    def _advance(self, now: float) -> None:
        """Subtract the time since the last call from the pending prefills, in their order."""
        elapsed = max(0.0, now - self._advanced_at) / self._slowdown
        self._advanced_at = max(now, self._advanced_at)
        while self._pending_prefills:
            placed = self._pending_prefills[0]
            completed = min(elapsed, placed.remaining_seconds)
            placed.remaining_seconds -= completed
            elapsed -= completed
            if placed.remaining_seconds > 0:
                break
            self._pending_prefills.pop(0)
            self._begin_pass()

    def _begin_pass(self) -> None:
        """Let a new pass include all pending prefills, unless the current one has some left."""
        if not any(placed.is_in_pass for placed in self._pending_prefills):
            for placed in self._pending_prefills:
                placed.is_in_pass = True

    def declared_pass_seconds(self) -> float:
        """Return the declared time of a pass without prefill."""
        sequences = context = 0
        for placed in self.placed_by_key.values():
            if placed.is_lead:
                sequences += 1
                context += placed.job.kv_cache_tokens
        return step_seconds(self.spec, sequences, context) * self.spec.steps_per_pass

    def first_event_seconds(self, now: float, seconds: float, *, is_split: bool = False) -> float:
        """Return the predicted time to the first event of a prompt placed now.

        Args:
            now: Loop time.
            seconds: Declared prefill time of its part on this engine.
            is_split: Whether the prompt is split over several engines.
        """
        base = self.declared_pass_seconds() * self._slowdown
        # A new request joins at the end of the current pass, half a pass away on average.
        wait = base / 2 if self.placed_by_key else 0.0
        backlog = self.backlog_seconds(now, is_split=is_split)
        return backlog + seconds * self._slowdown + wait + base

    def loss_to_others(self, now: float, seconds: float, *, is_split: bool = False) -> float:
        """Return the value that the engine's requests are expected to lose if a prompt is added.

        Args:
            now: Loop time.
            seconds: Declared prefill time of its part on this engine.
            is_split: Whether the prompt is split over several engines.
        """
        if not self.placed_by_key:
            return 0.0
        seconds *= self._slowdown
        base = self.declared_pass_seconds() * self._slowdown
        # Streams of an engine in a long prefill are late already, so that a further one costs less
        # there than at another engine.
        pause = base + self.backlog_seconds(now)
        current_pass_seconds = self._current_pass_seconds()
        loss = 0.0
        pending_seconds = 0.0
        for placed in self._pending_prefills:
            pending_seconds += placed.remaining_seconds * self._slowdown
            # A complete prompt is queued last, a part of a split prompt first in the next pass.
            if is_split and not (current_pass_seconds and placed.is_in_pass):
                due_seconds = now - placed.placed_at + pending_seconds + base
                target = (
                    work.MIN_LATENCY_TARGET_SECONDS
                    if placed.has_missed_target
                    else placed.job.latency_target_seconds
                )
                loss += _added_loss(
                    placed.job,
                    due_seconds,
                    seconds,
                    target,
                    placed.job.next_event_deadline_seconds,
                )
        for placed in self.placed_by_key.values():
            if placed.is_lead and placed.remaining_seconds <= 0:
                target = (
                    work.MIN_LATENCY_TARGET_SECONDS
                    if placed.has_missed_target
                    else placed.job.gap_target_seconds
                )
                caller_timeout = forwarding.caller_timeout_seconds(
                    0.0, placed.job.gap_target_seconds
                )
                loss += _added_loss(placed.job, pause, seconds, target, caller_timeout)
        return loss

    def add(self, placed: PlacedJob) -> None:
        """Add a request; a part of a split prompt is prefilled first, a complete prompt last.

        Args:
            placed: The request or its part.
        """
        self._advance(placed.placed_at)
        self.placed_by_key[placed.job.key] = placed
        index = len(self._pending_prefills)
        if placed.is_split:
            index = 0
            if self._current_pass_seconds():
                index = sum(1 for pending in self._pending_prefills if pending.is_in_pass)
        self._pending_prefills.insert(index, placed)
        self._begin_pass()

    def on_first_event(self, key: work.JobKey, now: float) -> None:
        """Mark a request's prefill as complete at its first event.

        Args:
            key: The request; ignored if it isn't on this engine.
            now: Loop time.
        """
        placed = self.placed_by_key.get(key)
        if placed is None or placed.is_decoding:
            return
        self._advance(now)
        placed.is_decoding = True
        placed.first_event_at = now
        placed.has_missed_target = (
            placed.has_missed_target or now - placed.placed_at > placed.job.latency_target_seconds
        )
        self._remove_pending(placed)

    def remove(self, key: work.JobKey, now: float) -> None:
        """Remove a request.

        Args:
            key: The request; ignored if it isn't on this engine.
            now: Loop time.
        """
        placed = self.placed_by_key.pop(key, None)
        if placed is not None:
            self._advance(now)
            self._remove_pending(placed)
            self._ended.append((now, placed))

    def ended_since(self, since: float) -> list[PlacedJob]:
        """Return the newest requests that were removed, or whose prefill may have run, after a time.

        A pass goes on when a caller leaves, with the prefills that it includes.

        Args:
            since: The loop time.
        """
        return [
            placed
            for ended_at, placed in self._ended
            if ended_at + (0.0 if placed.is_decoding else placed.prefill_seconds) > since
        ]

    def _remove_pending(self, placed: PlacedJob) -> None:
        placed.remaining_seconds = 0.0
        if placed in self._pending_prefills:
            self._pending_prefills.remove(placed)
            self._begin_pass()
