"""Talks to the other nodes over datagrams: reports, pulses, and requests for placements.

Datagrams neither hang on silent connections nor delay each other. Every message can be lost: reports
come again, requests are sent again, and what is not told in time is decided without it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import result

from dragonflycove.fleet import catalog, peer_messages, roster, server_health, work
from dragonflycove.gateway import peer_codec, peer_transfer
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import crash_suspects, placer
    from dragonflycove.gateway import knowledge_task, placing

REPORT_SECONDS = 0.25
"""Time between two reports to the hubs."""

JOBS_EVERY = 2
"""Reports of which one lists the node's requests; half a second is well under a request's life."""

SEEN_EVERY = 4
"""Pulses to one node of which one lists all nodes; changes are told at once."""

SEEN_PER_MESSAGE = 9
"""Nodes in one datagram, which stays under a usual path's 1,400 bytes."""

ASK_AGAIN_SECONDS = 0.05
"""Time after which a request for a placement is sent again; answers take a few milliseconds."""

ASK_TIMES = 3
"""Requests without an answer after which the hub is passed over."""

WAITING_ASK_SECONDS = 0.25
"""Time between two questions about a request that waits at a hub."""

PASS_OVER_SECONDS = 1.0
"""Time for which a hub that did not answer is passed over."""

TRANSIT_SECONDS = 0.05
"""Age added to a belief that another node confirms, for the way and for slow hosts."""

DATAGRAM_BYTES = 8_192
"""Longest datagram that is sent."""


class PeerTask(asyncio.DatagramProtocol):
    """This node's end of the talk between nodes."""

    def __init__(
        self,
        own: roster.Member,
        nodes: roster.Roster,
        deciding: placer.Placer,
        local: placing.LocalPlacing,
        known: knowledge_task.KnowledgeTask,
        suspects: crash_suspects.CrashSuspects,
        is_ready: Callable[[], bool],
    ) -> None:
        """Create a task without a socket.

        Args:
            own: This node.
            nodes: The other nodes.
            deciding: Places requests where this node is a hub.
            local: Its line.
            known: The node's records.
            suspects: Requests that crash servers.
            is_ready: Tells whether this node takes callers.
        """
        self._own = own
        self._nodes = nodes
        self._placer = deciding
        self._local = local
        self._known = known
        self._suspects = suspects
        self._is_ready = is_ready
        self._transport: asyncio.DatagramTransport | None = None
        self._answer_by_key: dict[work.JobKey, asyncio.Future[_Answer]] = {}
        self._placing_by_key: dict[work.JobKey, asyncio.Task[None]] = {}
        self._reporters: dict[str, _Reporter] = {}
        self._ticks = 0
        self._pulling: asyncio.Task[None] | None = None
        self._hub = ""
        self.is_leaving = False
        """Whether this node is stopping."""
        self.bytes_sent = 0
        """Bytes of datagrams sent."""

    # Socket

    async def listen(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        address = self._own.peer_address
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.ip, address.port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram could not be delivered; the next report tries again."""
        logs.event("datagram_error", why=str(exc))

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take in a message."""
        decoded = peer_codec.decode(data)
        if isinstance(decoded, result.Err):
            logs.warning("datagram_unreadable", sender=addr[0], why=decoded.err_value)
            return
        sender = catalog.Address(str(addr[0]), int(addr[1]))
        handler = _HANDLERS[type(decoded.ok_value)]
        handler(self, decoded.ok_value, sender)

    def _send(self, address: catalog.Address, message: peer_messages.Message) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = peer_codec.encode(message)
        if len(data) > DATAGRAM_BYTES:
            logs.warning("datagram_too_long", kind=type(message).__name__, bytes=len(data))
            return
        self.bytes_sent += len(data)
        self._transport.sendto(data, (address.ip, address.port))

    # Reports and pulses

    async def run(self) -> None:
        """Report to the hubs for ever."""
        while True:
            self.report(with_jobs=self._ticks % JOBS_EVERY == 0)
            self._ticks += 1
            self._forget_gone()
            await asyncio.sleep(REPORT_SECONDS)

    def report(self, *, with_jobs: bool) -> None:
        """Report to the hubs and to nodes that may be running.

        Args:
            with_jobs: Whether the report lists this node's requests.
        """
        now = asyncio.get_running_loop().time()
        hubs = self._nodes.hubs(now)
        self._note_hub(hubs)
        numbers = None
        if with_jobs:
            numbers = tuple(
                key.number
                for key in self._placer.jobs_of(self._own.host)
                if key.incarnation == self._own.incarnation
            )
        report = peer_messages.Report(
            self._own, self._is_ready(), self.is_leaving, self._freshness(now), numbers
        )
        targets = {hub.peer_address for hub in hubs}
        targets.update(member.peer_address for member in self._nodes.candidates(now))
        if self._ticks % SEEN_EVERY == 0:
            targets.update(member.peer_address for member in self._nodes.silent(now))
        targets.discard(self._own.peer_address)
        for address in targets:
            self._send(address, report)

    def _note_hub(self, hubs: list[roster.Member]) -> None:
        first = hubs[0].host if hubs else ""
        if first != self._hub:
            logs.event("hub_changed", hub=first, before=self._hub)
            self._hub = first

    def _freshness(self, now: float) -> peer_messages.Freshness:
        belief = self._known.belief
        return peer_messages.Freshness(
            belief.operator_revision,
            now - self._known.operators.read_at,
            belief.server_revision,
            now - self._known.servers.read_at,
        )

    def _on_report(self, report: peer_messages.Report, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        member = report.member
        is_news = self._nodes.on_heard(
            member, now, is_ready=report.is_ready, is_leaving=report.is_leaving
        )
        self._compare(member, report.freshness, now)
        reporter = self._reporters.get(member.host)
        if reporter is None or reporter.member != member:
            reporter = self._reporters[member.host] = _Reporter(member)
        reporter.heard_at = now
        unknown: tuple[int, ...] = ()
        if report.jobs is not None:
            unknown = self._placer.reconcile(member.host, member.incarnation, report.jobs, now)
        seen = self._seen(now) if reporter.pulses % SEEN_EVERY == 0 else []
        reporter.pulses += 1
        self._pulse(member.peer_address, seen, unknown, now)
        if is_news:
            logs.event(
                "node_changed",
                node=member.host,
                incarnation=member.incarnation,
                ready=report.is_ready,
                leaving=report.is_leaving,
            )
            self._tell(member, report, now)

    def _tell(self, member: roster.Member, report: peer_messages.Report, now: float) -> None:
        """Tell all reporters of a change at once."""
        change = peer_messages.Seen(member, 0.0, report.is_ready, report.is_leaving)
        for reporter in self._reporters.values():
            if reporter.member.host != member.host:
                self._pulse(reporter.member.peer_address, [change], (), now)

    def _seen(self, now: float) -> list[peer_messages.Seen]:
        return [
            peer_messages.Seen(
                sighting.member, now - sighting.heard_at, sighting.is_ready, sighting.is_leaving
            )
            for sighting in self._nodes.alive(now)
        ]

    def _pulse(
        self,
        address: catalog.Address,
        seen: list[peer_messages.Seen],
        unknown: tuple[int, ...],
        now: float,
    ) -> None:
        freshness = self._freshness(now)
        for start in range(0, max(1, len(seen)), SEEN_PER_MESSAGE):
            pulse = peer_messages.Pulse(
                self._own,
                self._is_ready(),
                self.is_leaving,
                freshness,
                tuple(seen[start : start + SEEN_PER_MESSAGE]),
                unknown if start == 0 else (),
            )
            self._send(address, pulse)

    def _on_pulse(self, pulse: peer_messages.Pulse, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        self._nodes.on_heard(
            pulse.member, now, is_ready=pulse.is_ready, is_leaving=pulse.is_leaving
        )
        self._nodes.on_hub_heard(pulse.member.host, now)
        for seen in pulse.seen:
            self._nodes.on_heard(
                seen.member,
                now - seen.age_seconds,
                is_ready=seen.is_ready,
                is_leaving=seen.is_leaving,
            )
        self._compare(pulse.member, pulse.freshness, now)
        for number in pulse.unknown_jobs:
            self._tell_job(sender, number, now)

    def _tell_job(self, address: catalog.Address, number: int, now: float) -> None:
        key = work.JobKey(self._own.host, self._own.incarnation, number)
        placement = self._placer.placement(key)
        if placement is not None:
            age = now - placement.placed_at
            writes = self._placer.writes(key)
            self._send(
                address, peer_messages.RunningJob(placement.job, placement.grant, age, writes)
            )

    def _on_running_job(self, running: peer_messages.RunningJob, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        self._placer.adopt(
            running.job, running.grant, now - running.age_seconds, writes=running.writes
        )

    def _forget_gone(self) -> None:
        """Drop the requests of nodes that no longer report."""
        now = asyncio.get_running_loop().time()
        for host, reporter in list(self._reporters.items()):
            if now - reporter.heard_at > roster.ALIVE_SECONDS:
                del self._reporters[host]
                dropped = self._placer.forget_host(host, now)
                logs.event("node_lost", node=host, requests=dropped)

    # Records

    def _compare(
        self, member: roster.Member, theirs: peer_messages.Freshness, now: float
    ) -> None:
        """Refresh this node's belief by what another one says of its own."""
        belief = self._known.belief
        behind = (
            theirs.operator_revision > belief.operator_revision
            or theirs.server_revision > belief.server_revision
            or (self._known.is_incomplete and theirs.operator_revision >= 0)
        )
        if behind:
            if self._pulling is None or self._pulling.done():
                self._pulling = asyncio.ensure_future(self._pull(member))
            return
        self._known.confirm(
            now - theirs.operator_age - TRANSIT_SECONDS, now - theirs.server_age - TRANSIT_SECONDS
        )

    async def _pull(self, member: roster.Member) -> None:
        belief = self._known.belief
        is_whole = self._known.is_incomplete
        request = peer_transfer.Request(
            peer_transfer.TopicRequest(-1 if is_whole else belief.operator_revision),
            peer_transfer.TopicRequest(-1 if is_whole else belief.server_revision),
        )
        fetched = await peer_transfer.fetch(member.peer_address, request)
        if isinstance(fetched, result.Err):
            logs.warning("transfer_failed", side="client", node=member.host, why=fetched.err_value)
            return
        answer = fetched.ok_value
        self._known.merge(self._known.operators, answer.operators)
        self._known.merge(self._known.servers, answer.servers)
        logs.event(
            "transferred",
            node=member.host,
            operators=len(answer.operators.records),
            servers=len(answer.servers.records),
        )

    # Placements

    async def place(self, job: work.Job) -> work.Grant | work.Refusal:
        """Wait until a request is placed or refused.

        Args:
            job: The request.

        Returns:
            Where it goes, or why it goes nowhere.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + job.deadline_seconds
        for hub in self._nodes.hubs(loop.time()):
            if hub.host == self._own.host:
                break
            if self._nodes.is_suspected(hub.host, loop.time()):
                continue
            left = job._replace(deadline_seconds=until - loop.time())
            decision = await self._ask(hub, left)
            if decision is not None:
                return decision
            self._nodes.suspect(hub.host, loop.time() + PASS_OVER_SECONDS)
            logs.event("hub_passed_over", hub=hub.host, job=job.key.number)
        return await self._local.place(job._replace(deadline_seconds=until - loop.time()))

    async def _ask(self, hub: roster.Member, job: work.Job) -> work.Grant | work.Refusal | None:
        """Ask a hub for a placement; None if it does not answer."""
        loop = asyncio.get_running_loop()
        until = loop.time() + job.deadline_seconds
        unanswered = 0
        pause = ASK_AGAIN_SECONDS
        settled = False
        try:
            while unanswered < ASK_TIMES and loop.time() < until:
                future: asyncio.Future[_Answer] = loop.create_future()
                self._answer_by_key[job.key] = future
                left = job._replace(deadline_seconds=until - loop.time())
                self._send(hub.peer_address, peer_messages.PlaceRequest(left))
                try:
                    async with asyncio.timeout(pause):
                        answer = await future
                except TimeoutError:
                    unanswered += 1
                    continue
                if isinstance(answer, peer_messages.PlaceWaits):
                    unanswered = 0
                    pause = WAITING_ASK_SECONDS
                    answer = await self._until_placed(job.key, pause)
                    if answer is None:
                        continue
                settled = True
                if isinstance(answer, peer_messages.PlaceRefused):
                    return answer.refusal
                if isinstance(answer, peer_messages.PlaceGranted):
                    self._placer.adopt(job, answer.grant, loop.time(), writes=False)
                    return answer.grant
            if loop.time() >= until:
                settled = True
                return work.Refusal("no_room_in_time", 0.5)
            return None
        finally:
            self._answer_by_key.pop(job.key, None)
            if not settled:
                self._send(hub.peer_address, peer_messages.Withdrawn(job.key))

    async def _until_placed(
        self, key: work.JobKey, seconds: float
    ) -> peer_messages.PlaceGranted | peer_messages.PlaceRefused | None:
        """Wait for the answer that follows one that says that a request waits."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[_Answer] = loop.create_future()
        self._answer_by_key[key] = future
        try:
            async with asyncio.timeout(seconds):
                answer = await future
        except TimeoutError:
            return None
        return None if isinstance(answer, peer_messages.PlaceWaits) else answer

    def _on_answer(self, answer: _Answer, sender: catalog.Address) -> None:
        future = self._answer_by_key.get(answer.key)
        if future is not None and not future.done():
            future.set_result(answer)
        elif isinstance(answer, peer_messages.PlaceGranted):
            if self._placer.placement(answer.key) is None:
                self._send(sender, peer_messages.Withdrawn(answer.key))

    def _on_place_request(
        self, request: peer_messages.PlaceRequest, sender: catalog.Address
    ) -> None:
        key = request.job.key
        placement = self._placer.placement(key)
        if placement is not None:
            self._send(sender, peer_messages.PlaceGranted(key, placement.grant))
            return
        if key in self._placing_by_key:
            self._send(sender, peer_messages.PlaceWaits(key, 0.0))
            return
        task = asyncio.ensure_future(self._place_for(request.job, sender))
        self._placing_by_key[key] = task
        task.add_done_callback(lambda _: self._placing_by_key.pop(key, None))

    async def _place_for(self, job: work.Job, sender: catalog.Address) -> None:
        deciding = asyncio.ensure_future(self._local.place(job))
        try:
            # One turn of the loop suffices for a placement without a wait.
            done, _ = await asyncio.wait({deciding}, timeout=0.002)
            if not done:
                self._send(sender, peer_messages.PlaceWaits(job.key, 0.0))
            decision = await deciding
        except asyncio.CancelledError:
            deciding.cancel()
            raise
        if isinstance(decision, work.Grant):
            self._send(sender, peer_messages.PlaceGranted(job.key, decision))
        else:
            self._send(sender, peer_messages.PlaceRefused(job.key, decision))

    def _on_withdrawn(self, message: peer_messages.Withdrawn, sender: catalog.Address) -> None:
        task = self._placing_by_key.get(message.key)
        if task is not None:
            task.cancel()
        self._local.on_end(message.key, server_health.Outcome.ABANDONED)

    def _hub_addresses(self) -> list[catalog.Address]:
        hubs = self._nodes.hubs(asyncio.get_running_loop().time())
        return [hub.peer_address for hub in hubs if hub.host != self._own.host]

    def on_first_event(self, key: work.JobKey) -> None:
        """Note that a prompt has been read.

        Args:
            key: The request.
        """
        self._local.on_first_event(key)
        for address in self._hub_addresses():
            self._send(address, peer_messages.FirstEvent(key))

    def on_end(self, key: work.JobKey, outcome: server_health.Outcome) -> bool:
        """Note that a send ended.

        Args:
            key: The request.
            outcome: How it ended.

        Returns:
            Whether its server became a suspect by this.
        """
        now = asyncio.get_running_loop().time()
        placement = self._placer.placement(key)
        is_suspect = self._local.on_end(key, outcome)
        if placement is not None:
            fingerprint = placement.job.fingerprint
            lost = self._suspects.losses(fingerprint, now)
            instance = placement.grant.lead.instance
            message = peer_messages.Ended(key, outcome, instance, fingerprint, lost)
            for address in self._hub_addresses():
                self._send(address, message)
        return is_suspect

    def _on_first_event_told(
        self, message: peer_messages.FirstEvent, sender: catalog.Address
    ) -> None:
        self._local.on_first_event(message.key)

    def _on_ended(self, message: peer_messages.Ended, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        if message.lost_servers:
            self._suspects.merge(message.fingerprint, message.lost_servers, now)
        if self._placer.placement(message.key) is not None:
            self._local.on_end(message.key, message.outcome)
        else:
            self._placer.health.on_outcome(message.instance, message.outcome, now)


class _Reporter:
    """A node that reports to this one."""

    __slots__ = ("heard_at", "member", "pulses")

    def __init__(self, member: roster.Member) -> None:
        self.member = member
        self.heard_at = 0.0
        self.pulses = 0


_Answer = (
    peer_messages.PlaceGranted | peer_messages.PlaceRefused | peer_messages.PlaceWaits
)

_HANDLERS: dict[type, Callable[[PeerTask, Any, catalog.Address], None]] = {
    peer_messages.Report: PeerTask._on_report,
    peer_messages.Pulse: PeerTask._on_pulse,
    peer_messages.RunningJob: PeerTask._on_running_job,
    peer_messages.PlaceRequest: PeerTask._on_place_request,
    peer_messages.PlaceGranted: PeerTask._on_answer,
    peer_messages.PlaceRefused: PeerTask._on_answer,
    peer_messages.PlaceWaits: PeerTask._on_answer,
    peer_messages.Withdrawn: PeerTask._on_withdrawn,
    peer_messages.FirstEvent: PeerTask._on_first_event_told,
    peer_messages.Ended: PeerTask._on_ended,
}
"""What takes in each message."""
