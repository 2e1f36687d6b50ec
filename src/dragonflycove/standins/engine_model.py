"""The stand-in model engine without HTTP: batch steps, memory, cache, cold start, crashes."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from dragonflycove.standins import (
    engine_cache,
    engine_cold_start,
    engine_memory,
    engine_reports,
    engine_streams,
    engine_table,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.standins import clock, engine_parameters

RETRY_AFTER_SECONDS = 1.0
"""Retry-after when the engine is full or has not loaded the model."""


class Engine:
    """A simulated model engine; `run` executes batch steps while there are unfinished streams."""

    def __init__(self, parameters: engine_parameters.EngineParameters, now: clock.Clock) -> None:
        """Create an engine without streams.

        Args:
            parameters: The engine's parameters.
            now: Returns the time, seconds.
        """
        self.parameters = parameters
        """The engine's parameters."""
        self.now = now
        """Returns the time, seconds."""
        self.models: set[str] = set(parameters.models)
        """Names of the loaded models."""
        self.activity = engine_reports.Activity()
        """Attempts, crashes and rejections so far, for tests."""
        self.memory = engine_memory.KvMemory(parameters.memory_tokens)
        """Accounting of its KV cache memory."""
        self._rng = random.Random(parameters.seed)
        self.cache = engine_cache.PrefixCache(parameters, self._rng, now)
        """Prefix cache."""
        self.cold_start = engine_cold_start.ColdStart(parameters)
        """Cold or warm state."""
        self.table = engine_table.StreamTable()
        """Streams that are waiting, running, or finished and kept for resume."""
        self.on_crash: Callable[[], None] = lambda: None
        """Called at each crash."""
        self._sequence = 0
        self._start_id = self._new_id("start")
        self._finished_since_start = 0
        self._down_until = float("-inf")
        self._wake = asyncio.Event()
        self._history = engine_reports.LoadHistory(parameters.load_lag_seconds, self._load())

    @property
    def down_seconds(self) -> float:
        """Seconds until the engine accepts connections again after a crash; 0 if it does now."""
        return max(0.0, self._down_until - self.now())

    @property
    def is_down(self) -> bool:
        """Whether the engine has crashed and not restarted yet."""
        return self.down_seconds > 0

    @property
    def start_id(self) -> str:
        """Identifier of this start; each crash gives a new one."""
        return self._start_id

    async def run(self) -> None:
        """Execute batch steps until cancelled; wait while there is no unfinished stream."""
        while True:
            while not self.table.any_unfinished():
                self._wake.clear()
                await self._wake.wait()
            await asyncio.sleep(self.parameters.step_seconds)
            self.step()

    def submit(
        self, submission: engine_streams.Submission
    ) -> engine_streams.Stream | engine_streams.Rejection:
        """Accept or reject a prompt.

        Args:
            submission: The prompt and its limits.

        Returns:
            The stream, already lost if it overloaded and crashed a cold engine, or the rejection.
        """
        self.expire()
        rejection = self._reject(submission)
        if rejection is not None:
            self.activity.record_rejection(rejection.status)
            return rejection
        stream = engine_streams.Stream(submission, self._sequence)
        self._add(stream)
        return stream

    def import_stream(
        self, item: engine_memory.Export, attempt: str, owner: str
    ) -> engine_streams.Stream | engine_streams.Rejection:
        """Continue a stream that another engine has exported.

        Args:
            item: The export.
            attempt: Identifier of the attempt at this engine.
            owner: `host/incarnation` of the node that owns the stream from now on.

        Returns:
            The stream, or the rejection.
        """
        submission = item.submission._replace(attempt=attempt, owner=owner)
        if submission.memory_tokens > self.memory.free_tokens:
            self.activity.record_rejection(429)
            return engine_streams.Rejection(
                429, "not enough free KV cache memory", RETRY_AFTER_SECONDS
            )
        stream = self.submit(submission)
        if isinstance(stream, engine_streams.Stream) and not stream.lost:
            self.memory.allocate(submission)
            stream.prefill_remaining = item.prefill_remaining
            stream.prefill_imported = submission.prompt_tokens - item.prefill_remaining
            stream.emitted = item.emitted
        return stream

    def find(self, attempt: str, owner: str | None) -> engine_streams.Stream | None:
        """Return a stream, or None if unknown; an `owner` other than None becomes its new owner."""
        self.expire()
        stream = self.table.find(attempt)
        if stream is not None and owner is not None:
            stream.owner = owner
        return stream

    def cancel(self, attempt: str) -> None:
        """Remove a stream and free its memory; a no-op for an unknown attempt."""
        self._remove(attempt, "cancelled")

    def on_delivered(self, stream: engine_streams.Stream) -> None:
        """Free the memory of a finished stream once a client has received every token."""
        self.memory.release(stream.submission.attempt)
        self._record_load()

    def export(self, attempt: str) -> engine_memory.Export | None:
        """Remove a stream and keep its KV cache for another engine.

        Args:
            attempt: Identifier of the attempt.

        Returns:
            The export; None for a stream that is unknown, waiting, finished or in a memory group.
        """
        self.expire()
        stream = self.table.find(attempt)
        if stream is None or stream.submission.group or stream not in self.table.running():
            return None
        expires_at = self.now() + self.parameters.export_keep_seconds
        item = engine_memory.Export(
            self._new_id("export"),
            stream.submission,
            stream.owner,
            stream.prefill_remaining,
            stream.emitted,
            expires_at,
        )
        self._remove(attempt, "exported")
        self.memory.export(item)
        return item

    def drop_export(self, export_id: str) -> None:
        """Drop an export and free its memory; a no-op if there is none."""
        self.memory.exports_by_id.pop(export_id, None)
        self._record_load()

    def reserve(self, group: str, owner: str, tokens: int, expires_in_seconds: float) -> int:
        """Reserve memory for a memory group; return the HTTP status."""
        self.expire()
        expires_at = self.now() + expires_in_seconds
        wanted = engine_memory.Reservation(group, owner, tokens, expires_at)
        status = self.memory.reserve(wanted)
        self.cache.shrink(self.memory.free_tokens)
        self._record_load()
        return status

    def unreserve(self, group: str) -> None:
        """Drop a memory group's reservation and the unfinished streams that use it."""
        for stream in self.table:
            if group in stream.submission.group and not stream.is_finished:
                self._remove(stream.submission.attempt, "dropped")
        self.memory.unreserve(group)
        self._record_load()

    def set_models(self, models: set[str]) -> None:
        """Replace the loaded models; streams of models that are no longer loaded are lost."""
        self.models = models
        for stream in self.table:
            if stream.submission.model not in models:
                self._remove(stream.submission.attempt, "dropped")
        self._record_load()

    def turn_cold(self) -> None:
        """Turn cold and clear the prefix cache, without any event or change in the load."""
        self.cold_start.turn_cold()
        self.cache.clear()

    def crash(self, reason: str) -> None:
        """Lose all state, and restart cold with a new start id after `restart_seconds`."""
        streams = list(self.table)
        self.activity.record_crash(self.now(), reason, streams)
        self.table = engine_table.StreamTable()
        self.memory.clear()
        self.cache.restart()
        self.turn_cold()
        self._start_id = self._new_id("start")
        self._finished_since_start = 0
        self._down_until = self.now() + self.parameters.restart_seconds
        self.on_crash()
        for stream in streams:
            stream.mark_lost()
        self._record_load()

    def step(self) -> None:
        """Run one batch step: a token for each decoding stream, then a chunk of prefill."""
        self.expire()
        self._admit()
        for stream in self.table.in_decode():
            self._decode(stream)
        self._prefill()
        self._record_load()

    def load(self) -> tuple[float, engine_reports.Load]:
        """Return the reported load, which is `load_lag_seconds` old, after the time it describes."""
        self.expire()
        return self._history.as_reported(self.now())

    def activity_to_json(self) -> dict[str, Any]:
        """Return the recorded activity and the current state as values for JSON."""
        self.expire()
        for stream in self.table:
            self.activity.record_stream(stream)
        current_state = {
            "memory_held_tokens": self.memory.used_tokens,
            "memory_by_attempt": dict(self.memory.tokens_by_attempt),
            "exports": list(self.memory.exports_by_id),
            "reservations": list(self.memory.reservations_by_group),
            "start_id": self._start_id,
            "cold": self.cold_start.is_cold,
            "down": self.is_down,
        }
        return self.activity.to_json() | current_state

    def _reject(self, submission: engine_streams.Submission) -> engine_streams.Rejection | None:
        """Return why a prompt is rejected, or None if it is accepted."""
        if submission.attempt in self.table:
            return engine_streams.Rejection(409, "the attempt already exists", ran="ran")
        if submission.model not in self.models:
            return engine_streams.Rejection(503, "model not loaded", RETRY_AFTER_SECONDS)
        if submission.group:
            if submission.group[0] not in self.memory.reservations_by_group:
                return engine_streams.Rejection(409, "no such reservation")
        elif submission.memory_tokens > self.parameters.memory_tokens:
            return engine_streams.Rejection(413, "prompt and output exceed the KV cache memory")
        if len(self.table.waiting()) >= self.parameters.max_waiting:
            return engine_streams.Rejection(429, "full", RETRY_AFTER_SECONDS)
        return None

    def _add(self, stream: engine_streams.Stream) -> None:
        """Add an accepted stream; a cold engine crashes if it then exceeds `cold_concurrency`."""
        self._sequence += 1
        self.table.add(stream)
        self.activity.record_stream(stream)
        self._wake.set()
        self.cold_start.on_accepted(stream.submission.attempt)
        self.activity.record_cold_in_flight(self.cold_start.in_flight)
        if self.cold_start.is_overloaded:
            self.crash("too many streams in cold start")
        self._record_load()

    def _remove(self, attempt: str, end: str) -> None:
        """Remove a stream, if it is known, and free its memory.

        Args:
            attempt: Identifier of the attempt.
            end: How it ended, as in `AttemptRecord.end`; a finished stream stays `finished`.
        """
        stream = self.table.remove(attempt)
        self.memory.release(attempt)
        self.cold_start.on_removed(attempt)
        if stream is None:
            return
        self.activity.record_stream(stream, end)
        stream.mark_lost()
        self._record_load()

    def _admit(self) -> None:
        """Start waiting streams by priority and arrival while slots and memory are free."""
        running = len(self.table.running())
        blocked = False
        for stream in self.table.waiting():
            if running >= self.parameters.concurrency:
                return
            # A stream that already has memory must not wait behind one that needs that memory.
            has_memory = self.memory.is_allocated(stream.submission)
            if not has_memory and (blocked or not self.memory.allocate(stream.submission)):
                blocked = True
                continue
            running += 1
            self.cache.shrink(self.memory.free_tokens)
            self._start(stream)

    def _start(self, stream: engine_streams.Stream) -> None:
        """Start the prefill of a stream that has its memory; cached tokens need none."""
        submission = stream.submission
        if not stream.prefill_imported:
            hashes = submission.prefix_hashes
            stream.prefill_cached = self.cache.cached_tokens(hashes, submission.prompt_tokens)
            stream.prefill_remaining -= stream.prefill_cached
        stream.state = engine_streams.StreamState.PREFILL

    def _prefill(self) -> None:
        """Run one step's budget of prefill, by priority and arrival."""
        budget = self.cold_start.prefill_rate * self.parameters.step_seconds
        for stream in self.table.in_prefill():
            tokens = min(stream.prefill_remaining, budget)
            stream.prefill_remaining -= tokens
            budget -= tokens
            if stream.prefill_remaining > 0:
                return
            if stream.submission.crashes:
                self.crash("a prompt crashed it")
                return
            self.cache.store(stream.submission.prefix_hashes, self.memory.free_tokens)
            stream.state = engine_streams.StreamState.DECODE

    def _decode(self, stream: engine_streams.Stream) -> None:
        """Generate one token of a stream, and finish it with its last one."""
        if stream.emitted + 1 >= stream.submission.max_tokens:
            stream.state = engine_streams.StreamState.FINISHED
            stream.ended_at = self.now()
            self._on_finished(stream)
        stream.emit()

    def _on_finished(self, stream: engine_streams.Stream) -> None:
        """Record a finished stream and count it towards the end of the cold start."""
        self.activity.record_stream(stream)
        self._finished_since_start += 1
        self.cold_start.on_finished(stream.submission.attempt)

    def expire(self) -> None:
        """Drop expired exports, reservations and finished streams; called before each read."""
        now = self.now()
        self.memory.expire(now, self.table.groups_in_use())
        for stream in self.table:
            ended_at = stream.ended_at
            if ended_at is not None and now >= ended_at + self.parameters.keep_seconds:
                self._remove(stream.submission.attempt, "finished")

    def _record_load(self) -> None:
        """Add the current load to the history."""
        self._history.record(self.now(), self._load())

    def _load(self) -> engine_reports.Load:
        """Return the current load."""
        waiting = self.table.waiting()
        running = self.table.running()
        return engine_reports.Load(
            self._start_id,
            len(running),
            len(waiting),
            engine_table.prefill_by_priority(waiting),
            engine_table.prefill_by_priority(running),
            self.memory.used_tokens,
            self.parameters.memory_tokens,
            self._finished_since_start,
            tuple(sorted(self.models)),
        )

    def _new_id(self, prefix: str) -> str:
        """Return a new random identifier with a prefix."""
        return f"{prefix}-{self._rng.getrandbits(64):016x}"
