"""Guards against lost, duplicated or reordered frames and streams left at engines.

Random interleavings of engine failures, frames lost on connections, dispatches, preemptions and
callers that disconnect and reconnect.
"""

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
AttemptFailureKind = effects.AttemptFailureKind


class Stream:
    """Stream of one attempt at an engine; each token names its attempt and index."""

    def __init__(self, start):
        self.start = start
        self.tokens = []
        self.is_running = True
        self.length = start.max_tokens if start.max_tokens % 2 else max(1, start.max_tokens - 1)

    def generate(self):
        """Generate the next token, until the stream has its complete length."""
        if self.is_running:
            self.tokens.append(f"{self.start.attempt}/{len(self.tokens)};")
            self.is_running = len(self.tokens) < self.length

    def frames(self, from_index):
        """Return the frames from an index on, the last one with a finish reason."""
        last = self.length - 1
        return [
            (index, self.tokens[index], "stop" if index == last else None)
            for index in range(from_index, len(self.tokens))
        ]


class RequestMachine(stateful.RuleBasedStateMachine):
    """Checks that the caller receives an exact sequence and engines hold no stream at the end."""

    def __init__(self):
        super().__init__()
        request = requests.ModelRequest(
            "r", "a", "s", "m", 9, MAX_TOKENS, (1,), requests.Urgency.BATCH, DEADLINE
        )
        self.machine = request_state_machine.RequestStateMachine(
            request, random.Random(1), caller_grace_seconds=20.0
        )
        self.now = 0.0
        self.streams = {}
        self.base_by_attempt = {}
        self.connections = {}
        self.received = []
        self.texts = []
        self.prefixes = []
        self.is_attached = True
        self.is_awaiting_dispatch = True
        self.ran = False
        self.outcome = None
        self.dispatch("e-0", "run")

    def perform(self, found):
        for effect in found:
            assert self.outcome is None, "an effect came after the end of the request"
            if isinstance(effect, effects.Emit):
                self.check_emitted(effect)
            elif isinstance(effect, effects.StartAttempt):
                self.prefixes.append(effect.received_text)
                self.check_prefixes()
                assert effect.received_text.count(";") == effect.base_index
                assert effect.base_index + effect.max_tokens == MAX_TOKENS
                self.base_by_attempt[effect.attempt] = effect.base_index
                self.streams[effect.attempt] = Stream(effect)
                self.connections = {(effect.attempt, 0): [], **self.connections}
                self.streams[effect.attempt].engine = effect.server_id
            elif isinstance(effect, effects.ResumeAttempt):
                self.resume(effect)
            elif isinstance(effect, effects.CancelAttempt | effects.AbandonAttempt):
                # Reclaim frees an abandoned stream.
                self.streams.pop(effect.attempt, None)
            elif isinstance(effect, effects.Redispatch):
                assert not self.is_awaiting_dispatch
                self.is_awaiting_dispatch = True
            elif isinstance(effect, effects.Finish):
                self.outcome = effect.outcome

    def check_emitted(self, effect):
        """Check a frame that is sent to the caller."""
        assert self.is_attached
        assert effect.frame_index == len(self.received), "a frame is missing or duplicated"
        assert not self.received or self.received[-1].finish is None
        self.received.append(effect)
        if effect.frame_index == len(self.texts):
            self.texts.append(effect.token)
            self.check_prefixes()
        assert effect.token == self.texts[effect.frame_index]
        if effect.token:
            attempt, index = effect.token.rstrip(";").split("/")
            assert self.base_by_attempt[attempt] + int(index) == effect.frame_index

    def check_prefixes(self):
        """Check that each attempt continued from the text that the caller receives."""
        text = "".join(self.texts)
        for prefix in self.prefixes:
            assert text.startswith(prefix) or prefix.startswith(text)

    def resume(self, effect):
        """Open a new connection to an attempt's stream."""
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
    def dispatch_and_run(self, engine, fate, tokens, index):
        """Dispatch the request if it awaits that, let engines generate, deliver some frames."""
        if fate == "none":
            self.no_server()
        self.dispatch(engine, fate)
        self.generate(tokens, False)
        self.deliver(index, 5, False)

    def dispatch(self, engine, fate):
        if not self.is_awaiting_dispatch or self.outcome is not None:
            return
        self.is_awaiting_dispatch = False
        before = set(self.streams)
        self.perform(self.machine.on_dispatched(engine, 0, self.now))
        for attempt in set(self.streams) - before:
            if fate == "refuse":
                del self.streams[attempt]
                kind = random.Random(self.now).choice(
                    [AttemptFailureKind.REFUSED_NOT_RUN, AttemptFailureKind.UNREACHABLE]
                )
                self.connections[(attempt, 0)] = [("broken", kind)]
            else:
                self.ran = True

    def no_server(self):
        if self.is_awaiting_dispatch and self.outcome is None:
            self.is_awaiting_dispatch = False
            failed = outcomes.Failed(outcomes.Reason.NO_SERVER, "", outcomes.Execution.NOT_RUN)
            self.perform(self.machine.on_no_server(failed, self.now))

    @stateful.rule(tokens=st.integers(1, 4), is_losing=st.booleans())
    def generate(self, tokens, is_losing):
        """Let engines generate; frames are queued on open connections, or the first one is lost."""
        for attempt, stream in self.streams.items():
            before = len(stream.tokens)
            for _ in range(tokens):
                stream.generate()
            frames = self.frames(stream, before)
            for (owner, _), queue in self.connections.items():
                if owner == attempt and (not queue or queue[-1][0] == "frame"):
                    queue.extend(frames[1:] if is_losing else frames)

    @stateful.rule(index=st.integers(0, 9), count=st.integers(1, 5), is_duplicated=st.booleans())
    def deliver(self, index, count, is_duplicated):
        """Deliver events queued on one connection, which may be an old one."""
        ready = [key for key, queue in self.connections.items() if queue]
        if not ready:
            return
        attempt, connection = ready[index % len(ready)]
        queue = self.connections[(attempt, connection)]
        for _ in range(min(count, len(queue))):
            self.handle_event(attempt, connection, queue.pop(0), 2 if is_duplicated else 1)

    def handle_event(self, attempt, connection, event, times):
        for _ in range(times):
            if event[0] == "frame":
                found = self.machine.on_frame(attempt, *event[1:], self.now)
            elif event[0] == "unknown":
                found = self.machine.on_resume_unknown(attempt, self.now)
            else:
                found = self.machine.on_attempt_failed(attempt, event[1], self.now, connection)
            self.perform(found)

    @stateful.rule(
        index=st.integers(0, 9),
        kind=st.sampled_from([AttemptFailureKind.SILENT, AttemptFailureKind.CRASHED]),
    )
    def cut(self, index, kind):
        """Reset a connection or let it time out; its queued frames are lost."""
        if self.connections:
            key = list(self.connections)[index % len(self.connections)]
            self.connections[key] = [("broken", kind)]

    @stateful.rule(engine=st.sampled_from(ENGINES))
    def crash(self, engine):
        """Crash an engine, which loses all its streams."""
        for attempt in [a for a, s in self.streams.items() if s.engine == engine]:
            del self.streams[attempt]
            for key in self.connections:
                if key[0] == attempt:
                    self.connections[key].append(("broken", AttemptFailureKind.CRASHED))

    @stateful.rule(kind=st.sampled_from(["moved", "preempted"]))
    def move_or_preempt(self, kind):
        """Ask for another server because this one is leaving, or preempt the request."""
        if kind == "moved":
            reason = outcomes.Reason.SERVER_LEAVING
            self.perform(self.machine.on_moved(reason, self.now))
        else:
            self.perform(self.machine.on_preempted(self.now))

    @stateful.rule()
    def caller_disconnects(self):
        self.is_attached = False
        self.perform(self.machine.on_caller_disconnected(self.now))

    @stateful.rule(lost=st.integers(0, 2))
    def caller_reconnects(self, lost):
        """Reconnect the caller, which may not have received the last frames."""
        if self.outcome is None:
            self.is_attached = True
            self.received = self.received[: max(0, len(self.received) - lost)]
            self.perform(self.machine.on_caller_resumed(len(self.received), self.now))

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 12.0]))
    def pass_time(self, seconds):
        self.now += seconds
        self.perform(self.machine.tick(self.now))

    def teardown(self):
        """At the deadline: the request has completed or failed, and no engine runs a stream."""
        self.now = DEADLINE
        self.perform(self.machine.tick(self.now))
        assert self.outcome is not None
        held = [attempt for attempt, stream in self.streams.items() if stream.is_running]
        assert held == [], "an engine still runs a stream"
        if isinstance(self.outcome, outcomes.Answered):
            assert self.received[-1].finish is not None
        elif self.ran:
            assert self.outcome.ran is not outcomes.Execution.NOT_RUN


TestRequestMachine = RequestMachine.TestCase
TestRequestMachine.settings = hypothesis.settings(max_examples=500, stateful_step_count=40)
