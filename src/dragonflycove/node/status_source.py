"""Collects the node's status for the operators' interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.membership import digests
from dragonflycove.operators import status

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.configuration import acceptance, schema
    from dragonflycove.node import configuration_task, control_tasks, guard_task, node_context

STATE_BY_HEALTH = {
    digests.Health.ALIVE: "live",
    digests.Health.SUSPECT: "live",
    digests.Health.SILENT: "silent",
}
"""State of a member as shown to operators, by its health."""


class NodeStatusSource:
    """Builds the operators' status from the state of the node's tasks."""

    def __init__(
        self,
        context: node_context.NodeContext,
        configuration: configuration_task.ConfigurationTask,
        control: control_tasks.ControlTasks,
        guard: guard_task.GuardTask,
        is_ready: Callable[[], bool],
    ) -> None:
        """Create the source.

        Args:
            context: State shared by the node's tasks.
            configuration: Follows the configuration.
            control: Tracks the other nodes.
            guard: Tracks the cold servers.
            is_ready: Returns whether the node accepts new requests.
        """
        self._context = context
        self._configuration = configuration
        self._control = control
        self._guard = guard
        self._is_ready = is_ready

    def describe(self) -> status.NodeStatus:
        """Return the node's current status, its members and its backend servers."""
        context = self._context
        settings = context.settings
        metrics = context.metrics
        return status.NodeStatus(
            settings.host,
            context.identity.incarnation,
            settings.zone,
            settings.caller_address,
            settings.log_address,
            context.configuration.version,
            self._configuration.evaluate_freshness().value,
            self._is_ready(),
            context.hidden_from_lookup,
            tuple(sorted(context.configuration.zones_out)),
            self._describe_members(),
            self._describe_servers(),
            metrics.totals("refusals"),
            metrics.totals("retries"),
            metrics.totals("failures"),
        )

    def acceptance_state(self) -> acceptance.AcceptanceState:
        """Return the state by which this node accepts configuration records."""
        return self._configuration.state

    def _describe_members(self) -> tuple[status.MemberStatus, ...]:
        digests_by_host = self._control.membership.members.digests_by_host
        members = []
        for name, entry in sorted(self._context.hosts_by_name.items()):
            if name == self._context.identity.host:
                continue
            digest = digests_by_host.get(name)
            state = "unknown" if digest is None else STATE_BY_HEALTH[digest.health]
            if entry.leaving or (digest is not None and digest.leaving):
                state = "leaving"
            members.append(
                status.MemberStatus(
                    name,
                    entry.zone,
                    entry.address,
                    state,
                    "" if digest is None else digest.incarnation,
                    -1 if digest is None else digest.version,
                )
            )
        return tuple(members)

    def _describe_servers(self) -> tuple[status.ServerStatus, ...]:
        cold = frozenset(self._guard.cold_servers())
        configuration = self._context.configuration
        described = []
        for server_id, server in sorted(configuration.servers_by_id.items()):
            state = _server_state(configuration, server, server_id in cold)
            if state:
                described.append(status.ServerStatus(server_id, server.zone, state))
        return tuple(described)


def _server_state(configuration: schema.Configuration, server: schema.Server, cold: bool) -> str:
    """Return the state of a backend server, empty if it is warm and in service."""
    if server.leaving:
        return "leaving"
    if server.zone in configuration.zones_out:
        return "zone_out"
    return "cold" if cold else ""
