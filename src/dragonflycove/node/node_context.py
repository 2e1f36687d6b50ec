"""What the tasks of one node share: clients, mailboxes and the view of the configuration."""

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

CANCEL_TRIES = 5
"""Tries to cancel an attempt before it is left to reclaim."""

LEFTOVER_SECONDS = 120.0
"""Time for which a server is looked after where a cancellation was given up, seconds."""

CANCEL_RETRY_SECONDS = 0.5
"""Wait between two tries to cancel an attempt, seconds."""


@dataclasses.dataclass(eq=False)
class NodeContext:
    """The context that a node hands to its tasks."""

    settings: node_settings.NodeSettings
    """The node's settings."""

    identity: identifiers.NodeIdentity
    """The node's identity."""

    rng: random.Random
    """Generator for identifiers and choices."""

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
    """Work that no request waits for."""

    groups_by_request: dict[str, group_task.GroupTask] = dataclasses.field(default_factory=dict)
    """Memory groups that hold or may hold memory."""

    group_id_by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    """Identifiers of the memory groups that are ready."""

    free_tokens_by_server: dict[str, int] = dataclasses.field(default_factory=dict)
    """KV memory free at each engine by its last report, tokens."""

    left_at_by_server: dict[str, float] = dataclasses.field(default_factory=dict)
    """When a cancellation was last given up, by server, seconds of the loop's clock."""

    configuration: schema.Configuration = schema.EMPTY
    """The configuration in force."""

    subset: schema.Configuration = schema.EMPTY
    """The configuration in force with the backend servers that this node works with."""

    hosts_by_name: dict[str, host_list_client.HostEntry] = dataclasses.field(default_factory=dict)
    """Hosts by the newest host list."""

    silent_hosts: frozenset[str] = frozenset()
    """Hosts that do not answer their peers or are stopping."""

    leaving: bool = False
    """Whether this node refuses new work because it is stopping."""

    withdrawn: bool = False
    """Whether lookups no longer name this node."""

    requests_by_id: dict[str, model_request_task.ModelRequestTask] = dataclasses.field(
        default_factory=dict
    )
    """Model requests under way."""

    work_ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    """Set whenever a request or call ends; cleared by who waits for it."""

    calls_running: int = 0
    """Calls to plain services under way."""

    def server_address(self, server_id: str) -> str | None:
        """Return a backend server's address, `None` for an unknown one."""
        server = self.configuration.servers_by_id.get(server_id)
        return server.address if server is not None else None

    def new_request_id(self) -> str:
        """Return a fresh identifier of a request."""
        return identifiers.new_id(self.rng, "request")

    def take_over(
        self, task: model_request_task.ModelRequestTask, point: attempt_values.ResumePoint
    ) -> None:
        """Run a request whose stream another node started.

        Args:
            task: The request's task.
            point: Where the stream runs.
        """
        self.requests_by_id[task.request.request_id] = task
        self.metrics.count("stream_taken_over")
        task.take_over(point)
        self.background.start(task.request.request_id, task.run())

    def other_address(self) -> str | None:
        """Return the caller address of another live host, the same zone first."""
        host = self.other_host()
        return self.hosts_by_name[host].address if host is not None else None

    def other_host(self) -> str | None:
        """Return the name of another live host, the same zone first."""
        others = [
            entry
            for name, entry in self.hosts_by_name.items()
            if name != self.identity.host and not entry.leaving and name not in self.silent_hosts
        ]
        allowed = [entry for entry in others if entry.zone not in self.configuration.zones_out]
        near = [entry for entry in allowed if entry.zone == self.settings.zone]
        choices = near or allowed or others
        return self.rng.choice(choices).name if choices else None

    def cancel_attempt(self, attempt: str, server_id: str) -> None:
        """Free an attempt at its engine, with bounded retries in the background.

        Args:
            attempt: The attempt.
            server_id: The engine.
        """
        address = self.server_address(server_id)
        if address is not None:
            self.dispatch.post(dispatch_messages.CancelStarted(server_id))
            work = self._cancel_and_tell(address, attempt, server_id)
            self.background.start(f"cancel-{attempt}", work)

    async def _cancel_and_tell(self, address: str, attempt: str, server_id: str) -> None:
        try:
            await self._cancel(address, attempt, server_id)
        finally:
            self.dispatch.post(dispatch_messages.CancelEnded(server_id))

    async def _cancel(self, address: str, attempt: str, server_id: str) -> None:
        for _ in range(CANCEL_TRIES):
            answer = await self.engines.cancel(address, attempt, model_request_task.CANCEL_SECONDS)
            if isinstance(answer, result.Ok):
                return
            await asyncio.sleep(CANCEL_RETRY_SECONDS)
        self.metrics.count("cancel_left_to_reclaim")
        self.left_at_by_server[server_id] = asyncio.get_running_loop().time()
        logs.warning("cancel_given_up", attempt=attempt, address=address)

    def request_over(self, request_id: str) -> None:
        """Forget a request that has its outcome.

        Args:
            request_id: The request.
        """
        self.requests_by_id.pop(request_id, None)
        group = self.groups_by_request.get(request_id)
        if group is not None:
            group.mailbox.post(group_task.RequestEnded())
        self.work_ended.set()

    def call_over(self) -> None:
        """Take note that a call to a plain service ended."""
        self.calls_running -= 1
        self.work_ended.set()

    def known_ids(self) -> frozenset[str]:
        """Return the attempts and memory groups that this node uses."""
        attempts = {attempt for task in self.requests_by_id.values() for attempt in task.attempts()}
        groups = {group.group_id for group in self.groups_by_request.values()}
        return frozenset(attempts | groups)

    def servers_with_leftovers(self) -> frozenset[str]:
        """Return the servers at which a cancellation was given up a while ago."""
        since = asyncio.get_running_loop().time() - LEFTOVER_SECONDS
        self.left_at_by_server = {
            server_id: at for server_id, at in self.left_at_by_server.items() if at > since
        }
        return frozenset(self.left_at_by_server)

    def waiting_by_model(self) -> dict[str, int]:
        """Return how many requests have no server yet, by model."""
        waiting = collections.Counter(
            task.request.model for task in self.requests_by_id.values() if not task.current_server
        )
        return dict(waiting)

    def server_crashed(self, server_id: str) -> None:
        """Take note that a server broke off everything at once.

        Args:
            server_id: The server.
        """
        self.guard.post(guard_messages.ServerCrashed(server_id))
        for group in self.groups_by_request.values():
            group.mailbox.post(group_task.EngineDied(server_id))

    def build_group(self, request: requests.ModelRequest, candidates: tuple[str, ...]) -> None:
        """Build a memory group for a request; one that it had before is given up.

        Args:
            request: The request.
            candidates: Engines that may take part.
        """
        earlier = self.groups_by_request.get(request.request_id)
        if earlier is not None:
            # The dispatcher asks again where it could not use the group or its attempt broke.
            earlier.mailbox.post(group_task.RequestEnded())
        group = group_task.GroupTask(self, request, lambda: self._free_engines(candidates))
        self.groups_by_request[request.request_id] = group
        self.background.start(f"group-{request.request_id}", group.run())

    def _free_engines(self, names: tuple[str, ...]) -> list[memory_groups.Candidate]:
        return [
            memory_groups.Candidate(name, self.free_tokens_by_server.get(name, 0))
            for name in names
            if self.configuration.accepts_new_work(name)
        ]

    def group_of(self, request_id: str) -> tuple[str, ...]:
        """Return the identifier of a request's memory group as engines take it."""
        group_id = self.group_id_by_request.get(request_id)
        return (group_id,) if group_id is not None else ()

    def remove_group(self, request_id: str, group: group_task.GroupTask) -> None:
        """Forget a memory group that holds nothing any more, unless another took its place."""
        if self.groups_by_request.get(request_id) is group:
            del self.groups_by_request[request_id]
            self.group_id_by_request.pop(request_id, None)

    def fail_request(self, request_id: str, failed: outcomes.Failed) -> None:
        """End a request that cannot be run.

        Args:
            request_id: The request.
            failed: What its caller is told.
        """
        task = self.requests_by_id.get(request_id)
        if task is not None:
            task.mailbox.post(dispatch_messages.Denied(failed))
