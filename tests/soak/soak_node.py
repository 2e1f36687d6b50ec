"""One node of the soak: the real deciding modules, connected as the node's tasks connect them."""

from __future__ import annotations

import random

from soak_environment import WALL

from dragonflycove.admission import dispatcher
from dragonflycove.admission import effects as dispatch_effects
from dragonflycove.attempts import attempts as attempt_values
from dragonflycove.attempts import effects as life_effects
from dragonflycove.attempts import request_state_machine
from dragonflycove.claims import claim_limits, claim_table, keys
from dragonflycove.claims import effects as claim_effects
from dragonflycove.claims import records as claim_records
from dragonflycove.configuration import acceptance
from dragonflycove.configuration import records as configuration_records
from dragonflycove.leases import lease_table
from dragonflycove.quarantine import quarantine, verdicts
from dragonflycove.quarantine import records as quarantine_records
from dragonflycove.reclaim import inventory, reclaimer
from dragonflycove.routing import load_view, policies
from dragonflycove.shares import cold_start, share_table
from dragonflycove.values import identifiers, outcomes

CLAIM_LIMITS = claim_limits.ClaimLimits(keys.KeyValidity(300.0, 10.0), 600.0, 5.0, 10.0, 1_000)
LAG_SECONDS = 3.0
RECLAIM_SECONDS = 5.0
SILENCE_SECONDS = 2.0
SCOPE = "placement/answers"


class Connection:
    """What a node reads from one engine connection."""

    def __init__(self, now):
        self.events = []
        self.heard_at = now
        self.is_cut = False


class SoakNode:
    """A node process."""

    def __init__(self, world, host, number):
        self.world = world
        self.identity = identifiers.NodeIdentity(host, f"start-{number}")
        rng = random.Random(f"{world.seed}/{number}")
        self.rng = rng
        self.frozen_until = 0.0
        self.is_leaving = False
        self.offsets = dict.fromkeys(("configuration", "claims", "leases", "quarantine"), 0)
        self.state = acceptance.initial_state()
        self.dispatcher = dispatcher.Dispatcher.from_config(
            self.state.configuration, "z1", policies.Policy.BORROWING, rng, host
        )
        self.shares = share_table.ShareTable(host, LAG_SECONDS, RECLAIM_SECONDS)
        self.cold = cold_start.ColdStartTracker({})
        self.quarantine = quarantine.Quarantine(self.shares, self.identity)
        self.claims = claim_table.ClaimTable.from_config(CLAIM_LIMITS, self.identity, 50.0, rng)
        self.leases = lease_table.LeaseTable(self.identity, lease_table.LeaseTimings(), rng)
        rules = reclaimer.ReclaimRules.from_config(LAG_SECONDS, RECLAIM_SECONDS)
        self.reclaimer = reclaimer.Reclaimer(self.identity, rules)
        self.cancels = {}
        self.standbys = {}
        self.peer_records = []
        self.start_ids = {}
        self.lives = {}
        self.sinks = {}
        self.server_by_request = {}
        self.held_starts = []
        self.connections = {}
        self.calls = {}
        self.next_report = self.next_inventory = self.next_orders = 0.0

    @property
    def is_frozen(self):
        return self.world.now < self.frozen_until

    @property
    def is_running(self):
        return self.world.nodes.get(self.identity.host) is self

    def step(self):
        """Do one step of every task."""
        if self.is_frozen:
            return
        now = self.world.now
        records, self.peer_records = self.peer_records, []
        for record in records:
            self.carry_quarantine(self.quarantine.on_peer_record(record, now))
        self.follow_log(now)
        self.read_hosts(now)
        if now >= self.next_report:
            self.next_report = now + 0.3
            self.read_reports(now)
        self.read_connections(now)
        self.retry_cancels()
        self.retry_held(now)
        # A request's task cancels at the deadline before the dispatcher gives its place away.
        for request_id, life in list(self.lives.items()):
            self.carry_life(request_id, life.tick(now))
        self.carry_dispatch(self.dispatcher.tick(now))
        self.carry_quarantine(self.quarantine.on_tick(now))
        self.carry_claims(self.claims.tick(now))
        for effect in self.leases.tick(now):
            self.world.log.append("leases", [effect.value], lambda result: None)
        if now >= self.next_orders:
            self.next_orders = now + 2.0
            self.give_orders(now)
        if now >= self.next_inventory:
            self.next_inventory = now + 1.0
            self.look_after_engines(now)

    # Platform ------------------------------------------------------------------------------

    def follow_log(self, now):
        log = self.world.log
        state = self.state
        for stream in self.offsets:
            for offset, appended_at, value in log.read(stream, self.offsets[stream]):
                self.offsets[stream] = offset + 1
                self.on_record(stream, offset, appended_at, value, now)
        # Only the last configuration that was read counts; work must not start by one before it.
        latest, self.state = self.state, state
        self.install(latest, now)
        if not log.is_down:
            self.claims.on_end_reached()
            self.leases.on_end_reached(now)

    def on_record(self, stream, offset, appended_at, value, now):
        if stream == "claims":
            self.carry_claims(self.claims.on_record(offset, appended_at, value, now))
        elif stream == "leases":
            self.leases.on_record(offset, appended_at, value, now)
        elif stream == "quarantine":
            record = quarantine_records.from_wire(value)
            age = max(0.0, WALL + now - appended_at)
            self.carry_quarantine(self.quarantine.on_log_record(record, offset, now, age))
        else:
            record = configuration_records.from_value(value)
            self.state = acceptance.apply(self.state, offset, record).state

    def install(self, state, now):
        """Put a configuration in force."""
        before, self.state = self.state, state
        configuration = state.configuration
        if configuration.version == before.configuration.version:
            return
        self.world.oracle.on_version(self, before.configuration, configuration)
        self.cold.on_configuration(configuration.servers_by_id)
        self.carry_dispatch(self.dispatcher.set_configuration(configuration, now))
        self.move_requests(now)

    def move_requests(self, now):
        """Move what runs at servers that may get no new work."""
        for request_id, life in list(self.lives.items()):
            point = life.resume_point
            accepts = self.state.configuration.accepts_new_work
            if point is not None and not accepts(point.server_id):
                self.carry_life(request_id, life.on_moved(outcomes.Reason.SERVER_LEAVING, now))

    def read_hosts(self, now):
        names, read_at = self.world.host_list()
        self.shares.on_host_list(names, now - read_at, now)
        self.leases.on_hosts([SCOPE], names)
        heard = {
            host: node.identity.incarnation
            for host, node in self.world.nodes.items()
            if not node.is_frozen and node is not self
        }
        self.reclaimer.on_members(names, heard, now)
        for host, node in self.world.nodes.items():
            if host in heard and node.state.snapshot.next_offset > self.state.snapshot.next_offset:
                self.install(
                    acceptance.install_snapshot(self.state, node.state.snapshot).state, now
                )
                self.offsets["configuration"] = self.state.next_offset

    def read_reports(self, now):
        for server_id, engine in self.world.engines.items():
            if not engine.is_reachable:
                continue
            start_id, running = f"s-{engine.starts}", len(engine.running)
            before = self.start_ids.get(server_id, start_id)
            self.start_ids[server_id] = start_id
            if before != start_id:
                self.carry_quarantine(self.quarantine.on_crash(server_id, now, before))
            found = self.cold.on_report(server_id, start_id, engine.finished, running, 0.0, now)
            self.tell_cold(found, now)
            report = load_view.LoadReport(
                server_id,
                0.0,
                start_id,
                running,
                0,
                (0, 0),
                (0, 0),
                sum(stream.memory_tokens for stream in engine.running),
                engine.server.memory_tokens,
                engine.finished,
                engine.server.models,
            )
            self.carry_dispatch(self.dispatcher.on_report(report, now))
        self.apply_limits(now)

    def apply_limits(self, now):
        """Tell the dispatcher its shares; a place is not free before its cancellation is sure."""
        limits = self.cold.node_limits(self.shares, now)
        for server_id in [*self.cancels.values(), *self.standbys.values()]:
            limits[server_id] = max(0, limits.get(server_id, 0) - 1)
        self.carry_dispatch(self.dispatcher.set_limits(limits, now, 1.0))

    def tell_cold(self, found, now):
        for effect in found:
            for node in self.world.nodes.values():
                if node is not self:
                    node.cold.on_peer_cold(effect.server_id, effect.start_id, now)

    # Model requests ------------------------------------------------------------------------

    def submit(self, request, sink):
        """Take a request from a caller."""
        now = self.world.now
        if self.is_leaving:
            sink(("refused", outcomes.Refused(outcomes.Reason.LEAVING, "")))
            return
        self.lives[request.request_id] = request_state_machine.RequestStateMachine(
            request, self.rng
        )
        self.sinks[request.request_id] = sink
        self.carry_dispatch(self.dispatcher.submit(request, now))

    def resume(self, request, sink, point, got):
        """Take over a stream from another node."""
        now = self.world.now
        life = request_state_machine.RequestStateMachine(request, self.rng, got, len(got))
        self.lives[request.request_id] = life
        self.sinks[request.request_id] = sink
        if point is None:
            self.carry_dispatch(self.dispatcher.submit(request, now))
        else:
            self.server_by_request[request.request_id] = point.server_id
            self.carry_life(request.request_id, life.on_taken_over(point, now))

    def hand_over(self):
        """Tell every caller to go on elsewhere; the streams stay at their engines."""
        for sink in list(self.sinks.values()):
            sink(("handed_over",))
        self.lives.clear()
        self.sinks.clear()

    def carry_dispatch(self, found):
        now = self.world.now
        for effect in found:
            if isinstance(effect, dispatch_effects.Dispatch):
                self.ask_start(effect, now)
            elif isinstance(effect, dispatch_effects.Refuse):
                self.lives.pop(effect.request_id, None)
                self.sinks.pop(effect.request_id)(("refused", effect.outcome))
            elif isinstance(effect, dispatch_effects.Fail) and effect.request_id in self.lives:
                life = self.lives[effect.request_id]
                self.carry_life(effect.request_id, life.on_no_server(effect.outcome, now))
            elif isinstance(effect, dispatch_effects.Preempt) and effect.request_id in self.lives:
                life = self.lives[effect.request_id]
                self.carry_life(effect.request_id, life.on_preempted(now))

    def ask_start(self, effect, now):
        """Start an attempt if quarantine lets it."""
        request = effect.request
        if request.request_id not in self.lives:
            return
        accepts = self.state.configuration.accepts_new_work
        candidates = frozenset(filter(accepts, self.world.engines))
        verdict = self.quarantine.verdict(request.fingerprint, now, request.request_id, candidates)
        life = self.lives[request.request_id]
        if isinstance(verdict, verdicts.Refused):
            reason = outcomes.Reason.QUARANTINED
            failed = outcomes.Failed(reason, "", outcomes.Execution.NOT_RUN)
            self.carry_life(request.request_id, life.on_no_server(failed, now))
        elif isinstance(verdict, verdicts.Wait | verdicts.AllowedOnPeers):
            self.held_starts.append((now + 0.5, effect))
        elif isinstance(verdict, verdicts.AllowedAlone) and effect.server_id not in verdict.servers:
            self.go_elsewhere(effect, verdict.servers, now)
        else:
            started = self.quarantine.on_start(
                request.fingerprint, effect.server_id, request.request_id, now
            )
            self.carry_quarantine(started)
            self.server_by_request[request.request_id] = effect.server_id
            found = life.on_dispatched(effect.server_id, effect.engine_priority, now, effect.group)
            self.carry_life(request.request_id, found)

    def go_elsewhere(self, effect, servers, now):
        """Have a suspect dispatched to a server where it may run alone."""
        request = effect.request
        excluded = frozenset(self.world.engines) - servers
        reason = outcomes.Reason.QUARANTINED
        dispatch = self.dispatcher
        found = dispatch.on_attempt_failed(request.request_id, effect.server_id, reason, now)
        self.carry_dispatch(found)
        self.carry_dispatch(dispatch.resubmit(request, now, excluded, reason))

    def retry_held(self, now):
        due = [effect for at, effect in self.held_starts if at <= now]
        self.held_starts = [entry for entry in self.held_starts if entry[0] > now]
        limits = self.cold.node_limits(self.shares, now)
        for effect in due:
            accepts = self.state.configuration.accepts_new_work(effect.server_id)
            if accepts and limits.get(effect.server_id, 0) > 0:
                self.ask_start(effect, now)
            elif effect.request.request_id in self.lives:
                # The server was barred or turned cold while the start was held.
                others = frozenset(self.world.engines) - {effect.server_id}
                self.go_elsewhere(effect, others, now)

    def carry_life(self, request_id, found):
        now = self.world.now
        for effect in found:
            if isinstance(effect, life_effects.StartAttempt):
                self.start_attempt(request_id, effect, now)
            elif isinstance(effect, life_effects.ResumeAttempt):
                sink = self.connect(request_id, effect.attempt, effect.connection, now)
                engine = self.world.engines[effect.server_id]
                if engine.is_reachable:
                    engine.resume(effect.attempt, self.identity, effect.from_index, sink)
                else:
                    sink(("broken", "unreachable"))
            elif isinstance(effect, life_effects.CancelAttempt):
                self.cancel(effect)
            elif isinstance(effect, life_effects.AbandonAttempt):
                kept = self.connections.items()
                self.connections = {k: c for k, c in kept if k[1] != effect.attempt}
            elif isinstance(effect, life_effects.Redispatch):
                self.ask_again(request_id, effect, now)
            elif isinstance(effect, life_effects.SuspectServer):
                start_id = self.start_ids.get(effect.server_id, "")
                self.carry_quarantine(self.quarantine.on_crash(effect.server_id, now, start_id))
                self.tell_cold(self.cold.on_crash(effect.server_id, now), now)
            elif isinstance(effect, life_effects.Emit):
                self.sinks[request_id](("frame", effect, self.lives[request_id].resume_point))
            else:
                self.finish(request_id, effect.outcome, now)

    def start_attempt(self, request_id, effect, now):
        sink = self.connect(request_id, effect.attempt, 0, now)
        engine = self.world.engines[effect.server_id]
        if not engine.is_reachable:
            sink(("broken", "unreachable"))
            return
        request = self.lives[request_id].request
        self.world.oracle.on_start(self, effect.server_id)
        engine.submit(
            effect.attempt, request, self.identity, request.prompt_tokens, effect.max_tokens, sink
        )

    def cancel(self, effect):
        """Cancel at the engine, again until it is confirmed; its place is taken until then."""
        self.connections = {k: c for k, c in self.connections.items() if k[1] != effect.attempt}
        self.standbys.pop(effect.attempt, None)
        self.cancels[effect.attempt] = effect.server_id
        self.apply_limits(self.world.now)

    def retry_cancels(self):
        for attempt, server_id in list(self.cancels.items()):
            engine = self.world.engines[server_id]
            if engine.is_reachable and self.rng.random() < 0.7:
                engine.streams.pop(attempt, None)
                del self.cancels[attempt]

    def ask_again(self, request_id, effect, now):
        request = self.lives[request_id].request
        self.carry_quarantine(self.quarantine.on_end(request_id, False, now))
        server_id = self.server_by_request.get(request_id, "")
        point = self.lives[request_id].resume_point
        if point is not None:
            # The attempt goes on until the new one's first frame, and holds its place.
            self.standbys[point.attempt] = point.server_id
        if request_id not in self.dispatcher._table.entries_by_id:
            self.carry_dispatch(self.dispatcher.submit(request, now))
            return
        found = self.dispatcher.on_attempt_failed(request_id, server_id, effect.reason, now)
        self.carry_dispatch(found)
        found = self.dispatcher.resubmit(request, now, effect.excluded, effect.reason)
        self.carry_dispatch(found)

    def finish(self, request_id, outcome, now):
        is_whole = isinstance(outcome, outcomes.Answered)
        self.carry_quarantine(self.quarantine.on_end(request_id, is_whole, now))
        self.lives.pop(request_id)
        for owner, attempt, _ in self.connections:
            if owner == request_id:
                self.standbys.pop(attempt, None)
        self.connections = {k: c for k, c in self.connections.items() if k[0] != request_id}
        self.sinks.pop(request_id)(("over", outcome))
        end = self.dispatcher.on_finished if is_whole else self.dispatcher.withdraw
        self.carry_dispatch(end(request_id, now))

    def connect(self, request_id, attempt, number, now):
        """Return where an engine leaves the events of a new connection."""
        key = (request_id, attempt, number)
        connection = self.connections[key] = Connection(now)

        def take(event):
            if not connection.is_cut and self.is_running:
                connection.events.append(event)

        return take

    def read_connections(self, now):
        for key, connection in list(self.connections.items()):
            request_id, attempt, number = key
            if connection.events:
                connection.heard_at = now
            elif now >= connection.heard_at + SILENCE_SECONDS:
                connection.events.append(("broken", "silent"))
            events, connection.events = connection.events, []
            for event in events:
                if request_id in self.lives:
                    self.on_event(request_id, attempt, number, event, now)
            if events and events[-1][0] in ("broken", "unknown"):
                self.connections.pop(key, None)

    def on_event(self, request_id, attempt, number, event, now):
        life = self.lives[request_id]
        if event[0] == "frame":
            if event[1] == 0:
                self.carry_dispatch(self.dispatcher.on_first_token(request_id, now))
            if request_id in self.lives:
                self.carry_life(request_id, life.on_frame(attempt, *event[1:], now))
        elif event[0] == "unknown":
            self.carry_life(request_id, life.on_resume_unknown(attempt, now))
        elif event[0] == "broken":
            kind = life_effects.BreakKind(event[1])
            self.carry_life(request_id, life.on_broken(attempt, kind, now, number))

    def carry_quarantine(self, found):
        now = self.world.now
        for effect in found:
            if isinstance(effect, verdicts.SendToPeers):
                self.tell(set(self.world.nodes) - {self.identity.host}, effect.record)
            elif isinstance(effect, verdicts.SendToWitnesses):
                for node in self.world.nodes.values():
                    if node.identity.host in effect.hosts:
                        node.peer_records.append(effect.record)
            elif isinstance(effect, verdicts.SendToWitnesses):
                self.tell(self.world.nodes.keys() & set(effect.hosts), effect.record)
            elif isinstance(effect, verdicts.AppendLog):
                value = quarantine_records.to_wire(effect.record)
                self.append_quarantine(value)
            elif effect.request_id in self.lives:
                life = self.lives[effect.request_id]
                self.carry_life(effect.request_id, life.on_preempted(now))

    def tell(self, hosts, record):
        """Send a record to peers, which read it in their next step."""
        for host in sorted(hosts):
            self.world.nodes[host].peer_records.append(record)

    def append_quarantine(self, value):
        """Append a record, and again until it is confirmed or the process is gone."""

        def on_result(result):
            if result != "done" and self.is_running:
                self.append_quarantine(value)

        self.world.log.append("quarantine", [value], on_result)

    # Calls that are not idempotent, leases, reclaim -------------------------------------------

    def call(self, call, sink):
        """Take a call from a caller."""
        now = self.world.now
        self.calls[call.request_id] = sink
        self.carry_claims(self.claims.begin(call, now, WALL + now))

    def carry_claims(self, found):
        for effect in found:
            if isinstance(effect, claim_effects.Append):
                self.append_claims(effect)
            elif isinstance(effect, claim_effects.Send):
                self.world.after(self.rng.choice([0.0, 0.0, 0.3]), lambda e=effect: self.send(e))
            else:
                self.calls.pop(effect.request_id)(effect)

    def append_claims(self, effect):
        def on_result(result):
            now = self.world.now
            if not self.is_running:
                return
            table, operation = self.claims, effect.operation_id
            if result == "done":
                self.carry_claims(table.on_append_done(operation, now))
            elif result == "refused":
                self.carry_claims(table.on_append_not_done(operation, now, 1.0))
            else:
                self.carry_claims(table.on_append_unknown(operation, now))

        self.world.log.append("claims", effect.records, on_result)

    def send(self, effect):
        """Check and send; the process may be frozen or killed between the two."""
        now = self.world.now
        if not self.is_running:
            return
        if self.is_frozen:
            self.world.after(1.0, lambda: self.send(effect))
            return
        if not self.claims.try_mark_sent(effect.claim_id, now):
            reason = outcomes.Reason.DEADLINE
            self.carry_claims(self.claims.withdraw(effect.claim_id, reason, now))
            return
        delay = self.rng.choice([0.05, 0.05, 0.05, 8.0])
        self.world.after(delay, lambda: self.arrive(effect))

    def arrive(self, effect):
        """The call reaches the service, whatever became of the node since."""
        key = effect.call.idempotency_key
        body = self.world.service.run(key)
        is_lost = self.rng.random() < 0.1
        answer = None if is_lost else claim_records.Response(200, "", body)
        if self.is_running:
            now = self.world.now
            self.carry_claims(self.claims.on_response(effect.claim_id, answer, now))

    def give_orders(self, now):
        for engine in self.world.engines.values():
            checks = engine.server.checks_fencing
            number = self.leases.fencing_token(SCOPE, checks, now)
            if number is not None:
                pause = self.rng.choice([0.0, 0.1, 6.0])
                self.world.after(pause, lambda e=engine, n=number: self.world.order(e, n))

    def look_after_engines(self, now):
        known = {point.attempt for _, life in self.lives.items() if (point := life.resume_point)}
        known |= {attempt for _, attempt, _ in self.connections}
        for server_id, engine in self.world.engines.items():
            if not engine.is_reachable:
                continue
            items = tuple(
                inventory.Item(inventory.Kind.STREAM, attempt, stream.owner)
                for attempt, stream in engine.streams.items()
            )
            held = inventory.Inventory(f"s-{engine.starts}", items)
            for effect in self.reclaimer.on_inventory(server_id, held, frozenset(known), now):
                engine.streams.pop(effect.attempt, None)


ResumePoint = attempt_values.ResumePoint
