"""Callers of the soak: they go to another node when theirs is gone, and check what they get."""

from __future__ import annotations

from soak_environment import WALL

from dragonflycove.values import outcomes, requests

PATIENCE_SECONDS = 3.0
SILENT_ABOUT_KEY = {
    outcomes.Reason.LOG_UNAVAILABLE,
    outcomes.Reason.KEY_EXPIRED,
    outcomes.Reason.KEY_FROM_FUTURE,
}


class ModelCaller:
    """Sends a prompt, and resumes its stream at another node when its own is gone."""

    def __init__(self, world, number, is_poison=False):
        self.world = world
        rng = world.rng
        self.request = requests.ModelRequest(
            f"r-{number}",
            "poison" if is_poison else "andrade",
            "answers",
            "m",
            1_000 if is_poison else rng.choice([1_000, 1_000, 4_000, 30_000, 90_000]),
            rng.randint(4, 20),
            (number if not is_poison else 7,),
            rng.choice([requests.Urgency.INTERACTIVE, requests.Urgency.BATCH]),
            world.now + rng.choice([20.0, 40.0]),
        )
        self.got = []
        self.point = None
        self.outcome = None
        self.generation = 0
        self.node = None
        self.go()

    def go(self):
        """Go to a node: with a new request, or to resume."""
        nodes = [n for n in self.world.live_nodes() if n is not self.node and not n.is_leaving]
        if not nodes:
            return
        self.generation += 1
        self.node = self.world.rng.choice(nodes)
        self.asked_at = self.world.now
        sink = self.make_sink(self.generation)
        if self.generation == 1:
            self.node.submit(self.request, sink)
            return
        # A node answers a request that it knows already on the caller's new connection.
        if self.request.request_id in self.node.lives:
            self.node.sinks[self.request.request_id] = sink
            life = self.node.lives[self.request.request_id]
            found = life.on_caller_resumed(len(self.got), self.world.now)
            self.node.carry_life(self.request.request_id, found)
        else:
            self.node.resume(self.request, sink, self.point, list(self.got))

    def make_sink(self, generation):
        def take(event):
            if generation == self.generation and self.outcome is None:
                self.take(event)

        return take

    def take(self, event):
        kind = event[0]
        if kind == "frame":
            _, emitted, self.point = event
            check = self.world.oracle.check
            check(emitted.frame_index == len(self.got), "a frame is missing or doubled", self)
            owner = emitted.token.split(":")[0] or self.request.request_id
            check(owner == self.request.request_id, "another request's answer", self)
            self.got.append(emitted.token)
        elif kind == "handed_over":
            self.node = None
            self.world.after(0.1, self.go)
        else:
            self.outcome = event[1]
            self.world.oracle.on_model_outcome(self, event[1])

    def step(self):
        if self.outcome is not None:
            return
        node = self.node
        is_gone = node is None or not node.is_running or node.is_frozen
        if is_gone and self.world.now >= self.request.deadline:
            self.outcome = "the caller's own deadline passed while its node was gone"
        elif (
            node is None
            or not node.is_running
            or node.is_frozen
            and self.world.now > node.frozen_since + PATIENCE_SECONDS
        ):
            self.leave(node)

    def leave(self, node):
        """Leave a node that is gone; should it live, it sees the connection close."""
        if node is not None and self.request.request_id in node.lives:
            node.lives[self.request.request_id].on_caller_gone(self.world.now)
        self.go()


class PlainCaller:
    """Sends a call that may not be repeated, and sends it again elsewhere with the same key."""

    def __init__(self, world, number):
        self.world = world
        self.key = f"{int(WALL + world.now)}-key{number:06d}"
        self.sent = 0
        self.outcome = None
        self.asked_at = 0.0
        self.go()

    def go(self):
        nodes = self.world.live_nodes()
        if not nodes:
            return
        self.sent += 1
        self.asked_at = self.world.now
        node = self.world.rng.choice(nodes)
        call = requests.ServiceCall(
            f"{self.key}/{self.sent}",
            "tengri",
            "bookings",
            "POST",
            "/bookings",
            "body",
            False,
            self.key,
            self.world.now + 10.0,
        )
        node.call(call, self.take)

    def take(self, effect):
        ran = self.world.service.ran[self.key]
        check = self.world.oracle.check
        outcome = effect.outcome
        if isinstance(outcome, outcomes.Answered):
            check(ran == 1 and effect.response.body == f"ran {self.key}".encode(), "wrong", self)
        elif isinstance(outcome, outcomes.Refused) and outcome.reason not in SILENT_ABOUT_KEY:
            check(ran == 0, "refused as not run, but it ran", self)
        self.outcome = outcome

    def step(self):
        """Send again after an answer that is no answer, and sometimes out of impatience."""
        is_answered = isinstance(self.outcome, outcomes.Answered)
        waited = self.world.now - self.asked_at
        if self.sent < 6 and not is_answered and waited > PATIENCE_SECONDS:
            self.go()
