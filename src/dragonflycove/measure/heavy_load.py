"""Simulates a heavy load with a placement policy and counts the callers' outcomes.

Short prompts exceed their usual rate in the first half, longer ones in the second half, and there
may be fewer engines than usual. Callers disconnect after a time without events and resend once
after a refusal, some of them before the retry-after time.
"""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from dragonflycove.fleet import engine_forecast, forwarding, server_health, work
from dragonflycove.measure import heavy_engines, heavy_kinds

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

STEP_SECONDS = 0.01
"""Time step of the simulation; about a fifth of an engine's shortest decoding pass."""

DRAIN_SECONDS = 12.0
"""Time simulated after the last arrival; equals the longest caller timeout."""

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Maximum wait before a resend, as a fraction of the time from request to deadline."""

EARLY_RESEND_SECONDS = 0.1
"""Wait before a resend by callers that ignore the retry-after time."""


class Policy(Protocol):
    """Placement policy: chooses the engines of each request."""

    def offer(self, job: work.Job, now: float) -> work.Grant | work.Refusal | work.Wait:
        """Place, refuse or queue a new request."""
        ...

    def advance(self, now: float) -> list[tuple[work.JobKey, work.Grant | work.Refusal]]:
        """Place or refuse queued requests; returns the decisions made now."""
        ...

    def withdraw(self, key: work.JobKey) -> None:
        """Remove a request from the queue; does nothing if it is not queued."""
        ...

    def on_first_event(self, key: work.JobKey, now: float) -> None:
        """Handle the end of a request's prefill."""
        ...

    def on_end(self, key: work.JobKey, outcome: server_health.Outcome, now: float) -> None:
        """Release a request's engines after its end."""
        ...


class KindFigures(NamedTuple):
    """Outcomes of the callers of one kind of prompt, without those that disconnect deliberately."""

    asked: int
    """Number of callers."""

    in_time: int
    """Served within all latency targets."""

    late: int
    """Served, but with a missed latency target."""

    refused: int
    """Refused at the first request and at the resend."""

    given_up: int
    """Disconnected because no event arrived within the caller timeout."""

    given_up_while_queued: int
    """The part of `given_up` whose request had not been placed."""

    earned_share: float
    """Earned value as a fraction of `offered_value`, 0 to 1; 0 if none was offered.

    A prompt served in time earns its value, a late one `1 - LATE_LOSS_SHARE` of it, others nothing.
    """

    offered_value: float
    """Total value of the kind's prompts."""

    longest_refusal_seconds: float
    """Maximum time between a request and its refusal."""


class _Caller:
    """State of one caller over its request and its resend."""

    __slots__ = (
        "engine",
        "events",
        "first_asked_at",
        "helpers",
        "is_late",
        "job",
        "kind",
        "last_event_at",
        "cancels_at",
        "last_offered_at",
        "outcome",
        "remaining_parts",
        "has_resent",
        "value",
    )

    def __init__(
        self, kind: heavy_kinds.PromptKind, job: work.Job, events: int, now: float
    ) -> None:
        self.kind = kind
        self.job = job
        self.events = events
        self.first_asked_at = now
        self.last_offered_at = now
        self.last_event_at = now
        self.cancels_at = float("inf")
        self.is_late = False
        self.has_resent = False
        self.remaining_parts = 0
        self.engine = ""
        self.helpers: tuple[str, ...] = ()
        self.outcome = ""
        self.value = kind.value * min(4.0, 0.3 + 0.7 * job.prompt_tokens / kind.mean_tokens)


class HeavyLoad:
    """Simulation of one load scenario with one policy."""

    def __init__(
        self, load: heavy_kinds.LoadScenario, policy: Policy, spec: catalog.EngineSpec, seed: int
    ) -> None:
        """Prepare a run.

        Args:
            load: The load scenario.
            policy: Places the requests.
            spec: Speed and capacity of every engine.
            seed: Seed of arrivals, lengths and resends.
        """
        self._load = load
        self._policy = policy
        self._spec = spec
        self._rng = random.Random(seed)
        self._engine_by_id = {f"e{n}": heavy_engines.Engine(spec) for n in range(load.engines)}
        self._caller_by_key: dict[work.JobKey, _Caller] = {}
        self._resends: list[tuple[float, int, _Caller]] = []
        self._callers: list[_Caller] = []
        self._longest_refusal_seconds_by_kind: dict[str, float] = {}
        self._job_count = 0
        self._now = 0.0

    def run(self) -> dict[str, KindFigures]:
        """Run the simulation to its end.

        Returns:
            Figures by name of the kind.
        """
        arrivals = self._arrivals()
        steps = int((self._load.arrival_seconds + DRAIN_SECONDS) / STEP_SECONDS)
        position = 0
        for step in range(steps):
            self._now = step * STEP_SECONDS
            while position < len(arrivals) and arrivals[position][0] <= self._now:
                self._arrive(arrivals[position][1])
                position += 1
            while self._resends and self._resends[0][0] <= self._now:
                self._offer(heapq.heappop(self._resends)[2])
            for key, decision in self._policy.advance(self._now):
                self._apply_decision(self._caller_by_key[key], decision)
            self._advance_engines()
            self._end_inactive_callers()
        return {kind.name: self._figures(kind) for kind in heavy_kinds.KINDS}

    def _arrivals(self) -> list[tuple[float, heavy_kinds.PromptKind]]:
        arrivals = []
        for kind in heavy_kinds.KINDS:
            at = 0.0
            while at < self._load.arrival_seconds:
                first_half = at < self._load.arrival_seconds / 2
                factor = 1.0
                if kind is heavy_kinds.KINDS[0] and first_half:
                    factor = self._load.short_factor
                if kind is not heavy_kinds.KINDS[0] and not first_half:
                    factor = self._load.long_factor
                at += self._rng.expovariate(kind.prompts_per_second * factor)
                arrivals.append((at, kind))
        return sorted(arrivals, key=lambda arrival: arrival[0])

    def _arrive(self, kind: heavy_kinds.PromptKind) -> None:
        mean = kind.mean_tokens
        draw = self._rng.lognormvariate(
            -kind.length_log_deviation**2 / 2, kind.length_log_deviation
        )
        tokens = max(40, int(mean * draw))
        events = max(2, int(self._rng.gammavariate(4.0, kind.mean_events / 4)))
        job = self._job(kind, tokens, events)
        caller = _Caller(kind, job, events, self._now)
        if self._rng.random() < self._load.cancelling_share:
            caller.cancels_at = self._now + self._rng.random()
        self._callers.append(caller)
        self._offer(caller)

    def _job(self, kind: heavy_kinds.PromptKind, tokens: int, events: int) -> work.Job:
        self._job_count += 1
        return work.Job(
            key=work.JobKey("n0", 1, self._job_count),
            service="svc",
            organisation="org",
            priority=1,
            prompt_tokens=tokens,
            output_tokens=events * self._spec.steps_per_pass,
            latency_target_seconds=kind.latency_target_seconds,
            gap_target_seconds=kind.gap_target_seconds,
            deadline_seconds=kind.deadline_seconds,
            zone="z1",
            excluded=(),
            fingerprint=self._job_count,
            next_event_deadline_seconds=forwarding.PLACEMENT_TIMEOUT_SHARE
            * kind.caller_timeout_seconds,
            has_started=False,
        )

    def _offer(self, caller: _Caller) -> None:
        if caller.has_resent:
            resent = self._job(caller.kind, caller.job.prompt_tokens, caller.events)
            caller.job = resent._replace(
                fingerprint=caller.job.fingerprint,
                deadline_seconds=resent.deadline_seconds - (self._now - caller.first_asked_at),
            )
        caller.last_offered_at = caller.last_event_at = self._now
        caller.engine, caller.helpers = "", ()
        self._caller_by_key[caller.job.key] = caller
        decision = self._policy.offer(caller.job, self._now)
        if not isinstance(decision, work.Wait):
            self._apply_decision(caller, decision)

    def _apply_decision(self, caller: _Caller, decision: work.Grant | work.Refusal) -> None:
        if isinstance(decision, work.Refusal):
            self._refuse(caller, decision)
            return
        servers = [decision.lead, *(part.server for part in decision.helpers)]
        ids = [server.instance.server_id for server in servers]
        caller.engine, caller.helpers = ids[0], tuple(ids[1:])
        caller.remaining_parts = len(ids)
        for name in ids:
            part = heavy_engines.PromptPart(
                caller.job.key, self._spec, caller.job.prompt_tokens, len(ids)
            )
            self._engine_by_id[name].enqueue(part)

    def _refuse(self, caller: _Caller, refusal: work.Refusal) -> None:
        name = caller.kind.name
        longest = self._longest_refusal_seconds_by_kind.get(name, 0.0)
        self._longest_refusal_seconds_by_kind[name] = max(
            longest, self._now - caller.last_offered_at
        )
        del self._caller_by_key[caller.job.key]
        if caller.has_resent:
            caller.outcome = "refused"
            return
        caller.has_resent = True
        wait = min(
            refusal.retry_after_seconds, MAX_RETRY_AFTER_SHARE * caller.kind.deadline_seconds
        )
        if self._rng.random() < self._load.early_resend_share:
            wait = EARLY_RESEND_SECONDS
        heapq.heappush(self._resends, (self._now + wait, caller.job.key.number, caller))

    def _advance_engines(self) -> None:
        for name, engine in self._engine_by_id.items():
            pass_result = engine.end_pass(self._now)
            for key in pass_result.decoded if pass_result else ():
                self._on_event(name, key)
            for part in pass_result.prefilled if pass_result else ():
                self._on_part_prefilled(part.key)
            engine.begin_pass(self._now)

    def _on_part_prefilled(self, key: work.JobKey) -> None:
        caller = self._caller_by_key.get(key)
        if caller is None:
            return
        caller.remaining_parts -= 1
        if caller.remaining_parts:
            return
        self._policy.on_first_event(key, self._now)
        caller.is_late = self._now - caller.first_asked_at > caller.kind.latency_target_seconds
        caller.last_event_at = self._now
        sequence = heavy_engines.DecodingSequence(caller.events, caller.job.kv_cache_tokens)
        self._engine_by_id[caller.engine].sequence_by_key[key] = sequence

    def _on_event(self, engine: str, key: work.JobKey) -> None:
        caller = self._caller_by_key.get(key)
        sequence = self._engine_by_id[engine].sequence_by_key.get(key)
        if caller is None or sequence is None:
            return
        sequence.events_left -= 1
        caller.is_late |= self._now - caller.last_event_at > caller.kind.gap_target_seconds
        caller.last_event_at = self._now
        if sequence.events_left <= 0:
            self._end(caller, "late" if caller.is_late else "in_time")

    def _end_inactive_callers(self) -> None:
        """End requests whose callers time out or disconnect deliberately."""
        for caller in list(self._caller_by_key.values()):
            silent_seconds = self._now - caller.last_event_at
            if (
                silent_seconds > caller.kind.caller_timeout_seconds
                or self._now >= caller.cancels_at
            ):
                self._policy.withdraw(caller.job.key)
                self._end(caller, "given_up")

    def _end(self, caller: _Caller, outcome: str) -> None:
        caller.outcome = outcome
        key = caller.job.key
        for name in (caller.engine, *caller.helpers):
            if name:
                self._engine_by_id[name].remove(key)
        reported_outcome = server_health.Outcome.ANSWERED
        if outcome == "given_up":
            reported_outcome = server_health.Outcome.ABANDONED
        self._policy.on_end(key, reported_outcome, self._now)
        del self._caller_by_key[key]

    def _figures(self, kind: heavy_kinds.PromptKind) -> KindFigures:
        callers = [caller for caller in self._callers if caller.kind is kind]
        counted_callers = [caller for caller in callers if caller.cancels_at == float("inf")]

        def count(outcome: str) -> int:
            return sum(1 for caller in counted_callers if caller.outcome == outcome)

        earned_share_by_outcome = {"in_time": 1.0, "late": 1 - engine_forecast.LATE_LOSS_SHARE}
        offered_value = sum(counted.value for counted in counted_callers)
        earned = sum(
            counted.value * earned_share_by_outcome.get(counted.outcome, 0.0)
            for counted in counted_callers
        )
        return KindFigures(
            asked=len(counted_callers),
            in_time=count("in_time"),
            late=count("late"),
            refused=count("refused"),
            given_up=count("given_up"),
            given_up_while_queued=sum(
                1
                for caller in counted_callers
                if caller.outcome == "given_up" and not caller.engine
            ),
            earned_share=earned / offered_value if offered_value else 0.0,
            offered_value=offered_value,
            longest_refusal_seconds=self._longest_refusal_seconds_by_kind.get(kind.name, 0.0),
        )
