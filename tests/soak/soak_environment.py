"""The outside world of the soak: log service, engines and a plain service, each with its books."""

from __future__ import annotations

import collections

WALL = 1_000_000.0
STEP_SECONDS = 0.1
TOKEN_SECONDS = 0.3
ENGINE_MEMORY_TOKENS = 200_000


class Log:
    """Streams of records; it can be down, slow, and lose answers."""

    def __init__(self, world):
        self.world = world
        self.records_by_stream = collections.defaultdict(list)
        self.down_until = 0.0
        self.slow_until = 0.0

    @property
    def is_down(self):
        return self.world.now < self.down_until

    def append(self, stream, values, on_result):
        """Append; the result is `done`, `refused` or `unknown`, and an unknown one may land."""
        rng = self.world.rng
        if self.is_down:
            on_late = "unknown" if rng.random() < 0.5 else "refused"
            self.world.after(1.0, lambda: on_result(on_late))
            return
        is_slow = self.world.now < self.slow_until
        landing = rng.uniform(0.5, 6.0) if is_slow else 0.05
        if rng.random() < 0.95:
            self.world.after(landing, lambda: self.land(stream, values))
            answer = "done" if landing < 2.0 and rng.random() < 0.9 else "unknown"
        else:
            answer = "unknown"
        self.world.after(min(landing + 0.05, 2.0), lambda: on_result(answer))

    def land(self, stream, values):
        stamped = [(WALL + self.world.now, value) for value in values]
        self.records_by_stream[stream].extend(stamped)

    def read(self, stream, offset):
        """Return the records from an offset on; nothing while down."""
        if self.is_down:
            return []
        records = self.records_by_stream[stream]
        return [(index, *records[index]) for index in range(offset, len(records))]


class Stream:
    """One attempt on an engine."""

    def __init__(self, request, owner, prompt_tokens, length, sink):
        self.request = request
        self.owner = owner
        self.ready_in = prompt_tokens / 20_000.0
        self.memory_tokens = prompt_tokens
        self.length = length
        self.tokens = []
        self.sinks = [sink]
        self.since_token = 0.0

    @property
    def is_running(self):
        return len(self.tokens) < self.length


class Engine:
    """A model engine that books what it holds, and falls over beyond what it bears when cold."""

    def __init__(self, world, server):
        self.world = world
        self.server = server
        self.starts = 0
        self.fencing = -1
        self.crashes_by_request = collections.Counter()
        self.cut_until = 0.0
        self.start()

    def start(self):
        """Start anew: cold and empty."""
        self.starts += 1
        self.cold_since = self.world.now
        self.finished = 0
        self.streams = {}

    @property
    def is_cold(self):
        return self.finished < self.server.warm_after_requests

    @property
    def running(self):
        return [stream for stream in self.streams.values() if stream.is_running]

    @property
    def is_reachable(self):
        return self.world.now >= self.cut_until

    def crash(self):
        for stream in self.streams.values():
            self.send(stream, ("broken", "crashed"))
        self.start()

    def turn_cold(self):
        """Lose the caches without a restart."""
        self.finished = 0
        self.cold_since = self.world.now

    def submit(self, attempt, request, owner, prompt_tokens, length, sink):
        """Take an attempt; the answer comes on its sink."""
        held = sum(stream.memory_tokens for stream in self.running)
        is_full = len(self.running) >= self.server.concurrency
        if is_full or held + prompt_tokens > ENGINE_MEMORY_TOKENS:
            sink(("broken", "refused_not_run"))
            return
        self.streams[attempt] = Stream(request, owner, prompt_tokens, length, sink)
        self.world.oracle.on_engine_start(self, request)

    def resume(self, attempt, owner, from_index, sink):
        stream = self.streams.get(attempt)
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

    def send(self, stream, event):
        for sink in stream.sinks:
            sink(event)

    def step(self):
        for attempt, stream in list(self.streams.items()):
            if not stream.is_running or attempt not in self.streams:
                continue
            stream.ready_in -= STEP_SECONDS
            if stream.ready_in > 0:
                self.send(stream, ("heartbeat",))
                continue
            if stream.request.model == "m" and stream.request.organisation == "poison":
                self.world.oracle.on_poison(self, stream.owner)
                self.crash()
                return
            stream.since_token += STEP_SECONDS
            if stream.since_token >= TOKEN_SECONDS:
                stream.since_token = 0.0
                index = len(stream.tokens)
                stream.tokens.append(f"{stream.request.request_id}:{attempt}:{index};")
                self.send(stream, self.frame(stream, index))
                self.finished += 0 if stream.is_running else 1


class PlainService:
    """A plain service that books each key's executions."""

    def __init__(self):
        self.ran = collections.Counter()

    def run(self, key):
        self.ran[key] += 1
        return f"ran {key}".encode()
