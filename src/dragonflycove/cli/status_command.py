"""`status`: asks every node what it knows."""

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
    "Asks a node, and every node that it knows, who is where, which version is in force, and "
    "what is cold, refused and retried.",
    (),
    (
        command_line.Flag("node", "", "Address of any node, a.b.c.d:port."),
        command_line.Flag("json", False, "Print JSON."),
    ),
)
"""Command line of `status`."""


class FleetStatus(NamedTuple):
    """What all nodes said."""

    nodes_by_address: dict[str, status.NodeStatus]
    """Statuses of the nodes that answered."""

    faults_by_address: dict[str, str]
    """Why the other nodes gave none."""


def run(argv: Sequence[str]) -> int:
    """Run `status`.

    Args:
        argv: The words after it.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(STATUS, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    address = parsed.ok_value.text("node")
    if not address:
        return command_line.complain(STATUS, "name a node with --node")
    return asyncio.run(_run(address, parsed.ok_value.is_set("json")))


async def _run(address: str, as_json: bool) -> exit_codes.ExitCode:
    session = sessions.open_pooled()
    try:
        fleet = await ask_fleet(session, address)
    finally:
        await session.close()
    return report(fleet, as_json)


async def ask_fleet(session: aiohttp.ClientSession, address: str) -> FleetStatus:
    """Ask a node, and the nodes that it knows.

    Args:
        session: Where connections come from.
        address: Address of the first node.

    Returns:
        What they said.
    """
    fleet = FleetStatus({}, {})
    await _ask(session, address, fleet)
    known = {
        member.address
        for node in fleet.nodes_by_address.values()
        for member in node.members
        if member.address
    }
    others = known - fleet.nodes_by_address.keys()
    await asyncio.gather(*(_ask(session, other, fleet) for other in sorted(others)))
    return fleet


async def _ask(session: aiohttp.ClientSession, address: str, fleet: FleetStatus) -> None:
    answer = await connections.fetch(session, address, "/v1/operator/status")
    if isinstance(answer, result.Err):
        fleet.faults_by_address[address] = answer.err_value
        return
    node = status.from_value(answer.ok_value)
    if node is None:
        fleet.faults_by_address[address] = f"{address} gave a status of another form"
        return
    fleet.nodes_by_address[address] = node


def report(fleet: FleetStatus, as_json: bool) -> exit_codes.ExitCode:
    """Print what the nodes said.

    Args:
        fleet: What they said.
        as_json: Whether to print JSON.

    Returns:
        The exit status; not `OK` if a node did not answer.
    """
    if as_json:
        nodes = {key: status.to_value(node) for key, node in fleet.nodes_by_address.items()}
        print(json.dumps({"nodes": nodes, "faults": fleet.faults_by_address}))
    else:
        console = consoles.open_console()
        nodes_in_order = sorted(fleet.nodes_by_address.values())
        console.print(_tabulate_nodes(nodes_in_order))
        console.print(_tabulate_servers(nodes_in_order))
        console.print(_tabulate_reasons(nodes_in_order))
        for fault in sorted(fleet.faults_by_address.values()):
            console.print(f"no answer: {fault}", markup=False)
    if fleet.faults_by_address:
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
    seers_by_server: dict[status.ServerStatus, list[str]] = {}
    for node in nodes:
        for server in node.servers:
            seers_by_server.setdefault(server, []).append(node.host)
    for server, seers in sorted(seers_by_server.items()):
        table.add_row(server.server_id, server.zone, server.state, ", ".join(seers))
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
