"""State machine test of several memory group builders that compete for the same engines.

It fails if a ready group lacks a reservation at an engine, if a request outlives its deadline, or
if reservations leak. Orders may be lost or arrive late, responses may be lost, and engines and
owners die at any step.
"""

from __future__ import annotations

import random
from typing import NamedTuple

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from dragonflycove.placement import memory_groups

CAPACITY_TOKENS = 100
ENGINES = ("e1", "e2", "e3", "e4")
DEADLINE_SECONDS = 400.0
RNGS = st.integers(0, 1 << 30).map(random.Random)


class Engine:
    """Reference model of one engine's reservations."""

    def __init__(self) -> None:
        self.expiry_by_group: dict[str, tuple[int, float]] = {}

    def free(self, now: float) -> int:
        """Remove expired reservations and return the free KV cache, tokens."""
        kept = {group: held for group, held in self.expiry_by_group.items() if held[1] > now}
        self.expiry_by_group = kept
        return CAPACITY_TOKENS - sum(tokens for tokens, _ in kept.values())

    def execute(self, order: memory_groups.Reserve | memory_groups.Release, now: float) -> bool:
        """Carry out an order and return whether it was granted."""
        free = self.free(now)
        if isinstance(order, memory_groups.Release):
            self.expiry_by_group.pop(order.group_id, None)
            return True
        held = self.expiry_by_group.get(order.group_id, (0, 0.0))[0]
        if order.tokens > free + held:
            return False
        self.expiry_by_group[order.group_id] = (order.tokens, now + order.expires_in_seconds)
        return True


class Message(NamedTuple):
    """An order in transit; `sender` is `None` once nobody waits for the response."""

    sender: memory_groups.GroupBuilder | None
    order: memory_groups.Reserve | memory_groups.Release
    granted: bool | None = None
    """The response, once the engine has carried out the order; `None` before."""


class Groups(hypothesis.stateful.RuleBasedStateMachine):
    """Several owners that build groups from the same engines."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.engines = {server_id: Engine() for server_id in ENGINES}
        self.messages: list[Message] = []
        self.builders: list[memory_groups.GroupBuilder] = []
        self.dead: list[memory_groups.GroupBuilder] = []
        self.deadlines: dict[str, float] = {}
        self.ready: dict[str, memory_groups.GroupReady] = {}
        self.ever_ready = 0

    @hypothesis.stateful.rule(
        tokens=st.sampled_from([150, 250, 400, 500]), seconds=st.sampled_from([20, 100, 400])
    )
    def new_request(self, tokens: int, seconds: int) -> None:
        number = len(self.builders) + len(self.dead)
        request = memory_groups.GroupRequest(f"r{number}", tokens, self.now + seconds)
        self.deadlines[f"h{number}/1"] = request.deadline
        builder = memory_groups.GroupBuilder(request, f"h{number}/1", random.Random(number))
        self.builders.append(builder)
        self._start(builder)

    @hypothesis.stateful.precondition(lambda self: self.messages)
    @hypothesis.stateful.rule(
        index=st.integers(0, 9), answer=st.sampled_from(["comes", "lost", "late"])
    )
    def deliver(self, index: int, answer: str) -> None:
        message = self.messages.pop(index % len(self.messages))
        granted = message.granted
        if granted is None:
            granted = self.engines[message.order.server_id].execute(message.order, self.now)
        if answer == "late":
            self.messages.append(message._replace(granted=granted))
        elif message.sender is not None:
            self._respond(message.sender, message.order, granted if answer == "comes" else None)

    @hypothesis.stateful.precondition(lambda self: self.messages)
    @hypothesis.stateful.rule(index=st.integers(0, 9), late=st.booleans())
    def lose_order(self, index: int, late: bool) -> None:
        message = self.messages.pop(index % len(self.messages))
        if late and message.granted is None:
            self.messages.append(Message(None, message.order))
        if message.sender is not None:
            self._respond(message.sender, message.order, None)

    @hypothesis.stateful.rule(
        seconds=st.sampled_from([2, 12, 40]),
        loss_percent=st.sampled_from([0, 20, 60, 100]),
        rng=RNGS,
    )
    def network_runs(self, seconds: int, loss_percent: int, rng: random.Random) -> None:
        for _ in range(seconds * 2):
            for _ in range(len(self.messages)):
                if rng.randrange(100) >= loss_percent:
                    self.deliver(0, rng.choice(["comes", "comes", "lost", "late"]))
                else:
                    self.lose_order(0, rng.random() < 0.5)
            self.time_passes(0.5)
            self.a_ready_group_is_held_whole()

    @hypothesis.stateful.rule(server_id=st.sampled_from(ENGINES))
    def engine_dies(self, server_id: str) -> None:
        self.engines[server_id] = Engine()
        for builder in self.builders:
            self._send(builder, builder.on_engine_died(server_id, self.now))

    @hypothesis.stateful.precondition(lambda self: self.builders)
    @hypothesis.stateful.rule(index=st.integers(0, 9))
    def owner_dies(self, index: int) -> None:
        builder = self.builders.pop(index % len(self.builders))
        self.dead.append(builder)
        self.ready.pop(builder.group_id, None)
        self.messages = [
            message._replace(sender=None) if message.sender is builder else message
            for message in self.messages
        ]

    @hypothesis.stateful.precondition(lambda self: self.builders)
    @hypothesis.stateful.rule(index=st.integers(0, 9))
    def request_ends(self, index: int) -> None:
        builder = self.builders[index % len(self.builders)]
        self.ready.pop(builder.group_id, None)
        self._send(builder, builder.on_request_ended(self.now))

    @hypothesis.stateful.rule(seconds=st.sampled_from([0.5, 2, 9, 31]))
    def time_passes(self, seconds: float) -> None:
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            for builder in self.builders:
                self._send(builder, builder.on_tick(self.now))
                if builder.is_retry_due(self.now):
                    self._start(builder)
                ended = builder.phase is memory_groups.Phase.ENDED
                assert ended or self.now < self.deadlines[builder.owner]

    @hypothesis.stateful.invariant()
    def a_ready_group_is_held_whole(self) -> None:
        for group_id, group in self.ready.items():
            for server_id in group.servers:
                self.engines[server_id].free(self.now)
                assert group_id in self.engines[server_id].expiry_by_group

    def teardown(self) -> None:
        """Check that, without further losses, every request ends and no reservation leaks."""
        last = self.now + DEADLINE_SECONDS
        while self.now < last:
            self._settle()
            self.time_passes(0.5)
            for group in list(self.ready.values()):
                builder = next(b for b in self.builders if b.group_id == group.group_id)
                self.ready.pop(group.group_id)
                self._send(builder, builder.on_request_ended(self.now))
        self._settle()
        assert all(builder.is_done for builder in self.builders)
        self.now += memory_groups.EXPIRY_SECONDS
        assert [engine.free(self.now) for engine in self.engines.values()] == [CAPACITY_TOKENS] * 4

    def _settle(self) -> None:
        while self.messages:
            self.deliver(0, "comes")

    def _start(self, builder: memory_groups.GroupBuilder) -> None:
        free = [
            memory_groups.Candidate(server_id, engine.free(self.now))
            for server_id, engine in self.engines.items()
        ]
        self._send(builder, builder.on_start(free, self.now))

    def _respond(
        self,
        builder: memory_groups.GroupBuilder,
        order: memory_groups.Reserve | memory_groups.Release,
        granted: bool | None,
    ) -> None:
        key = (order.server_id, order.group_id)
        if isinstance(order, memory_groups.Release):
            if granted is None:
                self._send(builder, builder.on_release_response_lost(*key, self.now))
            else:
                builder.on_released(*key)
        elif granted is None:
            self._send(builder, builder.on_reservation_response_lost(*key, self.now))
        elif granted:
            self._send(builder, builder.on_granted(*key, self.now))
        else:
            self._send(builder, builder.on_denied(*key, self.now))

    def _send(
        self, builder: memory_groups.GroupBuilder, effects: list[memory_groups.Effect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, memory_groups.Reserve | memory_groups.Release):
                self.messages.append(Message(builder, effect))
            elif isinstance(effect, memory_groups.GroupReady):
                self.ready[effect.group_id] = effect
                self.ever_ready += 1
            else:
                self.ready.pop(builder.group_id, None)


TestGroups = Groups.TestCase
TestGroups.settings = hypothesis.settings(max_examples=100, stateful_step_count=20)


def test_two_owners_that_need_all_engines_do_not_block_each_other() -> None:
    groups = Groups()
    groups.new_request(400, 400)
    groups.new_request(400, 400)
    groups.teardown()
    assert groups.ever_ready == 2
