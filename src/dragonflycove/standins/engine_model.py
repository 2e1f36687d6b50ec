"""The model engine's stand-in without HTTP: batches, memory, cache, cold start, crashes."""

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
"""What a full or loading engine asks callers to wait."""


class Engine:
    """One model engine; `run` steps it for as long as it has work."""

    def __init__(self, parameters: engine_parameters.EngineParameters, now: clock.Clock) -> None:
        """Create an idle engine.

        Args:
            parameters: Its parameters.
            now: The clock.
        """
        self.parameters = parameters
        """Its parameters."""
        self.now = now
        """The clock."""
        self.models: set[str] = set(parameters.models)
        """Models in force."""
        self.activity = engine_reports.Activity()
        """What it has done."""
        self.memory = engine_memory.KvMemory(parameters.memory_tokens)
        """Who holds its KV memory."""
        self._rng = random.Random(parameters.seed)
        self.cache = engine_cache.PrefixCache(parameters, self._rng, now)
        """Its prefix cache."""
        self.cold_start = engine_cold_start.ColdStart(parameters)
        """Whether it is cold."""
        self.table = engine_table.StreamTable()
        """Streams that it keeps."""
        self.on_crash: Callable[[], None] = lambda: None
        """Called when it crashes."""
        self._sequence = 0
        self._start_id = self._new_id("start")
        self._finished_since_start = 0
        self._down_until = float("-inf")
        self._wake = asyncio.Event()
        self._history = engine_reports.LoadHistory(parameters.load_lag_seconds, self._load())

    @property
    def down_seconds(self) -> float:
        """Time until it answers again after a crash; 0 if it answers."""
        return max(0.0, self._down_until - self.now())

    @property
    def is_down(self) -> bool:
        """Whether it has crashed and does not answer yet."""
        return self.down_seconds > 0

    @property
    def start_id(self) -> str:
        """Identifier of this start."""
        return self._start_id

    async def run(self) -> None:
        """Step the engine for as long as the task lives."""
        while True:
            while not self.table.any_unfinished():
                self._wake.clear()
                await self._wake.wait()
            await asyncio.sleep(self.parameters.step_seconds)
            self.step()

    def submit(
        self, submission: engine_streams.Submission
    ) -> engine_streams.Stream | engine_streams.Rejection:
        """Take a prompt, or refuse it.

        Args:
            submission: What to run.

        Returns:
            The stream, which is lost at once if it has crashed a cold engine, or the refusal.
        """
        self.expire()
        rejection = self._reject(submission)
        if rejection is not None:
            self.activity.note_rejection(rejection.status)
            return rejection
        stream = engine_streams.Stream(submission, self._sequence)
        self._add(stream)
        return stream

    def import_stream(
        self, item: engine_memory.Export, attempt: str, owner: str
    ) -> engine_streams.Stream | engine_streams.Rejection:
        """Go on with a stream that another engine has exported.

        Args:
            item: The export.
            attempt: Identifier of the attempt here.
            owner: `host/incarnation` of the node that owns it from now on.

        Returns:
            The stream, or the refusal.
        """
        submission = item.submission._replace(attempt=attempt, owner=owner)
        if submission.memory_tokens > self.memory.free_tokens:
            self.activity.note_rejection(429)
            return engine_streams.Rejection(429, "no memory", RETRY_AFTER_SECONDS)
        stream = self.submit(submission)
        if isinstance(stream, engine_streams.Stream) and not stream.lost:
            self.memory.allocate(submission)
            stream.prefill_remaining = item.prefill_remaining
            stream.prefill_imported = submission.prompt_tokens - item.prefill_remaining
            stream.emitted = item.emitted
        return stream

    def find(self, attempt: str, owner: str | None) -> engine_streams.Stream | None:
        """Return a stream, and make another owner its own where one is given."""
        self.expire()
        stream = self.table.find(attempt)
        if stream is not None and owner is not None:
            stream.owner = owner
        return stream

    def cancel(self, attempt: str) -> None:
        """Stop a stream and free its memory; nothing if there is none."""
        self._remove(attempt, "cancelled")

    def note_delivered(self, stream: engine_streams.Stream) -> None:
        """Free the memory of a finished stream whose reader has every token."""
        self.memory.release(stream.submission.attempt)
        self._note_load()

    def export(self, attempt: str) -> engine_memory.Export | None:
        """Stop a stream and keep its KV cache for another engine.

        Args:
            attempt: Identifier of the attempt.

        Returns:
            The export; `None` for a stream that is unknown, waiting, finished or in a memory
            group.
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
        """Drop an export and free its memory; nothing if there is none."""
        self.memory.exports_by_id.pop(export_id, None)
        self._note_load()

    def reserve(self, group: str, owner: str, tokens: int, expires_in_seconds: float) -> int:
        """Reserve memory for a memory group; return the HTTP status."""
        self.expire()
        expires_at = self.now() + expires_in_seconds
        wanted = engine_memory.Reservation(group, owner, tokens, expires_at)
        status = self.memory.reserve(wanted)
        self.cache.shrink(self.memory.free_tokens)
        self._note_load()
        return status

    def unreserve(self, group: str) -> None:
        """Drop a memory group's reservation; streams that use it are lost."""
        for stream in self.table:
            if group in stream.submission.group and not stream.is_finished:
                self._remove(stream.submission.attempt, "dropped")
        self.memory.unreserve(group)
        self._note_load()

    def set_models(self, models: set[str]) -> None:
        """Change the models in force; streams of one that is dropped are lost."""
        self.models = models
        for stream in self.table:
            if stream.submission.model not in models:
                self._remove(stream.submission.attempt, "dropped")
        self._note_load()

    def turn_cold(self) -> None:
        """Turn cold without telling anybody."""
        self.cold_start.turn_cold()
        self.cache.clear()

    def crash(self, reason: str) -> None:
        """Lose everything, and come back cold after some seconds under a new start."""
        streams = list(self.table)
        self.activity.note_crash(self.now(), reason, streams)
        self.table = engine_table.StreamTable()
        self.memory.clear()
        self.cache.restart()
        self.turn_cold()
        self._start_id = self._new_id("start")
        self._finished_since_start = 0
        self._down_until = self.now() + self.parameters.restart_seconds
        self.on_crash()
        for stream in streams:
            stream.lose()
        self._note_load()

    def step(self) -> None:
        """Run one batch step: a token for each decoding stream, then a piece of prefill."""
        self.expire()
        self._admit()
        for stream in self.table.in_decode():
            self._decode(stream)
        self._prefill()
        self._note_load()

    def load(self) -> tuple[float, engine_reports.Load]:
        """Return the lagged load and the time at which it was true."""
        self.expire()
        return self._history.as_reported(self.now())

    def activity_to_json(self) -> dict[str, Any]:
        """Return what it has done and holds now, as what JSON can hold."""
        self.expire()
        for stream in self.table:
            self.activity.note_stream(stream)
        held = {
            "memory_held_tokens": self.memory.used_tokens,
            "memory_by_attempt": dict(self.memory.tokens_by_attempt),
            "exports": list(self.memory.exports_by_id),
            "reservations": list(self.memory.reservations_by_group),
            "start_id": self._start_id,
            "cold": self.cold_start.is_cold,
            "down": self.is_down,
        }
        return self.activity.to_json() | held

    def _reject(self, submission: engine_streams.Submission) -> engine_streams.Rejection | None:
        """Return why a prompt is refused, if it is."""
        if submission.attempt in self.table:
            return engine_streams.Rejection(409, "the attempt is known", ran="ran")
        if submission.model not in self.models:
            return engine_streams.Rejection(503, "model not loaded", RETRY_AFTER_SECONDS)
        if submission.group:
            if submission.group[0] not in self.memory.reservations_by_group:
                return engine_streams.Rejection(409, "no such reservation")
        elif submission.memory_tokens > self.parameters.memory_tokens:
            return engine_streams.Rejection(413, "longer than the memory")
        if len(self.table.waiting()) >= self.parameters.max_waiting:
            return engine_streams.Rejection(429, "full", RETRY_AFTER_SECONDS)
        return None

    def _add(self, stream: engine_streams.Stream) -> None:
        """Keep a new stream; a cold engine with too many crashes."""
        self._sequence += 1
        self.table.add(stream)
        self.activity.note_stream(stream)
        self._wake.set()
        self.cold_start.on_accepted(stream.submission.attempt)
        self.activity.note_cold(self.cold_start.in_flight)
        if self.cold_start.is_overloaded:
            self.crash("too many streams in cold start")
        self._note_load()

    def _remove(self, attempt: str, end: str) -> None:
        """Forget a stream and free its memory."""
        stream = self.table.remove(attempt)
        self.memory.release(attempt)
        self.cold_start.on_removed(attempt)
        if stream is None:
            return
        self.activity.note_stream(stream, end)
        stream.lose()
        self._note_load()

    def _admit(self) -> None:
        """Start waiting streams in order while there are places and memory."""
        running = len(self.table.running())
        blocked = False
        for stream in self.table.waiting():
            if running >= self.parameters.concurrency:
                return
            # One that has its memory must not queue behind one that waits for that memory.
            has_memory = self.memory.is_allocated(stream.submission)
            if not has_memory and (blocked or not self.memory.allocate(stream.submission)):
                blocked = True
                continue
            running += 1
            self.cache.shrink(self.memory.free_tokens)
            self._start(stream)

    def _start(self, stream: engine_streams.Stream) -> None:
        """Start a stream that has its memory."""
        submission = stream.submission
        if not stream.prefill_imported:
            hashes = submission.prefix_hashes
            stream.prefill_cached = self.cache.cached_tokens(hashes, submission.prompt_tokens)
            stream.prefill_remaining -= stream.prefill_cached
        stream.state = engine_streams.StreamState.PREFILL

    def _prefill(self) -> None:
        """Read prompts, the most urgent first, as far as one step goes."""
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
        """Generate one token of a stream."""
        if stream.emitted + 1 >= stream.submission.max_tokens:
            stream.state = engine_streams.StreamState.FINISHED
            stream.ended_at = self.now()
            self._note_finished(stream)
        stream.emit()

    def _note_finished(self, stream: engine_streams.Stream) -> None:
        """Count a finished stream, and turn warm after enough of them."""
        self.activity.note_stream(stream)
        self._finished_since_start += 1
        self.cold_start.note_finished(stream.submission.attempt)

    def expire(self) -> None:
        """Drop what is kept no longer, so that what is read next is true now."""
        now = self.now()
        self.memory.expire(now, self.table.groups_in_use())
        for stream in self.table:
            ended_at = stream.ended_at
            if ended_at is not None and now >= ended_at + self.parameters.keep_seconds:
                self._remove(stream.submission.attempt, "finished")

    def _note_load(self) -> None:
        """Note the load for later reports."""
        self._history.note(self.now(), self._load())

    def _load(self) -> engine_reports.Load:
        """Return the load as it is now."""
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
        """Return a fresh identifier."""
        return f"{prefix}-{self._rng.getrandbits(64):016x}"
