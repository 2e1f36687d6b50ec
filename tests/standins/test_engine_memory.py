"""State machine test: no order of events makes the stand-in engine leak or overcommit memory."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dragonflycove.standins import engine_model, engine_parameters, engine_streams

ATTEMPTS = st.sampled_from(["a1", "a2", "a3", "a4", "a5"])
"""Ids of attempts; few, so that rules reuse them."""

GROUPS = st.sampled_from(["g1", "g2"])
"""Identifiers of memory groups."""

SECONDS = st.sampled_from([1.0, 30.0])
"""Durations of reservations, seconds."""

OWNERS = st.sampled_from(["n1/i1", "n2/i1"])
"""Owners of streams and reservations, `host/incarnation`."""

TOTAL_TOKENS = 5_000
"""KV cache memory of the engine, tokens."""

STEP_SECONDS = 0.1
"""Duration of one batch step of the engine."""

MAX_KEEP_SECONDS = 30.0
"""Maximum time for which a stream, export or reservation is kept after its end."""

MAX_HOLDERS = 8
"""Maximum number of streams, exports and reservations that wait for memory one after another."""


class EngineMachine(stateful.RuleBasedStateMachine):
    """Drives one engine step by step and checks its memory accounting."""

    def __init__(self) -> None:
        """Create an engine on a clock that the rules advance."""
        super().__init__()
        self.time = 0.0
        parameters = engine_parameters.EngineParameters(
            models=["herder"],
            memory_tokens=TOTAL_TOKENS,
            cache_tokens=3_000,
            prefill_tokens_per_second=10_000.0,
            step_seconds=STEP_SECONDS,
            cold_concurrency=4,
            concurrency=3,
            keep_seconds=MAX_KEEP_SECONDS,
            export_keep_seconds=MAX_KEEP_SECONDS,
        )
        self.engine = engine_model.Engine(parameters, lambda: self.time)
        self.exports: list[str] = []

    @stateful.rule(
        attempt=ATTEMPTS,
        tokens=st.sampled_from([100, 1_500, 2_500, 4_000, 6_000]),
        priority=st.integers(0, 1),
        group=st.sampled_from([None, None, None, "g1", "g2"]),
        crashes=st.sampled_from([False] * 19 + [True]),
    )
    def submit(
        self, attempt: str, tokens: int, priority: int, group: str | None, crashes: bool
    ) -> None:
        """Submit a prompt."""
        hashes = tuple(range(tokens // 1024 + 1))
        groups = (group,) if group else ()
        self.engine.submit(
            engine_streams.Submission(
                attempt, "n1/i1", "herder", tokens, hashes, 8, priority, groups, crashes
            )
        )

    @stateful.rule(attempt=ATTEMPTS, tokens=st.sampled_from([1_500, 2_500, 4_000]))
    def run(self, attempt: str, tokens: int) -> None:
        """Submit a prompt and run one step."""
        self.submit(attempt, tokens, 0, None, False)
        self.step(1)

    @stateful.rule(steps=st.integers(1, 3))
    def step(self, steps: int) -> None:
        """Run some batch steps."""
        for _ in range(steps):
            self.time += STEP_SECONDS
            self.engine.step()

    @stateful.rule(attempt=ATTEMPTS, owner=OWNERS)
    def deliver(self, attempt: str, owner: str) -> None:
        """Take over a stream and, if it is finished, deliver it."""
        stream = self.engine.find(attempt, owner)
        if stream is not None and stream.is_finished:
            self.engine.on_delivered(stream)

    @stateful.rule(attempt=ATTEMPTS)
    def export(self, attempt: str) -> None:
        """Export a stream."""
        item = self.engine.export(attempt)
        if item is not None:
            self.exports.append(item.export_id)

    @stateful.rule(attempt=ATTEMPTS, owner=OWNERS)
    def import_back(self, attempt: str, owner: str) -> None:
        """Import the last export into the same engine, if it still exists."""
        exports_by_id = self.engine.memory.exports_by_id
        item = exports_by_id.get(self.exports[-1]) if self.exports else None
        if item is not None:
            self.engine.import_stream(item, attempt, owner)

    @stateful.rule(
        group=GROUPS, owner=OWNERS, tokens=st.sampled_from([500, 1_500, 3_000]), seconds=SECONDS
    )
    def reserve(self, group: str, owner: str, tokens: int, seconds: float) -> None:
        """Reserve memory for a group."""
        self.engine.reserve(group, owner, tokens, seconds)

    @stateful.rule(
        kind=st.sampled_from(["cancel", "drop", "wait", "cold", "crash"]), data=st.data()
    )
    def cancel_wait_or_fail(self, kind: str, data: st.DataObject) -> None:
        """Cancel, drop a reservation and an export, let time pass, turn cold or crash."""
        if kind == "cancel":
            attempt = data.draw(ATTEMPTS)
            self.engine.cancel(attempt)
            assert self.engine.find(attempt, None) is None
        elif kind == "drop":
            self.engine.unreserve(data.draw(GROUPS))
            self.engine.drop_export(self.exports.pop() if self.exports else "none")
        elif kind == "wait":
            self.time += data.draw(st.sampled_from([0.5, 5.0, 31.0]))
        elif kind == "cold":
            self.engine.turn_cold()
        else:
            self.engine.crash("test")
            assert self.engine.memory.used_tokens == 0

    @stateful.invariant()
    def memory_is_not_overcommitted(self) -> None:
        """Used memory is within the total, and allocations belong to known streams."""
        memory = self.engine.memory
        assert 0 <= memory.used_tokens <= TOTAL_TOKENS
        kept = {stream.submission.attempt for stream in self.engine.table}
        assert set(memory.tokens_by_attempt) <= kept

    @stateful.invariant()
    def streams_match_their_state(self) -> None:
        """A running stream has memory, and exactly finished streams have all their tokens."""
        for stream in self.engine.table:
            submission = stream.submission
            running = stream in self.engine.table.running()
            held = submission.attempt in self.engine.memory.tokens_by_attempt
            assert held or not running or submission.group
            assert stream.is_finished == (stream.emitted == submission.max_tokens)

    def teardown(self) -> None:
        """Without further requests, all memory is freed."""
        for _ in range(MAX_HOLDERS):
            for _ in range(50):
                self.time += STEP_SECONDS
                self.engine.step()
            self.time += MAX_KEEP_SECONDS
        assert self.engine.activity_to_json()["memory_held_tokens"] == 0
        assert list(self.engine.table) == []


TestEngineMachine = EngineMachine.TestCase
TestEngineMachine.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=50,
    # No shrinking, which takes many minutes; the seed is fixed, so that a failure can be reproduced.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
