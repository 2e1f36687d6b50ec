"""A simulated node: the real decision modules, connected in the way that the node's tasks do it."""

from __future__ import annotations

import random

from soak_environment import UNIX_TIME_AT_START

from dragonflycove.admission import dispatcher
from dragonflycove.admission import effects as dispatch_effects
from dragonflycove.attempts import attempts as attempt_values
from dragonflycove.attempts import effects as attempt_effects
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
MAX_HOST_LIST_LAG_SECONDS = 3.0
"""Maximum age of the host list that nodes assume."""

RECLAIM_SECONDS = 5.0
"""Time within which the attempts and shares of a dead node are freed."""

ENGINE_TIMEOUT_SECONDS = 2.0
"""Time without an event after which a connection to an engine counts as broken."""

LEASE_SCOPE = "placement/answers"
"""Scope of the lease whose holder sends orders to engines."""


class Connection:
    """Received events of one connection to an engine, which the node handles in its next step."""

    def __init__(self, now):
        self.events = []
        self.last_event_at = now
        self.drops_events = False


class SoakNode:
    """One process of a node; a restarted node is another object with another incarnation."""

    def __init__(self, simulation, host, number):
        self.simulation = simulation
        self.identity = identifiers.NodeIdentity(host, f"start-{number}")
        rng = random.Random(f"{simulation.seed}/{number}")
        self.rng = rng
        self.frozen_until = 0.0
        self.is_leaving = False
        self.next_offset_by_stream = dict.fromkeys(
            ("configuration", "claims", "leases", "quarantine"), 0
        )
        self.state = acceptance.initial_state()
        self.dispatcher = dispatcher.Dispatcher.from_config(
            self.state.configuration, "z1", policies.Policy.BORROWING, rng, host
        )
        self.shares = share_table.ShareTable(host, MAX_HOST_LIST_LAG_SECONDS, RECLAIM_SECONDS)
        self.cold_start_tracker = cold_start.ColdStartTracker({})
        self.quarantine = quarantine.Quarantine(self.shares, self.identity)
        self.claims = claim_table.ClaimTable.from_config(CLAIM_LIMITS, self.identity, 50.0, rng)
        self.leases = lease_table.LeaseTable(self.identity, lease_table.LeaseTimings(), rng)
        reclaim_rules = reclaimer.ReclaimRules.from_config(
            MAX_HOST_LIST_LAG_SECONDS, RECLAIM_SECONDS
        )
        self.reclaimer = reclaimer.Reclaimer(self.identity, reclaim_rules)
        self.server_by_pending_cancel = {}
        self.server_by_standby_attempt = {}
        self.peer_records = []
        self.start_id_by_server = {}
        self.machines = {}
        self.sink_by_request = {}
        self.server_by_request = {}
        self.deferred_starts = []
        self.connection_by_key = {}
        self.sink_by_call = {}
        self.next_report_at = self.next_inventory_at = self.next_orders_at = 0.0

    @property
    def is_frozen(self):
        return self.simulation.now < self.frozen_until

    @property
    def is_running(self):
        return self.simulation.nodes.get(self.identity.host) is self

    def step(self):
        """Run one step of every task, unless the process is frozen."""
        if self.is_frozen:
            return
        now = self.simulation.now
        records, self.peer_records = self.peer_records, []
        for record in records:
            self.apply_quarantine_effects(self.quarantine.on_peer_record(record, now))
        self.follow_log(now)
        self.read_hosts(now)
        if now >= self.next_report_at:
            self.next_report_at = now + 0.3
            self.read_reports(now)
        self.read_connections(now)
        self.retry_pending_cancels()
        self.retry_deferred_starts(now)
        # At its deadline a request must cancel its attempt before the dispatcher reuses its slot.
        for request_id, machine in list(self.machines.items()):
            self.apply_machine_effects(request_id, machine.tick(now))
        self.apply_dispatch_effects(self.dispatcher.tick(now))
        self.apply_quarantine_effects(self.quarantine.on_tick(now))
        self.apply_claim_effects(self.claims.tick(now))
        for effect in self.leases.tick(now):
            self.simulation.log.append("leases", [effect.value], lambda result: None)
        if now >= self.next_orders_at:
            self.next_orders_at = now + 2.0
            self.send_orders(now)
        if now >= self.next_inventory_at:
            self.next_inventory_at = now + 1.0
            self.reclaim_attempts(now)

    # Platform ------------------------------------------------------------------------------

    def follow_log(self, now):
        log = self.simulation.log
        state = self.state
        for stream in self.next_offset_by_stream:
            for offset, appended_at, value in log.read(stream, self.next_offset_by_stream[stream]):
                self.next_offset_by_stream[stream] = offset + 1
                self.on_record(stream, offset, appended_at, value, now)
        # Only the last configuration that was read is installed, so that no work starts under an
        # earlier one.
        latest, self.state = self.state, state
        self.install(latest, now)
        if not log.is_down:
            self.claims.on_end_reached()
            self.leases.on_end_reached(now)

    def on_record(self, stream, offset, appended_at, value, now):
        if stream == "claims":
            self.apply_claim_effects(self.claims.on_record(offset, appended_at, value, now))
        elif stream == "leases":
            self.leases.on_record(offset, appended_at, value, now)
        elif stream == "quarantine":
            record = quarantine_records.from_wire(value)
            age = max(0.0, UNIX_TIME_AT_START + now - appended_at)
            self.apply_quarantine_effects(self.quarantine.on_log_record(record, offset, now, age))
        else:
            record = configuration_records.from_value(value)
            self.state = acceptance.apply(self.state, offset, record).state

    def install(self, state, now):
        """Replace the configuration, unless its version is the current one."""
        before, self.state = self.state, state
        configuration = state.configuration
        if configuration.version == before.configuration.version:
            return
        self.simulation.oracle.on_version(self, before.configuration, configuration)
        self.cold_start_tracker.on_configuration(configuration.servers_by_id)
        self.apply_dispatch_effects(self.dispatcher.set_configuration(configuration, now))
        self.move_requests(now)

    def move_requests(self, now):
        """Move requests away from servers that are closed to new work."""
        for request_id, machine in list(self.machines.items()):
            resume_point = machine.resume_point
            accepts = self.state.configuration.accepts_new_work
            if resume_point is not None and not accepts(resume_point.server_id):
                self.apply_machine_effects(
                    request_id, machine.on_moved(outcomes.Reason.SERVER_LEAVING, now)
                )

    def read_hosts(self, now):
        names, read_at = self.simulation.host_list()
        self.shares.on_host_list(names, now - read_at, now)
        self.leases.on_hosts([LEASE_SCOPE], names)
        running_incarnation_by_host = {
            host: node.identity.incarnation
            for host, node in self.simulation.nodes.items()
            if not node.is_frozen and node is not self
        }
        self.reclaimer.on_members(names, running_incarnation_by_host, now)
        for host, node in self.simulation.nodes.items():
            if (
                host in running_incarnation_by_host
                and node.state.snapshot.next_offset > self.state.snapshot.next_offset
            ):
                self.install(
                    acceptance.install_snapshot(self.state, node.state.snapshot).state, now
                )
                self.next_offset_by_stream["configuration"] = self.state.next_offset

    def read_reports(self, now):
        for server_id, engine in self.simulation.engines.items():
            if not engine.is_reachable:
                continue
            start_id, running_count = f"s-{engine.start_count}", len(engine.running_streams)
            before = self.start_id_by_server.get(server_id, start_id)
            self.start_id_by_server[server_id] = start_id
            if before != start_id:
                self.apply_quarantine_effects(self.quarantine.on_crash(server_id, now, before))
            effects = self.cold_start_tracker.on_report(
                server_id, start_id, engine.finished_requests, running_count, 0.0, now
            )
            self.send_turned_cold(effects, now)
            report = load_view.LoadReport(
                server_id,
                0.0,
                start_id,
                running_count,
                0,
                (0, 0),
                (0, 0),
                sum(stream.kv_cache_tokens for stream in engine.running_streams),
                engine.server.memory_tokens,
                engine.finished_requests,
                engine.server.models,
            )
            self.apply_dispatch_effects(self.dispatcher.on_report(report, now))
        self.apply_limits(now)

    def apply_limits(self, now):
        """Set the dispatcher's limits: the node's shares less the slots of unconfirmed cancellations.

        Attempts that continue until their replacement's first frame count too.
        """
        limits = self.cold_start_tracker.node_limits(self.shares, now)
        for server_id in [
            *self.server_by_pending_cancel.values(),
            *self.server_by_standby_attempt.values(),
        ]:
            limits[server_id] = max(0, limits.get(server_id, 0) - 1)
        self.apply_dispatch_effects(self.dispatcher.set_limits(limits, now, 1.0))

    def send_turned_cold(self, effects, now):
        for effect in effects:
            for node in self.simulation.nodes.values():
                if node is not self:
                    node.cold_start_tracker.on_peer_cold(effect.server_id, effect.start_id, now)

    # Model requests ------------------------------------------------------------------------

    def submit(self, request, sink):
        """Accept a request from a caller, or refuse it while the node drains."""
        now = self.simulation.now
        if self.is_leaving:
            sink(("refused", outcomes.Refused(outcomes.Reason.LEAVING, "")))
            return
        self.machines[request.request_id] = request_state_machine.RequestStateMachine(
            request, self.rng
        )
        self.sink_by_request[request.request_id] = sink
        self.apply_dispatch_effects(self.dispatcher.submit(request, now))

    def resume(self, request, sink, resume_point, received_tokens):
        """Take over a request from another node, after the tokens that the caller has received."""
        now = self.simulation.now
        machine = request_state_machine.RequestStateMachine(
            request, self.rng, received_tokens, len(received_tokens)
        )
        self.machines[request.request_id] = machine
        self.sink_by_request[request.request_id] = sink
        if resume_point is None:
            self.apply_dispatch_effects(self.dispatcher.submit(request, now))
        else:
            self.server_by_request[request.request_id] = resume_point.server_id
            self.apply_machine_effects(request.request_id, machine.on_taken_over(resume_point, now))

    def hand_over(self):
        """Make every caller resume at another node; the streams continue at their engines."""
        for sink in list(self.sink_by_request.values()):
            sink(("handed_over",))
        self.machines.clear()
        self.sink_by_request.clear()

    def apply_dispatch_effects(self, effects):
        now = self.simulation.now
        for effect in effects:
            if isinstance(effect, dispatch_effects.Dispatch):
                self.start_if_allowed(effect, now)
            elif isinstance(effect, dispatch_effects.Refuse):
                self.machines.pop(effect.request_id, None)
                self.sink_by_request.pop(effect.request_id)(("refused", effect.outcome))
            elif isinstance(effect, dispatch_effects.Fail) and effect.request_id in self.machines:
                machine = self.machines[effect.request_id]
                self.apply_machine_effects(
                    effect.request_id, machine.on_no_server(effect.outcome, now)
                )
            elif (
                isinstance(effect, dispatch_effects.Preempt) and effect.request_id in self.machines
            ):
                machine = self.machines[effect.request_id]
                self.apply_machine_effects(effect.request_id, machine.on_preempted(now))

    def start_if_allowed(self, effect, now):
        """Start, defer, redispatch or fail an attempt, by the verdict of the quarantine."""
        request = effect.request
        if request.request_id not in self.machines:
            return
        accepts = self.state.configuration.accepts_new_work
        candidates = frozenset(filter(accepts, self.simulation.engines))
        verdict = self.quarantine.verdict(request.fingerprint, now, request.request_id, candidates)
        machine = self.machines[request.request_id]
        if isinstance(verdict, verdicts.Refused):
            reason = outcomes.Reason.QUARANTINED
            failed = outcomes.Failed(reason, "", outcomes.Execution.NOT_RUN)
            self.apply_machine_effects(request.request_id, machine.on_no_server(failed, now))
        elif isinstance(verdict, verdicts.Wait | verdicts.AllowedOnPeers):
            self.deferred_starts.append((now + 0.5, effect))
        elif isinstance(verdict, verdicts.AllowedAlone) and effect.server_id not in verdict.servers:
            self.redispatch(effect, verdict.servers, now)
        else:
            started = self.quarantine.on_start(
                request.fingerprint, effect.server_id, request.request_id, now
            )
            self.apply_quarantine_effects(started)
            self.server_by_request[request.request_id] = effect.server_id
            effects = machine.on_dispatched(
                effect.server_id, effect.engine_priority, now, effect.group
            )
            self.apply_machine_effects(request.request_id, effects)

    def redispatch(self, effect, servers, now):
        """Give a dispatched server back and ask the dispatcher for one of `servers`."""
        request = effect.request
        excluded = frozenset(self.simulation.engines) - servers
        reason = outcomes.Reason.QUARANTINED
        dispatch = self.dispatcher
        effects = dispatch.on_attempt_failed(request.request_id, effect.server_id, reason, now)
        self.apply_dispatch_effects(effects)
        self.apply_dispatch_effects(dispatch.resubmit(request, now, excluded, reason))

    def retry_deferred_starts(self, now):
        due_starts = [effect for at, effect in self.deferred_starts if at <= now]
        self.deferred_starts = [entry for entry in self.deferred_starts if entry[0] > now]
        limits = self.cold_start_tracker.node_limits(self.shares, now)
        for effect in due_starts:
            accepts = self.state.configuration.accepts_new_work(effect.server_id)
            if accepts and limits.get(effect.server_id, 0) > 0:
                self.start_if_allowed(effect, now)
            elif effect.request.request_id in self.machines:
                # The server was closed to new work or turned cold while the start was deferred.
                others = frozenset(self.simulation.engines) - {effect.server_id}
                self.redispatch(effect, others, now)

    def apply_machine_effects(self, request_id, effects):
        now = self.simulation.now
        for effect in effects:
            if isinstance(effect, attempt_effects.StartAttempt):
                self.start_attempt(request_id, effect, now)
            elif isinstance(effect, attempt_effects.ResumeAttempt):
                sink = self.connect(request_id, effect.attempt, effect.connection, now)
                engine = self.simulation.engines[effect.server_id]
                if engine.is_reachable:
                    engine.resume(effect.attempt, self.identity, effect.from_index, sink)
                else:
                    sink(("broken", "unreachable"))
            elif isinstance(effect, attempt_effects.CancelAttempt):
                self.cancel(effect)
            elif isinstance(effect, attempt_effects.AbandonAttempt):
                connections = self.connection_by_key.items()
                self.connection_by_key = {k: c for k, c in connections if k[1] != effect.attempt}
            elif isinstance(effect, attempt_effects.Redispatch):
                self.dispatch_again(request_id, effect, now)
            elif isinstance(effect, attempt_effects.SuspectServer):
                start_id = self.start_id_by_server.get(effect.server_id, "")
                self.apply_quarantine_effects(
                    self.quarantine.on_crash(effect.server_id, now, start_id)
                )
                self.send_turned_cold(self.cold_start_tracker.on_crash(effect.server_id, now), now)
            elif isinstance(effect, attempt_effects.Emit):
                self.sink_by_request[request_id](
                    ("frame", effect, self.machines[request_id].resume_point)
                )
            else:
                self.finish(request_id, effect.outcome, now)

    def start_attempt(self, request_id, effect, now):
        sink = self.connect(request_id, effect.attempt, 0, now)
        engine = self.simulation.engines[effect.server_id]
        if not engine.is_reachable:
            sink(("broken", "unreachable"))
            return
        request = self.machines[request_id].request
        self.simulation.oracle.on_start(self, effect.server_id)
        engine.submit(
            effect.attempt, request, self.identity, request.prompt_tokens, effect.max_tokens, sink
        )

    def cancel(self, effect):
        """Cancel an attempt, retried until the engine confirms; its slot stays in use until then."""
        self.connection_by_key = {
            k: c for k, c in self.connection_by_key.items() if k[1] != effect.attempt
        }
        self.server_by_standby_attempt.pop(effect.attempt, None)
        self.server_by_pending_cancel[effect.attempt] = effect.server_id
        self.apply_limits(self.simulation.now)

    def retry_pending_cancels(self):
        for attempt, server_id in list(self.server_by_pending_cancel.items()):
            engine = self.simulation.engines[server_id]
            if engine.is_reachable and self.rng.random() < 0.7:
                engine.stream_by_attempt.pop(attempt, None)
                del self.server_by_pending_cancel[attempt]

    def dispatch_again(self, request_id, effect, now):
        request = self.machines[request_id].request
        self.apply_quarantine_effects(self.quarantine.on_end(request_id, False, now))
        server_id = self.server_by_request.get(request_id, "")
        resume_point = self.machines[request_id].resume_point
        if resume_point is not None:
            # The attempt continues until the new one's first frame, and its slot stays in use.
            self.server_by_standby_attempt[resume_point.attempt] = resume_point.server_id
        if request_id not in self.dispatcher._table.entries_by_id:
            self.apply_dispatch_effects(self.dispatcher.submit(request, now))
            return
        effects = self.dispatcher.on_attempt_failed(request_id, server_id, effect.reason, now)
        self.apply_dispatch_effects(effects)
        effects = self.dispatcher.resubmit(request, now, effect.excluded, effect.reason)
        self.apply_dispatch_effects(effects)

    def finish(self, request_id, outcome, now):
        is_answered = isinstance(outcome, outcomes.Answered)
        self.apply_quarantine_effects(self.quarantine.on_end(request_id, is_answered, now))
        self.machines.pop(request_id)
        for owner, attempt, _ in self.connection_by_key:
            if owner == request_id:
                self.server_by_standby_attempt.pop(attempt, None)
        self.connection_by_key = {
            k: c for k, c in self.connection_by_key.items() if k[0] != request_id
        }
        self.sink_by_request.pop(request_id)(("over", outcome))
        end = self.dispatcher.on_finished if is_answered else self.dispatcher.withdraw
        self.apply_dispatch_effects(end(request_id, now))

    def connect(self, request_id, attempt, number, now):
        """Open a connection to an engine and return the function that receives its events."""
        key = (request_id, attempt, number)
        connection = self.connection_by_key[key] = Connection(now)

        def receive(event):
            if not connection.drops_events and self.is_running:
                connection.events.append(event)

        return receive

    def read_connections(self, now):
        for key, connection in list(self.connection_by_key.items()):
            request_id, attempt, number = key
            if connection.events:
                connection.last_event_at = now
            elif now >= connection.last_event_at + ENGINE_TIMEOUT_SECONDS:
                connection.events.append(("broken", "silent"))
            events, connection.events = connection.events, []
            for event in events:
                if request_id in self.machines:
                    self.on_event(request_id, attempt, number, event, now)
            if events and events[-1][0] in ("broken", "unknown"):
                self.connection_by_key.pop(key, None)

    def on_event(self, request_id, attempt, number, event, now):
        machine = self.machines[request_id]
        if event[0] == "frame":
            if event[1] == 0:
                self.apply_dispatch_effects(self.dispatcher.on_first_token(request_id, now))
            if request_id in self.machines:
                self.apply_machine_effects(request_id, machine.on_frame(attempt, *event[1:], now))
        elif event[0] == "unknown":
            self.apply_machine_effects(request_id, machine.on_resume_unknown(attempt, now))
        elif event[0] == "broken":
            kind = attempt_effects.AttemptFailureKind(event[1])
            self.apply_machine_effects(
                request_id, machine.on_attempt_failed(attempt, kind, now, number)
            )

    def apply_quarantine_effects(self, effects):
        now = self.simulation.now
        for effect in effects:
            if isinstance(effect, verdicts.SendToPeers):
                self.send_to_peers(set(self.simulation.nodes) - {self.identity.host}, effect.record)
            elif isinstance(effect, verdicts.SendToWitnesses):
                for node in self.simulation.nodes.values():
                    if node.identity.host in effect.hosts:
                        node.peer_records.append(effect.record)
            elif isinstance(effect, verdicts.SendToWitnesses):
                self.send_to_peers(self.simulation.nodes.keys() & set(effect.hosts), effect.record)
            elif isinstance(effect, verdicts.AppendLog):
                value = quarantine_records.to_wire(effect.record)
                self.append_quarantine(value)
            elif effect.request_id in self.machines:
                machine = self.machines[effect.request_id]
                self.apply_machine_effects(effect.request_id, machine.on_preempted(now))

    def send_to_peers(self, hosts, record):
        """Send a record to peers, which read it in their next step."""
        for host in sorted(hosts):
            self.simulation.nodes[host].peer_records.append(record)

    def append_quarantine(self, value):
        """Append a record, retried until it is confirmed or the process has ended."""

        def on_result(result):
            if result != "done" and self.is_running:
                self.append_quarantine(value)

        self.simulation.log.append("quarantine", [value], on_result)

    # Calls that are not idempotent, leases, reclaim -------------------------------------------

    def submit_call(self, call, sink):
        """Accept a call that isn't idempotent from a caller."""
        now = self.simulation.now
        self.sink_by_call[call.request_id] = sink
        self.apply_claim_effects(self.claims.begin(call, now, UNIX_TIME_AT_START + now))

    def apply_claim_effects(self, effects):
        for effect in effects:
            if isinstance(effect, claim_effects.Append):
                self.append_claims(effect)
            elif isinstance(effect, claim_effects.Send):
                self.simulation.call_later(
                    self.rng.choice([0.0, 0.0, 0.3]), lambda e=effect: self.send_call(e)
                )
            else:
                self.sink_by_call.pop(effect.request_id)(effect)

    def append_claims(self, effect):
        def on_result(result):
            now = self.simulation.now
            if not self.is_running:
                return
            table, operation = self.claims, effect.operation_id
            if result == "done":
                self.apply_claim_effects(table.on_append_done(operation, now))
            elif result == "refused":
                self.apply_claim_effects(table.on_append_not_done(operation, now, 1.0))
            else:
                self.apply_claim_effects(table.on_append_unknown(operation, now))

        self.simulation.log.append("claims", effect.records, on_result)

    def send_call(self, effect):
        """Mark the claim as sent and send the call; the process may freeze or end in between."""
        now = self.simulation.now
        if not self.is_running:
            return
        if self.is_frozen:
            self.simulation.call_later(1.0, lambda: self.send_call(effect))
            return
        if not self.claims.try_mark_sent(effect.claim_id, now):
            reason = outcomes.Reason.DEADLINE
            self.apply_claim_effects(self.claims.withdraw(effect.claim_id, reason, now))
            return
        delay = self.rng.choice([0.05, 0.05, 0.05, 8.0])
        self.simulation.call_later(delay, lambda: self.deliver_call(effect))

    def deliver_call(self, effect):
        """Execute the call at the service, even if the node has ended since it sent the call."""
        key = effect.call.idempotency_key
        body = self.simulation.service.execute(key)
        is_lost = self.rng.random() < 0.1
        response = None if is_lost else claim_records.Response(200, "", body)
        if self.is_running:
            now = self.simulation.now
            self.apply_claim_effects(self.claims.on_response(effect.claim_id, response, now))

    def send_orders(self, now):
        for engine in self.simulation.engines.values():
            checks = engine.server.checks_fencing
            number = self.leases.fencing_token(LEASE_SCOPE, checks, now)
            if number is not None:
                delivery_delay = self.rng.choice([0.0, 0.1, 6.0])
                self.simulation.call_later(
                    delivery_delay, lambda e=engine, n=number: self.simulation.receive_order(e, n)
                )

    def reclaim_attempts(self, now):
        known = {
            resume_point.attempt
            for _, machine in self.machines.items()
            if (resume_point := machine.resume_point)
        }
        known |= {attempt for _, attempt, _ in self.connection_by_key}
        for server_id, engine in self.simulation.engines.items():
            if not engine.is_reachable:
                continue
            items = tuple(
                inventory.Item(inventory.Kind.STREAM, attempt, stream.owner)
                for attempt, stream in engine.stream_by_attempt.items()
            )
            held = inventory.Inventory(f"s-{engine.start_count}", items)
            for effect in self.reclaimer.on_inventory(server_id, held, frozenset(known), now):
                engine.stream_by_attempt.pop(effect.attempt, None)


ResumePoint = attempt_values.ResumePoint
