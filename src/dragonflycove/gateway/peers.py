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

JOBS_EVERY = 2
"""Reports of which one lists the node's requests; half a second is well under a request's life."""

SILENT_EVERY = 4
"""Reports of which one also goes to the nodes that fell silent; they may only be cut off."""

DIFFERS_SECONDS = 0.6
"""Time for which views may differ before the list of all nodes is asked for."""

LIST_SECONDS = 1.0
"""Time before a list in which a node that was heard of stays, listed or not."""

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
        self._known_at: set[roster.Member] = set()
        self._wants_list = True
        self._differs_since = float("inf")
        self._list_number = 0
        self._list_parts: tuple[int, dict[int, tuple[roster.Member, ...]], float] = (-1, {}, 0.0)
        self._hub = ""
        self.bytes_sent = 0
        """Bytes of datagrams sent."""

    # Socket

    def leave(self) -> None:
        """Tell the other nodes that this one is stopping."""
        now = asyncio.get_running_loop().time()
        was_first = self._nodes.is_first_hub(now)
        self._nodes.is_leaving = True
        self.report(with_jobs=True)
        if was_first:
            for reporter in self._reporters.values():
                self._pulse(reporter.member.peer_address, now)

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
            await asyncio.sleep(self._nodes.report_seconds)

    def report(self, *, with_jobs: bool) -> None:
        """Report to the hubs and to nodes that may be running.

        Args:
            with_jobs: Whether the report lists this node's requests.
        """
        now = asyncio.get_running_loop().time()
        self._nodes.is_ready = self._is_ready()
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
            self._condition(), None, self._freshness(now), numbers, wants_list=False
        )
        introduction = report._replace(member=self._own)
        others = {member.host: member for member in self._nodes.candidates(now)}
        if self._ticks % SILENT_EVERY == 0:
            others.update({member.host: member for member in self._nodes.silent(now)})
        for hub in hubs:
            others.pop(hub.host, None)
            if hub.host == self._own.host:
                continue
            is_known = hub in self._known_at
            wants_list = hub is hubs[0] and self._wants_list
            told = report if is_known else introduction
            self._send(hub.peer_address, told._replace(wants_list=wants_list))
        for member in others.values():
            self._send(member.peer_address, introduction)
        self._known_at.intersection_update(hubs)

    def _condition(self) -> peer_messages.Condition:
        return peer_messages.Condition(
            self._own.host, self._own.incarnation, self._is_ready(), self._nodes.is_leaving
        )

    def _note_hub(self, hubs: list[roster.Member]) -> None:
        first = hubs[0].host if hubs else ""
        if first != self._hub:
            logs.event("hub_changed", hub=first, before=self._hub)
            self._hub = first
            self._wants_list = True

    def _freshness(self, now: float) -> peer_messages.Freshness:
        belief = self._known.belief
        return peer_messages.Freshness(
            belief.operator_revision,
            round(now - self._known.operators.read_at, 3),
            belief.server_revision,
            round(now - self._known.servers.read_at, 3),
        )

    def _on_report(self, report: peer_messages.Report, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        condition = report.condition
        member = report.member or self._nodes.member(condition.host, condition.incarnation)
        if member is None:
            self._pulse(sender, now, knows_you=False)
            return
        is_news = self._nodes.on_heard(
            member, now, is_ready=condition.is_ready, is_leaving=condition.is_leaving
        )
        reporter = self._reporters.get(member.host)
        if reporter is None or reporter.member != member:
            reporter = self._reporters[member.host] = _Reporter(member)
        reporter.heard_at = now
        self._compare(member, report.freshness, now)
        unknown: tuple[int, ...] = ()
        if report.jobs is not None:
            unknown = self._placer.reconcile(member.host, member.incarnation, report.jobs, now)
        self._pulse(sender, now, unknown=unknown)
        if report.wants_list:
            self._send_list(sender, now)
        if is_news:
            logs.event(
                "node_changed",
                node=member.host,
                incarnation=member.incarnation,
                ready=condition.is_ready,
                leaving=condition.is_leaving,
            )
            self._tell(
                peer_messages.Seen(
                    member, condition.is_ready, condition.is_leaving, is_gone=False
                ),
                now,
            )

    def _tell(self, change: peer_messages.Seen, now: float) -> None:
        """Tell all reporters of a change at once, if this node is the first hub."""
        if not self._nodes.is_first_hub(now):
            return
        for reporter in self._reporters.values():
            if reporter.member.host != change.member.host:
                self._pulse(reporter.member.peer_address, now, seen=(change,))

    def _send_list(self, address: catalog.Address, now: float) -> None:
        seen = [
            peer_messages.Seen(
                sighting.member, sighting.is_ready, sighting.is_leaving, is_gone=False
            )
            for sighting in self._nodes.alive(now)
        ]
        self._list_number += 1
        total = max(1, -(-len(seen) // SEEN_PER_MESSAGE))
        for index in range(total):
            start = index * SEEN_PER_MESSAGE
            part = peer_messages.ListPart(self._list_number, index, total)
            chosen = tuple(seen[start : start + SEEN_PER_MESSAGE])
            self._pulse(address, now, seen=chosen, part=part)

    def _pulse(
        self,
        address: catalog.Address,
        now: float,
        *,
        knows_you: bool = True,
        unknown: tuple[int, ...] = (),
        seen: tuple[peer_messages.Seen, ...] = (),
        part: peer_messages.ListPart | None = None,
    ) -> None:
        pulse = peer_messages.Pulse(
            self._condition(),
            self._freshness(now),
            self._nodes.view(now),
            knows_you,
            unknown,
            seen,
            part,
        )
        self._send(address, pulse)

    def _on_pulse(self, pulse: peer_messages.Pulse, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        condition = pulse.condition
        hub = self._nodes.member(condition.host, condition.incarnation)
        if hub is None:
            hub = self._candidate(condition, now)
            if hub is None:
                return
        self._nodes.on_heard(
            hub, now, is_ready=condition.is_ready, is_leaving=condition.is_leaving
        )
        self._nodes.on_hub_heard(hub.host, now)
        if pulse.knows_you:
            self._known_at.add(hub)
        else:
            self._known_at.discard(hub)
        hubs = self._nodes.hubs(now)
        if hubs and hubs[0].host == hub.host:
            self._follow_view(pulse, now)
        self._compare(hub, pulse.freshness, now)
        for number in pulse.unknown_jobs:
            self._tell_job(sender, number, now)

    def _candidate(
        self, condition: peer_messages.Condition, now: float
    ) -> roster.Member | None:
        for member in self._nodes.candidates(now):
            if (member.host, member.incarnation) == (condition.host, condition.incarnation):
                return member
        return None

    def _follow_view(self, pulse: peer_messages.Pulse, now: float) -> None:
        """Take in what the first hub says of the other nodes."""
        for seen in pulse.seen:
            if seen.is_gone:
                self._nodes.on_gone(seen.member, now)
            else:
                self._nodes.on_heard(
                    seen.member, now, is_ready=seen.is_ready, is_leaving=seen.is_leaving
                )
        if pulse.part is not None:
            if pulse.part.number != self._list_parts[0]:
                self._list_parts = (pulse.part.number, {}, now)
            self._list_parts[1][pulse.part.index] = tuple(seen.member for seen in pulse.seen)
            if len(self._list_parts[1]) == pulse.part.total:
                members = [one for part in self._list_parts[1].values() for one in part]
                self._nodes.on_list(members, self._list_parts[2] - LIST_SECONDS, now)
        if pulse.view == self._nodes.view(now):
            self._wants_list = False
            self._nodes.on_confirmed(now)
            self._differs_since = float("inf")
        else:
            # A difference that lasts was no message on its way.
            self._differs_since = min(self._differs_since, now)
            self._wants_list = self._wants_list or now - self._differs_since > DIFFERS_SECONDS

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
            if now - reporter.heard_at > self._nodes.alive_seconds:
                del self._reporters[host]
                dropped = self._placer.forget_host(host, now)
                logs.event("node_lost", node=host, requests=dropped)
                gone = peer_messages.Seen(
                    reporter.member, is_ready=False, is_leaving=False, is_gone=True
                )
                self._tell(gone, now)

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

    __slots__ = ("heard_at", "member")

    def __init__(self, member: roster.Member) -> None:
        self.member = member
        self.heard_at = 0.0


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
