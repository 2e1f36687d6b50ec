"""Simulates nodes, callers and backends under random faults, and checks invariants at every step.

A seed fixes the whole run.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import json
import random

import soak_callers
import soak_environment
import soak_node

from dragonflycove.configuration import acceptance
from dragonflycove.configuration import records as configuration_records
from dragonflycove.values import outcomes

ZONES = ("cayambe", "latacunga", "riobamba")
FAULT_SECONDS = 100.0
"""Time in which faults are injected."""

TOTAL_SECONDS = 230.0
"""Length of a run with that fault time; the rest lets everything recover."""

MAX_CONFIGURATION_DELAY_SECONDS = 6.0
"""Time after which no node may start work at a server that was closed to new work."""

MAX_COLD_REPORT_DELAY_SECONDS = 2.0
"""Time after which all nodes must keep to the limit of an engine that turned cold."""

HOST_LIST_LAG_SECONDS = 1.5
"""Age of the host list that nodes read."""


class InvariantViolationError(AssertionError):
    """An invariant doesn't hold; the message has the seed, the time and the last faults."""


class Oracle:
    """Checks invariants at events, after each step and at the end of a run."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.text_by_version = {}
        self.blocked_since_by_server = {}
        self.prompt_crashes = set()
        self.counts = collections.Counter()

    def check(self, is_met, invariant, detail):
        if not is_met:
            trace = "\n".join(self.simulation.trace)
            raise InvariantViolationError(
                f"seed {self.simulation.seed} at {self.simulation.now:.1f}: {invariant}: "
                f"{vars(detail) if hasattr(detail, 'key') else detail}\n{trace}"
            )

    def on_version(self, node, before, after):
        self.check(
            after.version > before.version,
            "a node went back to an earlier configuration",
            node.identity,
        )
        known = self.text_by_version.setdefault(after.version, repr(after))
        self.check(known == repr(after), "one version has two contents", after.version)

    def on_log_state(self, configuration):
        """Record since when each server is closed to new work."""
        for server_id, server in configuration.servers_by_id.items():
            if server.leaving or server.zone in configuration.zones_out:
                self.blocked_since_by_server.setdefault(server_id, self.simulation.now)
            else:
                self.blocked_since_by_server.pop(server_id, None)

    def on_start(self, node, server_id):
        """Check a node's start of an attempt, unless the log was down around the server's closing."""
        self.counts["starts"] += 1
        blocked_since = self.blocked_since_by_server.get(server_id, self.simulation.now)
        if self.simulation.log.down_until > blocked_since - 1.0:
            return
        seconds_late = self.simulation.now - blocked_since
        self.check(
            seconds_late <= MAX_CONFIGURATION_DELAY_SECONDS,
            f"new work {seconds_late:.1f} s after the server was closed",
            server_id,
        )

    def on_engine_start(self, engine, request):
        max_streams = engine.server.cold_concurrency
        is_known = self.simulation.now > engine.cold_since + MAX_COLD_REPORT_DELAY_SECONDS
        is_over_limit = engine.is_cold and is_known and len(engine.running_streams) > max_streams
        self.check(
            not is_over_limit, f"{len(engine.running_streams)} streams in cold start", engine.server
        )

    def on_crash_prompt(self, engine, owner):
        """Count a crash 3 s later, unless the only node that knows its cause is gone or frozen."""
        crash = (engine.server.server_id, engine.start_count)
        self.simulation.call_later(
            3.0, lambda: self.count_prompt_crash(crash, owner, self.simulation.now)
        )

    def count_prompt_crash(self, crash, owner, crashed_at):
        node = self.simulation.nodes.get(owner.host)
        if node is None or node.identity != owner or node.frozen_until > crashed_at:
            return
        self.prompt_crashes.add(crash)
        self.check(
            len(self.prompt_crashes) <= 2,
            "one prompt crashed too many servers",
            self.prompt_crashes,
        )

    def on_model_outcome(self, caller, outcome):
        self.counts[type(outcome).__name__] += 1
        if not isinstance(outcome, outcomes.Answered):
            self.counts[outcome.reason.value] += 1
        seconds_late = self.simulation.now - caller.request.deadline
        self.check(seconds_late <= 1.0, f"an outcome {seconds_late:.1f} s late", caller.request)

    def check_step(self):
        for key, executions in self.simulation.service.executions_by_key.items():
            self.check(executions <= 1, "a call ran twice", key)
        for node in self.simulation.live_nodes():
            for machine in node.machines.values():
                is_late = self.simulation.now > machine.request.deadline + 0.5
                self.check(not is_late, "a request is past its deadline", machine.request)

    def check_end(self):
        for engine in self.simulation.engines.values():
            held = list(engine.stream_by_attempt)
            self.check(not held, "an engine still holds attempts", (engine.server.server_id, held))
        latest_version = self.simulation.log_state.configuration.version
        for node in self.simulation.live_nodes():
            version = node.state.configuration.version
            self.check(
                version == latest_version, f"version {version}, not {latest_version}", node.identity
            )
        for caller in self.simulation.model_callers:
            self.check(caller.outcome is not None, "a caller got no outcome", caller.request)


class Simulation:
    """State of one run: simulated time, nodes, engines, log, callers and scheduled callbacks."""

    def __init__(self, seed, fault_seconds=FAULT_SECONDS):
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.trace = collections.deque(maxlen=40)
        self.fault_seconds = fault_seconds
        self._scheduled = []
        self._sequence_numbers = itertools.count()
        self.oracle = Oracle(self)
        self.log = soak_environment.Log(self)
        self.service = soak_environment.PlainService()
        self.log_state = acceptance.initial_state()
        self.applied_offset = 0
        self.operation_numbers = itertools.count()
        self.node_numbers = itertools.count(1)
        self.leaving = set()
        self.crash_prompt_caller = None
        text = self.make_text("first")
        first = configuration_records.TextProposed("op-first", 0, "maria", text)
        stream = configuration_records.STREAM
        self.log.write(stream, [configuration_records.to_value(first)])
        self.engines = {}
        self.nodes = {}
        self.host_list_history = [(0.0, frozenset())]
        self.callers = []
        self.apply_log_records()
        for server in self.log_state.configuration.servers_by_id.values():
            self.engines[server.server_id] = soak_environment.Engine(self, server)
        for host in ("quito-1", "quito-2", "quito-3"):
            self.start_node(host)

    @property
    def model_callers(self):
        return [c for c in self.callers if isinstance(c, soak_callers.ModelCaller)]

    def call_later(self, delay, callback):
        heapq.heappush(self._scheduled, (self.now + delay, next(self._sequence_numbers), callback))

    def run_until(self, until):
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now = until

    def add_to_trace(self, text):
        self.trace.append(f"{self.now:7.1f} {text}")

    def live_nodes(self):
        return [node for node in self.nodes.values() if not node.is_frozen]

    def host_list(self):
        """Return the host list as it was `HOST_LIST_LAG_SECONDS` ago, and that time."""
        read_at = max(0.0, self.now - HOST_LIST_LAG_SECONDS)
        return [names for listed_at, names in self.host_list_history if listed_at <= read_at][
            -1
        ], read_at

    def record_host_list(self, names):
        self.host_list_history.append((self.now, frozenset(names)))

    def start_node(self, host):
        node = soak_node.SoakNode(self, host, next(self.node_numbers))
        for peer in self.nodes.values():
            node.peer_records += peer.quarantine.known_records(host, self.now)
        self.nodes[host] = node
        self.record_host_list(self.host_list_history[-1][1] | {host})

    def receive_order(self, engine, number):
        """Accept a lease holder's order at an engine, or reject an outdated fencing token."""
        if engine.server.checks_fencing and number < engine.fencing:
            return
        is_current = number >= engine.fencing
        self.oracle.check(
            is_current,
            "an order of an earlier lease holder took effect after one of a later holder",
            number,
        )
        engine.fencing = number

    # Operators -------------------------------------------------------------------------------

    def make_text(self, name):
        servers = {
            f"e-{zone}-{index}": {
                "service": "answers",
                "zone": zone,
                "address": f"127.0.0.1:{1 + 2 * ZONES.index(zone) + index}",
                "models": ["m"],
                "memory_tokens": soak_environment.ENGINE_KV_CACHE_TOKENS,
                "prefill_tokens_per_second": 20_000.0,
                "concurrency": 6,
                "cold_concurrency": 2,
                "warm_after_requests": 4,
                "checks_fencing": index == 0,
                "leaving": f"e-{zone}-{index}" in self.leaving,
            }
            for zone in ZONES
            for index in range(2)
        }
        return json.dumps(
            {
                "zones": list(ZONES),
                "services": {"answers": {"kind": "model", "models": ["m"]}},
                "servers": servers,
                "organisations": {name: {} for name in ("andrade", "poison", name)},
            }
        )

    def propose(self, record):
        """Append a configuration record, and retry the same one until it is confirmed."""

        def on_result(result):
            if result != "done":
                self.call_later(1.0, lambda: self.propose(record))

        self.log.append(
            configuration_records.STREAM, [configuration_records.to_value(record)], on_result
        )

    def apply_log_records(self):
        """Apply all new configuration records of the log to `log_state`, without the nodes' delay."""
        stream = self.log.records_by_stream[configuration_records.STREAM]
        while self.applied_offset < len(stream):
            record = configuration_records.from_value(stream[self.applied_offset][1])
            self.log_state = acceptance.apply(self.log_state, self.applied_offset, record).state
            self.applied_offset += 1
            self.oracle.on_log_state(self.log_state.configuration)

    def set_zone(self, zone, is_out):
        operation = f"op-{next(self.operation_numbers)}"
        self.propose(
            configuration_records.ZoneChanged(
                operation, self.applied_offset - 1, "maria", zone, is_out
            )
        )

    def publish_concurrently(self):
        """Let two operators publish texts that were edited from the same version."""
        base = self.log_state.configuration.version
        self.leaving = {self.rng.choice(list(self.engines))} if self.rng.random() < 0.7 else set()
        for author in ("maria", "bat"):
            operation = f"op-{next(self.operation_numbers)}"
            text = self.make_text(author)
            record = configuration_records.TextProposed(operation, base, author, text)
            self.propose(record)

    # Faults -----------------------------------------------------------------------------------

    def inject_fault(self):
        rng = self.rng
        engine = rng.choice(list(self.engines.values()))
        node = rng.choice(list(self.nodes.values())) if self.nodes else None
        zone = rng.choice(ZONES)
        faults = {
            "engine crashes": engine.crash,
            "engine turns cold": engine.turn_cold,
            "engine is unreachable": lambda: self.disconnect_engine(engine, rng.uniform(1.0, 8.0)),
            "log is down": lambda: self.take_log_down(rng.uniform(2.0, 30.0)),
            "log is slow": lambda: setattr(self.log, "slow_until", self.now + 15.0),
            "zone out": lambda: self.take_zone_out(zone),
            "texts are published concurrently": self.publish_concurrently,
            "prompt crashes engines": lambda: (
                None if self.crash_prompt_caller else self.send_crash_prompts(5)
            ),
        }
        if node is not None and len(self.nodes) > 1:
            faults["node is killed"] = lambda: self.kill(node)
            faults["node stops"] = lambda: self.stop(node)
            faults["node freezes"] = lambda: self.freeze(node, rng.uniform(1.0, 25.0))
            faults["connections stop delivering"] = lambda: self.silence_connections(node)
        name = rng.choice(list(faults))
        self.add_to_trace(f"{name}: {engine.server.server_id} {zone} {node and node.identity}")
        faults[name]()

    def disconnect_engine(self, engine, seconds):
        engine.unreachable_until = self.now + seconds
        for stream in engine.stream_by_attempt.values():
            stream.sinks = []

    def take_log_down(self, seconds):
        self.log.down_until = self.now + seconds

    def silence_connections(self, node):
        for connection in node.connection_by_key.values():
            connection.drops_events = self.rng.random() < 0.7

    def take_zone_out(self, zone):
        if not self.log_state.configuration.zones_out:
            self.set_zone(zone, True)
            self.call_later(self.rng.uniform(10.0, 25.0), lambda: self.set_zone(zone, False))

    def send_crash_prompts(self, times):
        """Send a prompt that crashes engines, and resend it after each outcome, `times` in all."""
        if self.crash_prompt_caller is not None and self.crash_prompt_caller.outcome is None:
            self.call_later(1.0, lambda: self.send_crash_prompts(times))
        elif times and self.now < self.fault_seconds + 20.0:
            number = 10_000 + next(self.operation_numbers)
            self.crash_prompt_caller = soak_callers.ModelCaller(self, number, True)
            self.callers.append(self.crash_prompt_caller)
            self.call_later(1.0, lambda: self.send_crash_prompts(times - 1))

    def freeze(self, node, seconds):
        if not node.is_frozen:
            node.frozen_since = self.now
            node.frozen_until = self.now + seconds

    def kill(self, node):
        if self.nodes.pop(node.identity.host, None) is node:
            self.call_later(1.0, lambda: self.remove_host(node.identity.host))
            host = node.identity.host
            if self.rng.random() < 0.5:
                host = f"quito-{next(self.node_numbers)}"
            self.call_later(self.rng.uniform(3.0, 10.0), lambda: self.start_node(host))

    def remove_host(self, host):
        if host not in self.nodes:
            self.record_host_list(self.host_list_history[-1][1] - {host})

    def stop(self, node):
        """Stop a node gracefully: new work is refused, then streams are handed over."""
        node.is_leaving = True

        def hand_over():
            if node.is_running and not node.is_frozen:
                node.hand_over()
                self.kill(node)

        self.call_later(8.0, hand_over)

    # The run ----------------------------------------------------------------------------------

    def run(self):
        next_fault_at = 5.0
        caller_numbers = itertools.count()
        while self.now < self.fault_seconds + TOTAL_SECONDS - FAULT_SECONDS:
            self.run_until(self.now + soak_environment.STEP_SECONDS)
            self.apply_log_records()
            is_loaded = self.now < self.fault_seconds + 20.0
            if is_loaded and self.rng.random() < 0.15:
                self.callers.append(soak_callers.ModelCaller(self, next(caller_numbers)))
            if is_loaded and self.rng.random() < 0.05:
                self.callers.append(soak_callers.PlainCaller(self, next(caller_numbers)))
            if self.now >= next_fault_at and self.now < self.fault_seconds:
                next_fault_at = self.now + self.rng.expovariate(0.25)
                for _ in range(self.rng.choice([1, 1, 2, 3])):
                    self.inject_fault()
            for engine in self.engines.values():
                engine.step()
            for node in list(self.nodes.values()):
                node.step()
            for caller in self.callers:
                caller.step()
            self.oracle.check_step()
        self.oracle.check_end()
        return self.oracle.counts
