"""State that the tasks of one node share: clients, mailboxes and the configuration in force."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

import result

from dragonflycove.configuration import schema
from dragonflycove.node import (
    dispatch_messages,
    group_task,
    guard_messages,
    model_request_task,
    tasks,
)
from dragonflycove.placement import memory_groups
from dragonflycove.telemetry import logs
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    import random

    from dragonflycove.attempts import attempts as attempt_values
    from dragonflycove.backends import engine_client, plain_client
    from dragonflycove.infrastructure import host_list_client
    from dragonflycove.settings import node as node_settings
    from dragonflycove.telemetry import metrics as node_metrics
    from dragonflycove.values import outcomes, requests

MAX_CANCEL_TRIES = 5
"""Cancel requests sent for one attempt before it is left to reclaim."""

ABANDONED_ATTEMPT_SECONDS = 120.0
"""Time after an abandoned cancellation during which reclaim checks the server, seconds."""

CANCEL_RETRY_INTERVAL_SECONDS = 0.5
"""Wait between two cancel requests for one attempt."""


@dataclasses.dataclass(eq=False)
class NodeContext:
    """Clients, mailboxes and mutable state shared by the tasks of a node."""

    settings: node_settings.NodeSettings
    """The node's settings."""

    identity: identifiers.NodeIdentity
    """Host name and incarnation of this process."""

    rng: random.Random
    """Generator of identifiers and random choices."""

    metrics: node_metrics.Metrics
    """The node's metrics."""

    engines: engine_client.EngineClient
    """Client of model engines."""

    plain: plain_client.PlainClient
    """Client of plain services."""

    dispatch: tasks.Mailbox[dispatch_messages.DispatchMessage]
    """Mailbox of the dispatch task."""

    guard: tasks.Mailbox[guard_messages.GuardMessage]
    """Mailbox of the guard task."""

    background: tasks.TaskGroup
    """Tasks of requests, memory groups, cancellations and the like; stopped with the node."""

    groups_by_request: dict[str, group_task.GroupTask] = dataclasses.field(default_factory=dict)
    """Tasks of the newest memory groups, by request; a group may hold KV cache at its engines."""

    group_id_by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    """Identifiers of the memory groups that are ready, by request."""

    free_tokens_by_server: dict[str, int] = dataclasses.field(default_factory=dict)
    """Free KV cache of each engine by its last load report, tokens."""

    cancel_abandoned_at_by_server: dict[str, float] = dataclasses.field(default_factory=dict)
    """Loop time at which a cancellation was last abandoned, seconds, by server."""

    configuration: schema.Configuration = schema.EMPTY
    """The configuration in force."""

    subset: schema.Configuration = schema.EMPTY
    """The configuration in force, restricted to the backend servers that this node uses."""

    hosts_by_name: dict[str, host_list_client.ListedHost] = dataclasses.field(default_factory=dict)
    """Entries of the newest host list, by host name."""

    unresponsive_hosts: frozenset[str] = frozenset()
    """Hosts that do not respond to their peers or are stopping."""

    refuses_new_work: bool = False
    """Whether this node refuses new requests because it is stopping."""

    hidden_from_lookup: bool = False
    """Whether this node leaves itself out of lookup responses because it is stopping."""

    requests_by_id: dict[str, model_request_task.ModelRequestTask] = dataclasses.field(
        default_factory=dict
    )
    """Tasks of the model requests in flight."""

    work_ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    """Set whenever a request or call ends; cleared by the task that waits for it."""

    calls_in_flight: int = 0
    """Number of calls to plain services in flight."""

    def server_address(self, server_id: str) -> str | None:
        """Return a backend server's address; `None` if it is not in the configuration."""
        server = self.configuration.servers_by_id.get(server_id)
        return server.address if server is not None else None

    def new_request_id(self) -> str:
        """Return a new request identifier."""
        return identifiers.new_id(self.rng, "request")

    def take_over(
        self, task: model_request_task.ModelRequestTask, point: attempt_values.ResumePoint
    ) -> None:
        """Register and run a request whose stream another node started.

        Args:
            task: The request's task.
            point: Server and attempt that run the stream.
        """
        self.requests_by_id[task.request.request_id] = task
        self.metrics.count("stream_taken_over")
        task.take_over(point)
        self.background.start(task.request.request_id, task.run())

    def choose_other_address(self) -> str | None:
        """Return the caller address of another responsive host; `None` if there is none."""
        host = self.choose_other_host()
        return self.hosts_by_name[host].address if host is not None else None

    def choose_other_host(self) -> str | None:
        """Choose another responsive host at random; return `None` if there is none.

        This node's zone is preferred, then other zones in service, then zones out of service.
        """
        others = [
            entry
            for name, entry in self.hosts_by_name.items()
            if name != self.identity.host
            and not entry.leaving
            and name not in self.unresponsive_hosts
        ]
        allowed = [entry for entry in others if entry.zone not in self.configuration.zones_out]
        near = [entry for entry in allowed if entry.zone == self.settings.zone]
        choices = near or allowed or others
        return self.rng.choice(choices).name if choices else None

    def cancel_attempt(self, attempt: str, server_id: str) -> None:
        """Cancel an attempt at its engine in the background, with bounded retries.

        Args:
            attempt: Identifier of the attempt.
            server_id: Identifier of the engine.
        """
        address = self.server_address(server_id)
        if address is not None:
            self.dispatch.post(dispatch_messages.CancelStarted(server_id))
            work = self._cancel_and_notify(address, attempt, server_id)
            self.background.start(f"cancel-{attempt}", work)

    async def _cancel_and_notify(self, address: str, attempt: str, server_id: str) -> None:
        try:
            await self._cancel(address, attempt, server_id)
        finally:
            self.dispatch.post(dispatch_messages.CancelEnded(server_id))

    async def _cancel(self, address: str, attempt: str, server_id: str) -> None:
        for _ in range(MAX_CANCEL_TRIES):
            response = await self.engines.cancel(
                address, attempt, model_request_task.CANCEL_TIMEOUT_SECONDS
            )
            if isinstance(response, result.Ok):
                return
            await asyncio.sleep(CANCEL_RETRY_INTERVAL_SECONDS)
        self.metrics.count("cancel_left_to_reclaim")
        self.cancel_abandoned_at_by_server[server_id] = asyncio.get_running_loop().time()
        logs.warning("cancel_given_up", attempt=attempt, address=address)

    def remove_request(self, request_id: str) -> None:
        """Remove a request that has its outcome and release its memory group.

        Args:
            request_id: Identifier of the request.
        """
        self.requests_by_id.pop(request_id, None)
        group = self.groups_by_request.get(request_id)
        if group is not None:
            group.mailbox.post(group_task.GroupUnneeded())
        self.work_ended.set()

    def record_call_end(self) -> None:
        """Record that a call to a plain service ended."""
        self.calls_in_flight -= 1
        self.work_ended.set()

    def known_ids(self) -> frozenset[str]:
        """Return the identifiers of the attempts and memory groups in use by this node."""
        attempts = {attempt for task in self.requests_by_id.values() for attempt in task.attempts()}
        groups = {group.group_id for group in self.groups_by_request.values()}
        return frozenset(attempts | groups)

    def servers_with_abandoned_attempts(self) -> frozenset[str]:
        """Return the servers at which a cancellation was abandoned recently."""
        since = asyncio.get_running_loop().time() - ABANDONED_ATTEMPT_SECONDS
        self.cancel_abandoned_at_by_server = {
            server_id: at
            for server_id, at in self.cancel_abandoned_at_by_server.items()
            if at > since
        }
        return frozenset(self.cancel_abandoned_at_by_server)

    def waiting_by_model(self) -> dict[str, int]:
        """Return the number of requests that no server has been assigned to yet, by model."""
        waiting = collections.Counter(
            task.request.model for task in self.requests_by_id.values() if not task.current_server
        )
        return dict(waiting)

    def report_server_crash(self, server_id: str) -> None:
        """Report a server crash to the guard task and to the memory groups.

        The guard task informs its cold-start tracker and its quarantine, which decide what may be
        sent to which server.

        Args:
            server_id: Identifier of the server.
        """
        self.guard.post(guard_messages.ServerCrashed(server_id))
        for group in self.groups_by_request.values():
            group.mailbox.post(group_task.EngineCrashed(server_id))

    def build_group(self, request: requests.ModelRequest, candidates: tuple[str, ...]) -> None:
        """Start building a memory group for a request; an earlier one is released.

        Args:
            request: The request.
            candidates: Identifiers of the engines that may be members.
        """
        earlier = self.groups_by_request.get(request.request_id)
        if earlier is not None:
            # The dispatcher needs a new group if it could not use this one or the attempt failed.
            earlier.mailbox.post(group_task.GroupUnneeded())
        group = group_task.GroupTask(self, request, lambda: self._free_engines(candidates))
        self.groups_by_request[request.request_id] = group
        self.background.start(f"group-{request.request_id}", group.run())

    def _free_engines(self, names: tuple[str, ...]) -> list[memory_groups.Candidate]:
        return [
            memory_groups.Candidate(name, self.free_tokens_by_server.get(name, 0))
            for name in names
            if self.configuration.accepts_new_work(name)
        ]

    def group_ids(self, request_id: str) -> tuple[str, ...]:
        """Return the identifier of a request's ready memory group as a tuple, empty without one."""
        group_id = self.group_id_by_request.get(request_id)
        return (group_id,) if group_id is not None else ()

    def remove_group(self, request_id: str, group: group_task.GroupTask) -> None:
        """Remove a memory group that has released its KV cache, unless a newer one replaced it."""
        if self.groups_by_request.get(request_id) is group:
            del self.groups_by_request[request_id]
            self.group_id_by_request.pop(request_id, None)

    def fail_request(self, request_id: str, failed: outcomes.Failed) -> None:
        """End a request for which no memory group can be built.

        Args:
            request_id: Identifier of the request.
            failed: Outcome for the caller.
        """
        task = self.requests_by_id.get(request_id)
        if task is not None:
            task.mailbox.post(dispatch_messages.Denied(failed))
