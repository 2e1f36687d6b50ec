"""Engine model in virtual time: batching, priorities, KV cache memory, prefix cache, cold start."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.routing import load_view
from dragonflycove.values import requests

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.configuration import schema
    from dragonflycove.measure import clock

CHUNK_TOKENS = 2_048
"""Maximum prompt tokens of one prefill chunk; a higher priority takes over between two chunks."""

DECODE_TOKENS_PER_SECOND = 40.0
"""Decode rate of each stream, independent of the batch size."""

PREFIX_CACHE_SHARE = 0.5
"""Size of the prefix cache as a fraction of the KV cache memory."""


class Stream(NamedTuple):
    """An attempt's stream at one engine."""

    attempt: str
    """Id of the attempt."""
    priority: int
    """Engine priority; 0 is the highest."""
    prompt_tokens: int
    """Prompt tokens to prefill, including cached ones."""
    kv_cache_tokens: int
    """KV cache tokens that it occupies from the start of its prefill to its end."""
    output_tokens: int
    """Number of tokens to generate."""
    prefix_hashes: tuple[int, ...]
    """Chained hashes of the prompt's blocks."""
    on_first_token: Callable[[], None]
    """Called at the end of the prefill."""
    on_end: Callable[[bool], None]
    """Called at the end with True if all output was generated, False if the engine restarted."""


class Engine:
    """One engine; it prefills one chunk at a time and decodes all running streams concurrently."""

    def __init__(self, server: schema.Server, timeline: clock.Timeline) -> None:
        """Create a warm engine.

        Args:
            server: Configuration of the engine.
            timeline: Schedules the engine's events.
        """
        self.server = server
        self.crashes = 0
        """Number of crashes because a cold engine got more streams than its cold concurrency."""
        self.prefilled_tokens = 0
        """Prompt tokens prefilled so far, without cached ones."""
        self.finished_since_start = server.warm_after_requests
        """Requests finished since the last start; initialised so that the engine is warm."""
        self._timeline = timeline
        self._start_number = 0
        self._sequence = 0
        self._streams_by_attempt: dict[str, Stream] = {}
        self._remaining_by_attempt: dict[str, int] = {}
        self._admission_queue: list[tuple[int, int, str]] = []
        self._prefill_queue: list[tuple[int, int, str]] = []
        self._running: set[str] = set()
        self._used_kv_cache_tokens = 0
        self._is_prefilling = False
        self._cache: OrderedDict[int, None] = OrderedDict()

    @property
    def is_idle(self) -> bool:
        """Whether no prefill is in progress; streams may be decoding."""
        return not self._is_prefilling

    @property
    def free_kv_cache_tokens(self) -> int:
        """KV cache tokens that no stream occupies."""
        return self.server.memory_tokens - self._used_kv_cache_tokens

    @property
    def request_count(self) -> int:
        """Number of queued and running streams."""
        return len(self._streams_by_attempt)

    @property
    def is_cold(self) -> bool:
        """Whether it has finished too few requests since its start to be warm."""
        return self.finished_since_start < self.server.warm_after_requests

    def restart(self) -> None:
        """End all streams as incomplete and restart cold."""
        interrupted = list(self._streams_by_attempt.values())
        self._start_number += 1
        self.finished_since_start = 0
        self._streams_by_attempt = {}
        self._remaining_by_attempt = {}
        self._admission_queue = []
        self._prefill_queue = []
        self._running = set()
        self._cache = OrderedDict()
        self._used_kv_cache_tokens = 0
        self._is_prefilling = False
        for stream in interrupted:
            stream.on_end(False)

    def submit(self, stream: Stream) -> None:
        """Accept a stream; a cold engine crashes and restarts above its cold concurrency.

        Args:
            stream: The stream to queue.
        """
        self._sequence += 1
        self._streams_by_attempt[stream.attempt] = stream
        heapq.heappush(self._admission_queue, (stream.priority, self._sequence, stream.attempt))
        if self.is_cold and self.request_count > self.server.cold_concurrency:
            self.crashes += 1
            self.restart()
            return
        self._admit()

    def cancel(self, attempt: str) -> None:
        """End a stream and free its memory; does nothing for an unknown attempt.

        Args:
            attempt: Id of the attempt.
        """
        if attempt in self._streams_by_attempt:
            self._free(attempt)
            self._admit()

    def report(self, age_seconds: float) -> load_view.LoadReport:
        """Return the current load.

        Args:
            age_seconds: Age that the report will have when a node receives it.

        Returns:
            The load in the form of a real engine's report.
        """
        tokens = {True: [0, 0], False: [0, 0]}
        for attempt, stream in self._streams_by_attempt.items():
            remaining = self._remaining_by_attempt.get(attempt, stream.prompt_tokens)
            tokens[attempt in self._running][min(1, stream.priority)] += remaining
        waiting, running = tokens[False], tokens[True]
        return load_view.LoadReport(
            self.server.server_id,
            age_seconds,
            f"{self.server.server_id}-{self._start_number}",
            len(self._running),
            len(self._streams_by_attempt) - len(self._running),
            (waiting[0], waiting[1]),
            (running[0], running[1]),
            self._used_kv_cache_tokens,
            self.server.memory_tokens,
            self.finished_since_start,
            self.server.models,
        )

    def _admit(self) -> None:
        while self._admission_queue and len(self._running) < self.server.concurrency:
            attempt = self._admission_queue[0][2]
            stream = self._streams_by_attempt.get(attempt)
            if stream is not None and stream.kv_cache_tokens > self.free_kv_cache_tokens:
                break
            entry = heapq.heappop(self._admission_queue)
            if stream is None:
                continue
            self._running.add(attempt)
            self._used_kv_cache_tokens += stream.kv_cache_tokens
            cached = min(self._cached_tokens(stream), stream.prompt_tokens - 1)
            self._remaining_by_attempt[attempt] = stream.prompt_tokens - cached
            heapq.heappush(self._prefill_queue, entry)
        self._prefill_next_chunk()

    def _cached_tokens(self, stream: Stream) -> int:
        blocks = 0
        for block in stream.prefix_hashes:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            blocks += 1
        return blocks * requests.PREFIX_BLOCK_TOKENS

    def _prefill_next_chunk(self) -> None:
        """Start the next prefill chunk, unless one is in progress."""
        while self._prefill_queue and self._prefill_queue[0][2] not in self._streams_by_attempt:
            heapq.heappop(self._prefill_queue)
        if self._is_prefilling or not self._prefill_queue:
            return
        attempt = self._prefill_queue[0][2]
        chunk = min(CHUNK_TOKENS, self._remaining_by_attempt[attempt])
        self._is_prefilling = True
        seconds = chunk / self.server.prefill_tokens_per_second
        self._timeline.after(seconds, self._on_chunk_prefilled, attempt, chunk, self._start_number)

    def _on_chunk_prefilled(self, attempt: str, chunk: int, start_number: int) -> None:
        if start_number != self._start_number:
            return
        self._is_prefilling = False
        if attempt in self._streams_by_attempt:
            self.prefilled_tokens += chunk
            self._remaining_by_attempt[attempt] -= chunk
            if self._remaining_by_attempt[attempt] <= 0:
                self._on_prompt_prefilled(attempt)
        self._prefill_next_chunk()

    def _on_prompt_prefilled(self, attempt: str) -> None:
        self._prefill_queue = [entry for entry in self._prefill_queue if entry[2] != attempt]
        heapq.heapify(self._prefill_queue)
        stream = self._streams_by_attempt[attempt]
        for block in stream.prefix_hashes:
            self._cache[block] = None
        limit = PREFIX_CACHE_SHARE * self.server.memory_tokens / requests.PREFIX_BLOCK_TOKENS
        while len(self._cache) > limit:
            self._cache.popitem(last=False)
        stream.on_first_token()
        seconds = stream.output_tokens / DECODE_TOKENS_PER_SECOND
        self._timeline.after(seconds, self._on_output_complete, attempt, self._start_number)

    def _on_output_complete(self, attempt: str, start_number: int) -> None:
        stream = self._streams_by_attempt.get(attempt)
        if start_number != self._start_number or stream is None:
            return
        self.finished_since_start += 1
        self._free(attempt)
        stream.on_end(True)
        self._admit()

    def _free(self, attempt: str) -> None:
        stream = self._streams_by_attempt.pop(attempt)
        self._remaining_by_attempt.pop(attempt, None)
        if attempt in self._running:
            self._running.discard(attempt)
            self._used_kv_cache_tokens -= stream.kv_cache_tokens
