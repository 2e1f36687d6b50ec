"""Simulated log service, engines and plain service, which record what ran for the oracle."""

from __future__ import annotations

import collections

UNIX_TIME_AT_START = 1_000_000.0
"""Unix time at simulated time 0."""

STEP_SECONDS = 0.1
"""Simulated time of one step of all parts."""

SECONDS_PER_TOKEN = 0.3
"""Decode time per token of a stream."""

ENGINE_KV_CACHE_TOKENS = 200_000
"""KV cache of each engine."""


class Log:
    """Streams of records; it can be down or slow, and can lose responses."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.records_by_stream = collections.defaultdict(list)
        self.down_until = 0.0
        self.slow_until = 0.0

    @property
    def is_down(self):
        return self.simulation.now < self.down_until

    def append(self, stream, values, on_result):
        """Append; the result is `done`, `refused` or `unknown`, after which it may still be written."""
        rng = self.simulation.rng
        if self.is_down:
            late_result = "unknown" if rng.random() < 0.5 else "refused"
            self.simulation.call_later(1.0, lambda: on_result(late_result))
            return
        is_slow = self.simulation.now < self.slow_until
        write_delay = rng.uniform(0.5, 6.0) if is_slow else 0.05
        if rng.random() < 0.95:
            self.simulation.call_later(write_delay, lambda: self.write(stream, values))
            append_result = "done" if write_delay < 2.0 and rng.random() < 0.9 else "unknown"
        else:
            append_result = "unknown"
        self.simulation.call_later(min(write_delay + 0.05, 2.0), lambda: on_result(append_result))

    def write(self, stream, values):
        stamped = [(UNIX_TIME_AT_START + self.simulation.now, value) for value in values]
        self.records_by_stream[stream].extend(stamped)

    def read(self, stream, offset):
        """Return (offset, Unix time, value) of each record from an offset on; none while down."""
        if self.is_down:
            return []
        records = self.records_by_stream[stream]
        return [(index, *records[index]) for index in range(offset, len(records))]


class Stream:
    """One attempt at an engine; `sinks` are the connections that receive its events."""

    def __init__(self, request, owner, prompt_tokens, length, sink):
        self.request = request
        self.owner = owner
        self.prefill_seconds_left = prompt_tokens / 20_000.0
        self.kv_cache_tokens = prompt_tokens
        self.length = length
        self.tokens = []
        self.sinks = [sink]
        self.seconds_since_token = 0.0

    @property
    def is_running(self):
        return len(self.tokens) < self.length


class Engine:
    """A model engine with limited slots and KV cache, which a prompt of `poison` crashes."""

    def __init__(self, simulation, server):
        self.simulation = simulation
        self.server = server
        self.start_count = 0
        self.fencing = -1
        self.crashes_by_request = collections.Counter()
        self.unreachable_until = 0.0
        self.start()

    def start(self):
        """Start or restart with cold caches and without streams."""
        self.start_count += 1
        self.cold_since = self.simulation.now
        self.finished_requests = 0
        self.stream_by_attempt = {}

    @property
    def is_cold(self):
        return self.finished_requests < self.server.warm_after_requests

    @property
    def running_streams(self):
        return [stream for stream in self.stream_by_attempt.values() if stream.is_running]

    @property
    def is_reachable(self):
        return self.simulation.now >= self.unreachable_until

    def crash(self):
        for stream in self.stream_by_attempt.values():
            self.send_event(stream, ("broken", "crashed"))
        self.start()

    def turn_cold(self):
        """Lose the caches without a restart."""
        self.finished_requests = 0
        self.cold_since = self.simulation.now

    def submit(self, attempt_id, request, owner, prompt_tokens, length, sink):
        """Start an attempt, or refuse it if slots or KV cache are full; events go to its sink."""
        reserved_tokens = sum(stream.kv_cache_tokens for stream in self.running_streams)
        is_full = len(self.running_streams) >= self.server.concurrency
        if is_full or reserved_tokens + prompt_tokens > ENGINE_KV_CACHE_TOKENS:
            sink(("broken", "refused_not_run"))
            return
        self.stream_by_attempt[attempt_id] = Stream(request, owner, prompt_tokens, length, sink)
        self.simulation.oracle.on_engine_start(self, request)

    def resume(self, attempt_id, owner, from_index, sink):
        stream = self.stream_by_attempt.get(attempt_id)
        if stream is None:
            sink(("unknown",))
            return
        stream.owner = owner
        stream.sinks = [sink]
        for index in range(from_index, len(stream.tokens)):
            sink(self.frame(stream, index))

    def frame(self, stream, index):
        finish = "stop" if index == stream.length - 1 else None
        return ("frame", index, stream.tokens[index], finish)

    def send_event(self, stream, event):
        for sink in stream.sinks:
            sink(event)

    def step(self):
        for attempt_id, stream in list(self.stream_by_attempt.items()):
            if not stream.is_running or attempt_id not in self.stream_by_attempt:
                continue
            stream.prefill_seconds_left -= STEP_SECONDS
            if stream.prefill_seconds_left > 0:
                self.send_event(stream, ("heartbeat",))
                continue
            if stream.request.model == "m" and stream.request.organisation == "poison":
                self.simulation.oracle.on_crash_prompt(self, stream.owner)
                self.crash()
                return
            stream.seconds_since_token += STEP_SECONDS
            if stream.seconds_since_token >= SECONDS_PER_TOKEN:
                stream.seconds_since_token = 0.0
                index = len(stream.tokens)
                stream.tokens.append(f"{stream.request.request_id}:{attempt_id}:{index};")
                self.send_event(stream, self.frame(stream, index))
                self.finished_requests += 0 if stream.is_running else 1


class PlainService:
    """A plain service that counts the executions of each idempotency key."""

    def __init__(self):
        self.executions_by_key = collections.Counter()

    def execute(self, key):
        self.executions_by_key[key] += 1
        return f"ran {key}".encode()
