"""`status`: fetches and prints the status of every node."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, NamedTuple

import result
from rich import table as rich_table

from dragonflycove.cli import command_line, connections, consoles, exit_codes
from dragonflycove.operators import status
from dragonflycove.transport import sessions

if TYPE_CHECKING:
    from collections.abc import Sequence

    import aiohttp

STATUS = command_line.Command(
    "status",
    "Asks a node, and every node that it knows, for its zone and address, the version in force, "
    "servers that are not warm, and counts of refusals, retries and failures.",
    (),
    (
        command_line.Flag("node", "", "Address of any node, a.b.c.d:port."),
        command_line.Flag("json", False, "Print JSON instead of tables."),
    ),
)
"""Definition of the `status` command."""


class FleetStatus(NamedTuple):
    """Statuses of all nodes that were asked."""

    nodes_by_address: dict[str, status.NodeStatus]
    """Status of each node that responded."""

    errors_by_address: dict[str, str]
    """Why no status was received, for each of the other nodes."""


def run(argv: Sequence[str]) -> int:
    """Run the `status` command.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(STATUS, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    address = parsed.ok_value.text("node")
    if not address:
        return command_line.report_usage_error(STATUS, "name a node with --node")
    return asyncio.run(_run(address, parsed.ok_value.is_set("json")))


async def _run(address: str, as_json: bool) -> exit_codes.ExitCode:
    session = sessions.open_pooled()
    try:
        fleet = await fetch_fleet_status(session, address)
    finally:
        await session.close()
    return report(fleet, as_json)


async def fetch_fleet_status(session: aiohttp.ClientSession, address: str) -> FleetStatus:
    """Fetch the status of a node and of all nodes that it knows.

    Args:
        session: HTTP session of the command.
        address: Address of the first node.

    Returns:
        The statuses, and the errors of nodes without a status.
    """
    fleet = FleetStatus({}, {})
    await _fetch_status(session, address, fleet)
    known = {
        member.address
        for node in fleet.nodes_by_address.values()
        for member in node.members
        if member.address
    }
    others = known - fleet.nodes_by_address.keys()
    await asyncio.gather(*(_fetch_status(session, other, fleet) for other in sorted(others)))
    return fleet


async def _fetch_status(session: aiohttp.ClientSession, address: str, fleet: FleetStatus) -> None:
    fetched = await connections.fetch(session, address, "/v1/operator/status")
    if isinstance(fetched, result.Err):
        fleet.errors_by_address[address] = fetched.err_value
        return
    node = status.from_value(fetched.ok_value)
    if node is None:
        fleet.errors_by_address[address] = f"{address} returned a malformed status"
        return
    fleet.nodes_by_address[address] = node


def report(fleet: FleetStatus, as_json: bool) -> exit_codes.ExitCode:
    """Print the statuses of the nodes.

    Args:
        fleet: The statuses.
        as_json: Whether to print JSON instead of tables.

    Returns:
        The exit status; `UNREACHABLE` if a node gave no status.
    """
    if as_json:
        nodes = {key: status.to_value(node) for key, node in fleet.nodes_by_address.items()}
        print(json.dumps({"nodes": nodes, "faults": fleet.errors_by_address}))
    else:
        console = consoles.open_console()
        nodes_in_order = sorted(fleet.nodes_by_address.values())
        console.print(_tabulate_nodes(nodes_in_order))
        console.print(_tabulate_servers(nodes_in_order))
        console.print(_tabulate_reasons(nodes_in_order))
        for error in sorted(fleet.errors_by_address.values()):
            console.print(f"no status: {error}", markup=False)
    if fleet.errors_by_address:
        return exit_codes.ExitCode.UNREACHABLE
    return exit_codes.ExitCode.OK


def _tabulate_nodes(nodes: list[status.NodeStatus]) -> rich_table.Table:
    columns = ("host", "zone", "address", "version", "freshness", "state", "zones out", "sees")
    table = rich_table.Table(*columns, title="nodes")
    for node in nodes:
        live = sum(1 for member in node.members if member.state == "live")
        state = "leaving" if node.leaving else "ready" if node.ready else "not ready"
        table.add_row(
            node.host,
            node.zone,
            node.address,
            str(node.version),
            node.freshness,
            state,
            ", ".join(node.zones_out) or "-",
            f"{live} of {len(node.members)} others",
        )
    return table


def _tabulate_servers(nodes: list[status.NodeStatus]) -> rich_table.Table:
    table = rich_table.Table("server", "zone", "state", "seen by", title="servers not warm")
    hosts_by_server: dict[status.ServerStatus, list[str]] = {}
    for node in nodes:
        for server in node.servers:
            hosts_by_server.setdefault(server, []).append(node.host)
    for server, hosts in sorted(hosts_by_server.items()):
        table.add_row(server.server_id, server.zone, server.state, ", ".join(hosts))
    return table


def _tabulate_reasons(nodes: list[status.NodeStatus]) -> rich_table.Table:
    table = rich_table.Table("what", "reason", "count", title="refusals, retries, failures")
    totals: dict[tuple[str, str], float] = {}
    for node in nodes:
        for kind, counts in (
            ("refused", node.refusals_by_reason),
            ("retried", node.retries_by_reason),
            ("failed", node.failures_by_reason),
        ):
            for reason, count in counts.items():
                totals[kind, reason] = totals.get((kind, reason), 0.0) + count
    for (kind, reason), count in sorted(totals.items()):
        table.add_row(kind, reason, f"{count:g}")
    return table
