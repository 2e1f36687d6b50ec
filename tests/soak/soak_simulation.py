"""The soak: nodes, the outside world, faults drawn from a seed, and the promises as the oracle."""

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
END_SECONDS = 230.0
NOTICE_SECONDS = 6.0
COLD_NOTICE_SECONDS = 2.0
LIST_LAG_SECONDS = 1.5


class BreachError(AssertionError):
    """A promise was broken."""


class Oracle:
    """Checks the promises as things happen."""

    def __init__(self, world):
        self.world = world
        self.text_by_version = {}
        self.barred_since_by_server = {}
        self.poisoned = set()
        self.counts = collections.Counter()

    def check(self, holds, promise, detail):
        if not holds:
            trace = "\n".join(self.world.trace)
            raise BreachError(
                f"seed {self.world.seed} at {self.world.now:.1f}: {promise}: "
                f"{vars(detail) if hasattr(detail, 'key') else detail}\n{trace}"
            )

    def on_version(self, node, before, after):
        self.check(after.version > before.version, "a configuration reverted", node.identity)
        known = self.text_by_version.setdefault(after.version, repr(after))
        self.check(known == repr(after), "one version has two contents", after.version)

    def on_truth(self, configuration):
        """Note since when each server is barred from new work."""
        for server_id, server in configuration.servers_by_id.items():
            if server.leaving or server.zone in configuration.zones_out:
                self.barred_since_by_server.setdefault(server_id, self.world.now)
            else:
                self.barred_since_by_server.pop(server_id, None)

    def on_start(self, node, server_id):
        """A node starts new work at a server."""
        self.counts["starts"] += 1
        since = self.barred_since_by_server.get(server_id, self.world.now)
        if self.world.log.down_until > since - 1.0:
            return
        late = self.world.now - since
        self.check(late <= NOTICE_SECONDS, f"new work {late:.1f} s after bar", server_id)

    def on_engine_start(self, engine, request):
        bound = engine.server.cold_concurrency
        is_known = self.world.now > engine.cold_since + COLD_NOTICE_SECONDS
        over = engine.is_cold and is_known and len(engine.running) > bound
        self.check(not over, f"{len(engine.running)} streams in cold start", engine.server)

    def on_poison(self, engine, owner):
        """Count a crash, unless the only node that knew its cause is gone or paused right then."""
        crash = (engine.server.server_id, engine.starts)
        self.world.after(3.0, lambda: self.count_poison(crash, owner, self.world.now))

    def count_poison(self, crash, owner, at):
        node = self.world.nodes.get(owner.host)
        if node is None or node.identity != owner or node.frozen_until > at:
            return
        self.poisoned.add(crash)
        self.check(len(self.poisoned) <= 2, "one prompt crashed too many servers", self.poisoned)

    def on_model_outcome(self, caller, outcome):
        self.counts[type(outcome).__name__] += 1
        if not isinstance(outcome, outcomes.Answered):
            self.counts[outcome.reason.value] += 1
        late = self.world.now - caller.request.deadline
        self.check(late <= 1.0, f"an outcome {late:.1f} s late", caller.request)

    def check_step(self):
        for key, ran in self.world.service.ran.items():
            self.check(ran <= 1, "a call ran twice", key)
        for node in self.world.live_nodes():
            for life in node.lives.values():
                is_late = self.world.now > life.request.deadline + 0.5
                self.check(not is_late, "a request is past its deadline", life.request)

    def check_end(self):
        for engine in self.world.engines.values():
            held = list(engine.streams)
            self.check(not held, "an engine lost memory", (engine.server.server_id, held))
        truth = self.world.truth.configuration.version
        for node in self.world.live_nodes():
            version = node.state.configuration.version
            self.check(version == truth, f"version {version}, not {truth}", node.identity)
        for caller in self.world.model_callers:
            self.check(caller.outcome is not None, "a caller got no outcome", caller.request)


class World:
    """All of one run."""

    def __init__(self, seed, fault_seconds=FAULT_SECONDS):
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.trace = collections.deque(maxlen=40)
        self.fault_seconds = fault_seconds
        self._due = []
        self._order = itertools.count()
        self.oracle = Oracle(self)
        self.log = soak_environment.Log(self)
        self.service = soak_environment.PlainService()
        self.truth = acceptance.initial_state()
        self.truth_offset = 0
        self.operations = itertools.count()
        self.starts = itertools.count(1)
        self.leaving = set()
        self.poison = None
        text = self.make_text("first")
        first = configuration_records.TextProposed("op-first", 0, "maria", text)
        stream = configuration_records.STREAM
        self.log.land(stream, [configuration_records.to_value(first)])
        self.engines = {}
        self.nodes = {}
        self.listed = [(0.0, frozenset())]
        self.callers = []
        self.follow_truth()
        for server in self.truth.configuration.servers_by_id.values():
            self.engines[server.server_id] = soak_environment.Engine(self, server)
        for host in ("quito-1", "quito-2", "quito-3"):
            self.start_node(host)

    @property
    def model_callers(self):
        return [c for c in self.callers if isinstance(c, soak_callers.ModelCaller)]

    def after(self, delay, callback):
        heapq.heappush(self._due, (self.now + delay, next(self._order), callback))

    def run_due(self, until):
        while self._due and self._due[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = until

    def note(self, text):
        self.trace.append(f"{self.now:7.1f} {text}")

    def live_nodes(self):
        return [node for node in self.nodes.values() if not node.is_frozen]

    def host_list(self):
        """Return the list as it was a while ago, and when it was true."""
        read_at = max(0.0, self.now - LIST_LAG_SECONDS)
        return [names for at, names in self.listed if at <= read_at][-1], read_at

    def list_hosts(self, names):
        self.listed.append((self.now, frozenset(names)))

    def start_node(self, host):
        node = soak_node.SoakNode(self, host, next(self.starts))
        for peer in self.nodes.values():
            node.peer_records += peer.quarantine.known_records(host, self.now)
        self.nodes[host] = node
        self.list_hosts(self.listed[-1][1] | {host})

    def order(self, engine, number):
        """An order arrives at an engine."""
        if engine.server.checks_fencing and number < engine.fencing:
            return
        is_new = number >= engine.fencing
        self.oracle.check(is_new, "an old holder's order came after a new one's", number)
        engine.fencing = number

    # Operators -------------------------------------------------------------------------------

    def make_text(self, name):
        servers = {
            f"e-{zone}-{index}": {
                "service": "answers",
                "zone": zone,
                "address": f"127.0.0.1:{1 + 2 * ZONES.index(zone) + index}",
                "models": ["m"],
                "memory_tokens": soak_environment.ENGINE_MEMORY_TOKENS,
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
        """Append a record of the configuration; an unknown answer leads to the same one again."""

        def on_result(result):
            if result != "done":
                self.after(1.0, lambda: self.propose(record))

        self.log.append(
            configuration_records.STREAM, [configuration_records.to_value(record)], on_result
        )

    def follow_truth(self):
        """Apply every record the moment that it is in the log."""
        stream = self.log.records_by_stream[configuration_records.STREAM]
        while self.truth_offset < len(stream):
            record = configuration_records.from_value(stream[self.truth_offset][1])
            self.truth = acceptance.apply(self.truth, self.truth_offset, record).state
            self.truth_offset += 1
            self.oracle.on_truth(self.truth.configuration)

    def set_zone(self, zone, is_out):
        operation = f"op-{next(self.operations)}"
        self.propose(
            configuration_records.ZoneChanged(
                operation, self.truth_offset - 1, "maria", zone, is_out
            )
        )

    def race_texts(self):
        """Two operators publish texts that were edited from the same version."""
        base = self.truth.configuration.version
        self.leaving = {self.rng.choice(list(self.engines))} if self.rng.random() < 0.7 else set()
        for author in ("maria", "bat"):
            operation = f"op-{next(self.operations)}"
            text = self.make_text(author)
            record = configuration_records.TextProposed(operation, base, author, text)
            self.propose(record)

    # Faults -----------------------------------------------------------------------------------

    def draw_fault(self):
        rng = self.rng
        engine = rng.choice(list(self.engines.values()))
        node = rng.choice(list(self.nodes.values())) if self.nodes else None
        zone = rng.choice(ZONES)
        faults = {
            "engine crashes": engine.crash,
            "engine turns cold": engine.turn_cold,
            "engine is cut off": lambda: self.cut_engine(engine, rng.uniform(1.0, 8.0)),
            "log is down": lambda: self.stop_log(rng.uniform(2.0, 30.0)),
            "log is slow": lambda: setattr(self.log, "slow_until", self.now + 15.0),
            "zone out": lambda: self.take_zone_out(zone),
            "texts race": self.race_texts,
            "poison": lambda: None if self.poison else self.send_poison(5),
        }
        if node is not None and len(self.nodes) > 1:
            faults["node dies"] = lambda: self.kill(node)
            faults["node stops"] = lambda: self.stop(node)
            faults["node pauses"] = lambda: self.freeze(node, rng.uniform(1.0, 25.0))
            faults["connections go silent"] = lambda: self.cut_connections(node)
        name = rng.choice(list(faults))
        self.note(f"{name}: {engine.server.server_id} {zone} {node and node.identity}")
        faults[name]()

    def cut_engine(self, engine, seconds):
        engine.cut_until = self.now + seconds
        for stream in engine.streams.values():
            stream.sinks = []

    def stop_log(self, seconds):
        self.log.down_until = self.now + seconds

    def cut_connections(self, node):
        for connection in node.connections.values():
            connection.is_cut = self.rng.random() < 0.7

    def take_zone_out(self, zone):
        if not self.truth.configuration.zones_out:
            self.set_zone(zone, True)
            self.after(self.rng.uniform(10.0, 25.0), lambda: self.set_zone(zone, False))

    def send_poison(self, times):
        """A caller sends a prompt that crashes engines, and sends it again after each outcome."""
        if self.poison is not None and self.poison.outcome is None:
            self.after(1.0, lambda: self.send_poison(times))
        elif times and self.now < self.fault_seconds + 20.0:
            number = 10_000 + next(self.operations)
            self.poison = soak_callers.ModelCaller(self, number, True)
            self.callers.append(self.poison)
            self.after(1.0, lambda: self.send_poison(times - 1))

    def freeze(self, node, seconds):
        if not node.is_frozen:
            node.frozen_since = self.now
            node.frozen_until = self.now + seconds

    def kill(self, node):
        if self.nodes.pop(node.identity.host, None) is node:
            self.after(1.0, lambda: self.unlist(node.identity.host))
            host = node.identity.host
            if self.rng.random() < 0.5:
                host = f"quito-{next(self.starts)}"
            self.after(self.rng.uniform(3.0, 10.0), lambda: self.start_node(host))

    def unlist(self, host):
        if host not in self.nodes:
            self.list_hosts(self.listed[-1][1] - {host})

    def stop(self, node):
        """Stop a node gracefully: new work is refused, then streams are handed over."""
        node.is_leaving = True

        def hand_over():
            if node.is_running and not node.is_frozen:
                node.hand_over()
                self.kill(node)

        self.after(8.0, hand_over)

    # The run ----------------------------------------------------------------------------------

    def run(self):
        next_fault = 5.0
        numbers = itertools.count()
        while self.now < self.fault_seconds + END_SECONDS - FAULT_SECONDS:
            self.run_due(self.now + soak_environment.STEP_SECONDS)
            self.follow_truth()
            is_loaded = self.now < self.fault_seconds + 20.0
            if is_loaded and self.rng.random() < 0.15:
                self.callers.append(soak_callers.ModelCaller(self, next(numbers)))
            if is_loaded and self.rng.random() < 0.05:
                self.callers.append(soak_callers.PlainCaller(self, next(numbers)))
            if self.now >= next_fault and self.now < self.fault_seconds:
                next_fault = self.now + self.rng.expovariate(0.25)
                for _ in range(self.rng.choice([1, 1, 2, 3])):
                    self.draw_fault()
            for engine in self.engines.values():
                engine.step()
            for node in list(self.nodes.values()):
                node.step()
            for caller in self.callers:
                caller.step()
            self.oracle.check_step()
        self.oracle.check_end()
        return self.oracle.counts
