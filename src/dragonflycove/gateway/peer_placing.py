"""Requests placements from a hub, and places other nodes' requests where this node is a hub."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from dragonflycove.fleet import peer_messages, server_health, work
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, placer, roster
    from dragonflycove.fleet.queueing import capacity_bookings
    from dragonflycove.gateway import peer_socket, placing
    from dragonflycove.quarantine import crash_counts

REQUEST_RETRY_SECONDS = 0.05
"""Time without a response after which a placement request is resent; hubs take a few ms."""

MAX_UNANSWERED_REQUESTS = 3
"""Placement requests without a response after which the next hub is tried."""

QUEUED_POLL_SECONDS = 0.25
"""Time between two placement requests for a job that is queued at a hub."""

HUB_BACKOFF_SECONDS = 1.0
"""Time for which a hub that did not respond is skipped."""

IMMEDIATE_DECISION_SECONDS = 0.002
"""Time without a decision after which a hub tells the requesting node that the job is queued.

A job that need not queue is placed within one iteration of the event loop."""

FIRST_CONTACT_SECONDS = 0.5
"""Time after its start for which a node waits for a hub, rather than place without knowledge."""

FIRST_CONTACT_CHECK_SECONDS = 0.02
"""Interval at which a node that has just started looks for a hub."""

_HubResponse = peer_messages.PlaceGranted | peer_messages.PlaceRefused | peer_messages.PlaceWaits


class HubRequestPlacer:
    """Places this node's requests through the hubs, and as a hub those of other nodes."""

    def __init__(
        self,
        own: roster.Member,
        nodes: roster.Roster,
        server_placer: placer.Placer,
        local_placer: placing.LocalRequestPlacer,
        counts: crash_counts.CrashCounts,
        datagram_socket: peer_socket.PeerSocket,
        passed_on_bookings: capacity_bookings.PassedOnBookings,
    ) -> None:
        """Create the placer and register its message handlers at the socket.

        Args:
            own: This node.
            nodes: The other nodes.
            server_placer: Counts placed requests on servers.
            local_placer: Queues and places requests where this node is the hub or no hub responds.
            counts: Servers that requests have crashed.
            datagram_socket: Socket to the other nodes.
            passed_on_bookings: Bookings that this node has passed on to its callers.
        """
        self._own = own
        self._passed_on_bookings = passed_on_bookings
        self._nodes = nodes
        self._placer = server_placer
        self._local_placer = local_placer
        self._crash_counts = counts
        self._peer_socket = datagram_socket
        self._contact_until: float | None = None
        self._response_by_key: dict[work.JobKey, asyncio.Future[_HubResponse]] = {}
        self._placing_task_by_key: dict[work.JobKey, asyncio.Task[None]] = {}
        datagram_socket.register(peer_messages.PlaceRequest, self._on_place_request)
        datagram_socket.register(peer_messages.PlaceGranted, self._on_hub_response)
        datagram_socket.register(peer_messages.PlaceRefused, self._on_hub_response)
        datagram_socket.register(peer_messages.PlaceWaits, self._on_hub_response)
        datagram_socket.register(peer_messages.Withdrawn, self._on_withdrawn)
        datagram_socket.register(peer_messages.FirstEvent, self._on_first_event_message)
        datagram_socket.register(peer_messages.Ended, self._on_ended)
        datagram_socket.register(peer_messages.BookingReport, self._on_booking_report)
        datagram_socket.register(peer_messages.ServerSilent, self._on_server_silent)

    async def place(self, job: work.Job) -> work.Grant | work.Refusal:
        """Wait until a request is placed or refused.

        Tries the hubs in order of rank. This node places the request itself if it is the next hub
        or if no hub responds.

        Args:
            job: The request.

        Returns:
            The placement, or the refusal with its reason.
        """
        decision = await self._place_at_hub(job)
        if isinstance(decision, work.Refusal) and decision.reason == work.BOOKED_RETURN:
            self._passed_on_bookings.add(job, decision, asyncio.get_running_loop().time())
        return decision

    async def _place_at_hub(self, job: work.Job) -> work.Grant | work.Refusal:
        loop = asyncio.get_running_loop()
        until = loop.time() + job.deadline_seconds
        await self._wait_for_first_contact()
        for hub in self._nodes.hubs(loop.time()):
            if hub.host == self._own.host:
                break
            if self._nodes.is_suspected(hub.host, loop.time()):
                continue
            remaining_job = job._replace(deadline_seconds=until - loop.time())
            decision = await self._request_placement(hub, remaining_job)
            if decision is not None:
                return decision
            self._nodes.suspect(hub.host, loop.time() + HUB_BACKOFF_SECONDS)
            logs.event("hub_passed_over", hub=hub.host, job=job.key.number)
        return await self._local_placer.place(job._replace(deadline_seconds=until - loop.time()))

    async def _wait_for_first_contact(self) -> None:
        """Wait until a hub is known, for `FIRST_CONTACT_SECONDS` after the first request at most.

        A node without contact knows neither the limits of servers nor what others place.
        """
        loop = asyncio.get_running_loop()
        if self._contact_until is None:
            self._contact_until = loop.time() + FIRST_CONTACT_SECONDS
        for pause in itertools.repeat(FIRST_CONTACT_CHECK_SECONDS):
            now = loop.time()
            if now >= self._contact_until or not self._nodes.awaits_first_contact(now):
                return
            await asyncio.sleep(pause)

    async def _request_placement(
        self, hub: roster.Member, job: work.Job
    ) -> work.Grant | work.Refusal | None:
        """Request a placement from a hub; None if it does not respond.

        Withdraws the request when it ends without a decision, also on cancellation.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + job.deadline_seconds
        unanswered = 0
        retry_seconds = REQUEST_RETRY_SECONDS
        is_settled = False
        try:
            while unanswered < MAX_UNANSWERED_REQUESTS and loop.time() < until:
                future: asyncio.Future[_HubResponse] = loop.create_future()
                self._response_by_key[job.key] = future
                remaining_job = job._replace(deadline_seconds=until - loop.time())
                self._peer_socket.send(hub.peer_address, peer_messages.PlaceRequest(remaining_job))
                try:
                    async with asyncio.timeout(retry_seconds):
                        response = await future
                except TimeoutError:
                    unanswered += 1
                    continue
                if isinstance(response, peer_messages.PlaceWaits):
                    unanswered = 0
                    retry_seconds = QUEUED_POLL_SECONDS
                    placed = await self._wait_until_placed(job.key, retry_seconds)
                    if placed is None:
                        continue
                    response = placed
                is_settled = True
                if isinstance(response, peer_messages.PlaceRefused):
                    return response.refusal
                if isinstance(response, peer_messages.PlaceGranted):
                    self._placer.add_placement(job, response.grant, loop.time(), is_decoding=False)
                    return response.grant
            if loop.time() >= until:
                is_settled = True
                return work.Refusal("no_room_in_time", 0.5)
            return None
        finally:
            self._response_by_key.pop(job.key, None)
            if not is_settled:
                self._peer_socket.send(hub.peer_address, peer_messages.Withdrawn(job.key))

    async def _wait_until_placed(
        self, key: work.JobKey, seconds: float
    ) -> peer_messages.PlaceGranted | peer_messages.PlaceRefused | None:
        """Wait for the decision on a job that the hub has queued; None if it takes too long."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[_HubResponse] = loop.create_future()
        self._response_by_key[key] = future
        try:
            async with asyncio.timeout(seconds):
                response = await future
        except TimeoutError:
            return None
        return None if isinstance(response, peer_messages.PlaceWaits) else response

    def _on_hub_response(self, response: _HubResponse, sender: catalog.Address) -> None:
        future = self._response_by_key.get(response.key)
        if future is not None and not future.done():
            future.set_result(response)
        elif (
            isinstance(response, peer_messages.PlaceGranted)
            and self._placer.placement(response.key) is None
        ):
            self._peer_socket.send(sender, peer_messages.Withdrawn(response.key))

    def _on_place_request(
        self, request: peer_messages.PlaceRequest, sender: catalog.Address
    ) -> None:
        key = request.job.key
        placement = self._placer.placement(key)
        if placement is not None:
            self._peer_socket.send(sender, peer_messages.PlaceGranted(key, placement.grant))
            return
        if key in self._placing_task_by_key:
            self._peer_socket.send(sender, peer_messages.PlaceWaits(key, 0.0))
            return
        task = asyncio.ensure_future(self._place_for_peer(request.job, sender))
        self._placing_task_by_key[key] = task
        task.add_done_callback(lambda _: self._placing_task_by_key.pop(key, None))

    async def _place_for_peer(self, job: work.Job, sender: catalog.Address) -> None:
        decision_task = asyncio.ensure_future(self._local_placer.place(job))
        try:
            done, _ = await asyncio.wait({decision_task}, timeout=IMMEDIATE_DECISION_SECONDS)
            if not done:
                self._peer_socket.send(sender, peer_messages.PlaceWaits(job.key, 0.0))
            decision = await decision_task
        except asyncio.CancelledError:
            decision_task.cancel()
            raise
        if isinstance(decision, work.Grant):
            self._peer_socket.send(sender, peer_messages.PlaceGranted(job.key, decision))
        else:
            self._peer_socket.send(sender, peer_messages.PlaceRefused(job.key, decision))

    def _on_withdrawn(self, message: peer_messages.Withdrawn, sender: catalog.Address) -> None:
        task = self._placing_task_by_key.get(message.key)
        if task is not None:
            task.cancel()
        self._local_placer.on_end(message.key, server_health.Outcome.ABANDONED)

    def _hub_addresses(self) -> list[catalog.Address]:
        hubs = self._nodes.hubs(asyncio.get_running_loop().time())
        return [hub.peer_address for hub in hubs if hub.host != self._own.host]

    def on_first_event(self, key: work.JobKey) -> None:
        """Record that the first event arrived, so the prefill is complete, and notify the hubs.

        Args:
            key: The request.
        """
        self._local_placer.on_first_event(key)
        for address in self._hub_addresses():
            self._peer_socket.send(address, peer_messages.FirstEvent(key))

    def on_silence(self, key: work.JobKey) -> None:
        """Make the server of a request a suspect while it is silent, and notify the hubs.

        Args:
            key: The request.
        """
        placement = self._placer.placement(key)
        if placement is None:
            return
        message = peer_messages.ServerSilent(placement.grant.lead.instance)
        self._suspect(message.instance)
        for address in self._hub_addresses():
            self._peer_socket.send(address, message)

    def on_end(
        self, key: work.JobKey, outcome: server_health.Outcome, refusing_helper_id: str = ""
    ) -> bool:
        """Record that an attempt ended, and notify the hubs.

        Args:
            key: The request.
            outcome: How it ended at its server.
            refusing_helper_id: Id of the helper engine that refused; empty if none refused.

        Returns:
            Whether this made its server a suspect.
        """
        now = asyncio.get_running_loop().time()
        placement = self._placer.placement(key)
        is_suspect = self._local_placer.on_end(key, outcome, refusing_helper_id)
        if placement is not None:
            fingerprint = placement.job.fingerprint
            lost_servers = self._crash_counts.crash_count(fingerprint, now)
            instance = placement.grant.lead.instance
            message = peer_messages.Ended(
                key, outcome, instance, fingerprint, lost_servers, refusing_helper_id
            )
            for address in self._hub_addresses():
                self._peer_socket.send(address, message)
        return is_suspect

    def _on_first_event_message(
        self, message: peer_messages.FirstEvent, sender: catalog.Address
    ) -> None:
        self._local_placer.on_first_event(message.key)

    def _on_ended(self, message: peer_messages.Ended, sender: catalog.Address) -> None:
        if self._placer.placement(message.key) is not None:
            self._local_placer.on_end(message.key, message.outcome, message.refusing_helper_id)
        else:
            now = asyncio.get_running_loop().time()
            self._placer.on_unknown_request(message.instance, now)
            self._placer.health.on_outcome(message.instance, message.outcome, now)

    def _on_server_silent(
        self, message: peer_messages.ServerSilent, sender: catalog.Address
    ) -> None:
        self._suspect(message.instance)

    def _on_booking_report(
        self, message: peer_messages.BookingReport, sender: catalog.Address
    ) -> None:
        self._local_placer.restore_bookings(message)

    def _suspect(self, instance: catalog.Instance) -> None:
        """Make a silent server a suspect; all reports of one silence count once."""
        now = asyncio.get_running_loop().time()
        if not self._placer.health.is_suspect(instance, now):
            self._placer.health.on_outcome(instance, server_health.Outcome.TIMEOUT, now)
