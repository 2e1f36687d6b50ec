"""State machine of a request's life: engines that fail, connections that lose frames, callers that
come and go."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dragonflycove.attempts import effects, request_state_machine
from dragonflycove.values import outcomes, requests

ENGINES = ("e-0", "e-1", "e-2")
MAX_TOKENS = 8
DEADLINE = 300.0
KINDS = effects.BreakKind


class Stream:
    """What an engine runs under one attempt; its tokens tell where they come from."""

    def __init__(self, start):
        self.start = start
        self.tokens = []
        self.is_running = True
        self.length = start.max_tokens if start.max_tokens % 2 else max(1, start.max_tokens - 1)

    def generate(self):
        """Generate the next token."""
        if self.is_running:
            self.tokens.append(f"{self.start.attempt}/{len(self.tokens)};")
            self.is_running = len(self.tokens) < self.length

    def frames(self, from_index):
        """Return the frames from an index on."""
        last = self.length - 1
        return [
            (index, self.tokens[index], "stop" if index == last else None)
            for index in range(from_index, len(self.tokens))
        ]


class Life(stateful.RuleBasedStateMachine):
    """The oracle is the caller: it holds an exact sequence, and engines hold nothing at the end."""

    def __init__(self):
        super().__init__()
        request = requests.ModelRequest(
            "r", "a", "s", "m", 9, MAX_TOKENS, (1,), requests.Urgency.BATCH, DEADLINE
        )
        self.life = request_state_machine.RequestStateMachine(
            request, random.Random(1), caller_grace_seconds=20.0
        )
        self.now = 0.0
        self.streams = {}
        self.base_by_attempt = {}
        self.connections = {}
        self.got = []
        self.texts = []
        self.prefixes = []
        self.is_attached = True
        self.is_asked = True
        self.ran = False
        self.outcome = None
        self.dispatch("e-0", "run")

    def carry_out(self, found):
        for effect in found:
            assert self.outcome is None, "something came after the end"
            if isinstance(effect, effects.Emit):
                self.take_emitted(effect)
            elif isinstance(effect, effects.StartAttempt):
                self.prefixes.append(effect.delivered_text)
                self.check_prefixes()
                assert effect.delivered_text.count(";") == effect.base_index
                assert effect.base_index + effect.max_tokens == MAX_TOKENS
                self.base_by_attempt[effect.attempt] = effect.base_index
                self.streams[effect.attempt] = Stream(effect)
                self.connections = {(effect.attempt, 0): [], **self.connections}
                self.streams[effect.attempt].engine = effect.server_id
            elif isinstance(effect, effects.ResumeAttempt):
                self.resume(effect)
            elif isinstance(effect, effects.CancelAttempt | effects.AbandonAttempt):
                # What is left to reclaim is freed there.
                self.streams.pop(effect.attempt, None)
            elif isinstance(effect, effects.Redispatch):
                assert not self.is_asked
                self.is_asked = True
            elif isinstance(effect, effects.Finish):
                self.outcome = effect.outcome

    def take_emitted(self, effect):
        """Check a frame that the caller is handed."""
        assert self.is_attached
        assert effect.frame_index == len(self.got), "a frame is missing or doubled"
        assert not self.got or self.got[-1].finish is None
        self.got.append(effect)
        if effect.frame_index == len(self.texts):
            self.texts.append(effect.token)
            self.check_prefixes()
        assert effect.token == self.texts[effect.frame_index]
        if effect.token:
            attempt, index = effect.token.rstrip(";").split("/")
            assert self.base_by_attempt[attempt] + int(index) == effect.frame_index

    def check_prefixes(self):
        """Check that engines went on from the text that the caller gets."""
        text = "".join(self.texts)
        for prefix in self.prefixes:
            assert text.startswith(prefix) or prefix.startswith(text)

    def resume(self, effect):
        """Open a fresh connection to an attempt."""
        stream = self.streams.get(effect.attempt)
        queue = [("unknown",)] if stream is None else self.frames(stream, effect.from_index)
        self.connections[(effect.attempt, effect.connection)] = queue

    @staticmethod
    def frames(stream, from_index):
        return [("frame", *frame) for frame in stream.frames(from_index)]

    @stateful.rule(
        engine=st.sampled_from(ENGINES),
        fate=st.sampled_from(["run"] * 6 + ["refuse", "none"]),
        tokens=st.integers(0, 3),
        index=st.integers(0, 9),
    )
    def serve(self, engine, fate, tokens, index):
        """A server is found where one was asked for; engines go on; a connection delivers."""
        if fate == "none":
            self.no_server()
        self.dispatch(engine, fate)
        self.generate(tokens, False)
        self.deliver(index, 5, False)

    def dispatch(self, engine, fate):
        if not self.is_asked or self.outcome is not None:
            return
        self.is_asked = False
        before = set(self.streams)
        self.carry_out(self.life.on_dispatched(engine, 0, self.now))
        for attempt in set(self.streams) - before:
            if fate == "refuse":
                del self.streams[attempt]
                kind = random.Random(self.now).choice([KINDS.REFUSED_NOT_RUN, KINDS.UNREACHABLE])
                self.connections[(attempt, 0)] = [("broken", kind)]
            else:
                self.ran = True

    def no_server(self):
        if self.is_asked and self.outcome is None:
            self.is_asked = False
            failed = outcomes.Failed(outcomes.Reason.NO_SERVER, "", outcomes.Ran.NOT_RUN)
            self.carry_out(self.life.on_no_server(failed, self.now))

    @stateful.rule(tokens=st.integers(1, 4), losing=st.booleans())
    def generate(self, tokens, losing):
        """Engines go on; what they send is lost or queued on each open connection."""
        for attempt, stream in self.streams.items():
            before = len(stream.tokens)
            for _ in range(tokens):
                stream.generate()
            frames = self.frames(stream, before)
            for (owner, _), queue in self.connections.items():
                if owner == attempt and (not queue or queue[-1][0] == "frame"):
                    queue.extend(frames[1:] if losing else frames)

    @stateful.rule(index=st.integers(0, 9), count=st.integers(1, 5), doubled=st.booleans())
    def deliver(self, index, count, doubled):
        """Hand the life what waits on one connection, be it an old one."""
        ready = [key for key, queue in self.connections.items() if queue]
        if not ready:
            return
        attempt, connection = ready[index % len(ready)]
        queue = self.connections[(attempt, connection)]
        for _ in range(min(count, len(queue))):
            self.hand_in(attempt, connection, queue.pop(0), 2 if doubled else 1)

    def hand_in(self, attempt, connection, event, times):
        for _ in range(times):
            if event[0] == "frame":
                found = self.life.on_frame(attempt, *event[1:], self.now)
            elif event[0] == "unknown":
                found = self.life.on_resume_unknown(attempt, self.now)
            else:
                found = self.life.on_broken(attempt, event[1], self.now, connection)
            self.carry_out(found)

    @stateful.rule(index=st.integers(0, 9), kind=st.sampled_from([KINDS.SILENT, KINDS.CRASHED]))
    def cut(self, index, kind):
        """A connection goes silent or breaks; frames on it are lost."""
        if self.connections:
            key = list(self.connections)[index % len(self.connections)]
            self.connections[key] = [("broken", kind)]

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def crash(self, engine):
        """An engine dies with all its streams."""
        for attempt in [a for a, s in self.streams.items() if s.engine == engine]:
            del self.streams[attempt]
            for key in self.connections:
                if key[0] == attempt:
                    self.connections[key].append(("broken", KINDS.CRASHED))

    @stateful.rule(kind=st.sampled_from(["moved", "preempted"]))
    def displace(self, kind):
        if kind == "moved":
            reason = outcomes.Reason.SERVER_LEAVING
            self.carry_out(self.life.on_moved(reason, self.now))
        else:
            self.carry_out(self.life.on_preempted(self.now))

    @stateful.rule()
    def caller_leaves(self):
        self.is_attached = False
        self.carry_out(self.life.on_caller_gone(self.now))

    @stateful.rule(lost=st.integers(0, 2))
    def caller_returns(self, lost):
        """The caller comes back; it may not have got the last frames."""
        if self.outcome is None:
            self.is_attached = True
            self.got = self.got[: max(0, len(self.got) - lost)]
            self.carry_out(self.life.on_caller_resumed(len(self.got), self.now))

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 12.0]))
    def pass_time(self, seconds):
        self.now += seconds
        self.carry_out(self.life.tick(self.now))

    def teardown(self):
        """At the deadline the request is over, the answer is whole or failed, engines are free."""
        self.now = DEADLINE
        self.carry_out(self.life.tick(self.now))
        assert self.outcome is not None
        held = [attempt for attempt, stream in self.streams.items() if stream.is_running]
        assert held == [], "an engine is left with a stream"
        if isinstance(self.outcome, outcomes.Answered):
            assert self.got[-1].finish is not None
        elif self.ran:
            assert self.outcome.ran is not outcomes.Ran.NOT_RUN


TestLife = Life.TestCase
TestLife.settings = hypothesis.settings(max_examples=500, stateful_step_count=40)
