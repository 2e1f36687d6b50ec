"""Simulated callers, which switch nodes when theirs is unavailable, and check every response."""

from __future__ import annotations

from soak_environment import UNIX_TIME_AT_START

from dragonflycove.values import outcomes, requests

CALLER_TIMEOUT_SECONDS = 3.0
"""Time after which a caller gives up on a frozen node, or resends a call."""

REASONS_WITHOUT_KEY_STATE = {
    outcomes.Reason.LOG_UNAVAILABLE,
    outcomes.Reason.KEY_EXPIRED,
    outcomes.Reason.KEY_FROM_FUTURE,
}
"""Refusals that don't tell whether an earlier call with the same key ran."""


class ModelCaller:
    """Sends a prompt, and resumes the stream at another node when its node is unavailable."""

    def __init__(self, simulation, number, crashes_engines=False):
        self.simulation = simulation
        rng = simulation.rng
        self.request = requests.ModelRequest(
            f"r-{number}",
            "poison" if crashes_engines else "andrade",
            "answers",
            "m",
            1_000 if crashes_engines else rng.choice([1_000, 1_000, 4_000, 30_000, 90_000]),
            rng.randint(4, 20),
            (number if not crashes_engines else 7,),
            rng.choice([requests.Urgency.INTERACTIVE, requests.Urgency.BATCH]),
            simulation.now + rng.choice([20.0, 40.0]),
        )
        self.received_tokens = []
        self.resume_point = None
        self.outcome = None
        self.generation = 0
        self.node = None
        self.connect_to_node()

    def connect_to_node(self):
        """Choose another node and submit the request, or resume its stream there."""
        nodes = [n for n in self.simulation.live_nodes() if n is not self.node and not n.is_leaving]
        if not nodes:
            return
        self.generation += 1
        self.node = self.simulation.rng.choice(nodes)
        self.sent_at = self.simulation.now
        sink = self.make_sink(self.generation)
        if self.generation == 1:
            self.node.submit(self.request, sink)
            return
        # A node that already runs the request continues it on the caller's new connection.
        if self.request.request_id in self.node.machines:
            self.node.sink_by_request[self.request.request_id] = sink
            machine = self.node.machines[self.request.request_id]
            effects = machine.on_caller_resumed(len(self.received_tokens), self.simulation.now)
            self.node.apply_machine_effects(self.request.request_id, effects)
        else:
            self.node.resume(self.request, sink, self.resume_point, list(self.received_tokens))

    def make_sink(self, generation):
        def receive(event):
            if generation == self.generation and self.outcome is None:
                self.receive(event)

        return receive

    def receive(self, event):
        kind = event[0]
        if kind == "frame":
            _, emitted, self.resume_point = event
            check = self.simulation.oracle.check
            check(
                emitted.frame_index == len(self.received_tokens),
                "a frame is missing or duplicated",
                self,
            )
            owner = emitted.token.split(":")[0] or self.request.request_id
            check(owner == self.request.request_id, "a token of another request", self)
            self.received_tokens.append(emitted.token)
        elif kind == "handed_over":
            self.node = None
            self.simulation.call_later(0.1, self.connect_to_node)
        else:
            self.outcome = event[1]
            self.simulation.oracle.on_model_outcome(self, event[1])

    def step(self):
        if self.outcome is not None:
            return
        node = self.node
        is_node_unavailable = node is None or not node.is_running or node.is_frozen
        if is_node_unavailable and self.simulation.now >= self.request.deadline:
            self.outcome = "the caller's deadline passed while its node was unavailable"
        elif (
            node is None
            or not node.is_running
            or node.is_frozen
            and self.simulation.now > node.frozen_since + CALLER_TIMEOUT_SECONDS
        ):
            self.leave_node(node)

    def leave_node(self, node):
        """Switch to another node; a frozen node sees that the connection was closed."""
        if node is not None and self.request.request_id in node.machines:
            node.machines[self.request.request_id].on_caller_disconnected(self.simulation.now)
        self.connect_to_node()


class PlainCaller:
    """Sends a call that isn't idempotent, and resends it to any node with the same key."""

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.key = f"{int(UNIX_TIME_AT_START + simulation.now)}-key{number:06d}"
        self.send_count = 0
        self.outcome = None
        self.sent_at = 0.0
        self.connect_to_node()

    def connect_to_node(self):
        nodes = self.simulation.live_nodes()
        if not nodes:
            return
        self.send_count += 1
        self.sent_at = self.simulation.now
        node = self.simulation.rng.choice(nodes)
        call = requests.ServiceCall(
            f"{self.key}/{self.send_count}",
            "tengri",
            "bookings",
            "POST",
            "/bookings",
            "body",
            False,
            self.key,
            self.simulation.now + 10.0,
        )
        node.submit_call(call, self.receive)

    def receive(self, effect):
        execution_count = self.simulation.service.executions_by_key[self.key]
        check = self.simulation.oracle.check
        outcome = effect.outcome
        if isinstance(outcome, outcomes.Answered):
            check(
                execution_count == 1 and effect.response.body == f"ran {self.key}".encode(),
                "an answered call did not run once or has another response",
                self,
            )
        elif (
            isinstance(outcome, outcomes.Refused)
            and outcome.reason not in REASONS_WITHOUT_KEY_STATE
        ):
            check(execution_count == 0, "a call that was refused as not run has run", self)
        self.outcome = outcome

    def step(self):
        """Resend after the timeout, up to six sends, unless the last outcome is a response."""
        is_answered = isinstance(self.outcome, outcomes.Answered)
        waited = self.simulation.now - self.sent_at
        if self.send_count < 6 and not is_answered and waited > CALLER_TIMEOUT_SECONDS:
            self.connect_to_node()
