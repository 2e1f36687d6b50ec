"""`lookup`: asks a node which node addresses a caller should use."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from urllib import parse as urllib_parse

import result

from dragonflycove.cli import command_line, connections, exit_codes
from dragonflycove.transport import sessions

if TYPE_CHECKING:
    from collections.abc import Sequence

LOOKUP = command_line.Command(
    "lookup",
    "Asks a node which addresses a caller should use, and prints them as JSON.",
    (),
    (
        command_line.Flag("node", "", "Address of any node, a.b.c.d:port."),
        command_line.Flag("zone", "", "Availability zone of the caller."),
    ),
)
"""Definition of the `lookup` command."""


def run(argv: Sequence[str]) -> int:
    """Run the `lookup` command.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(LOOKUP, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    if not parsed.ok_value.text("node"):
        return command_line.report_usage_error(LOOKUP, "name a node with --node")
    return asyncio.run(_run(parsed.ok_value))


async def _run(arguments: command_line.Arguments) -> exit_codes.ExitCode:
    query = urllib_parse.urlencode({"zone": arguments.text("zone")})
    session = sessions.open_pooled()
    try:
        found = await connections.fetch(session, arguments.text("node"), f"/v1/where?{query}")
    finally:
        await session.close()
    if isinstance(found, result.Err):
        return command_line.fail(found.err_value, exit_codes.ExitCode.UNREACHABLE)
    print(json.dumps(found.ok_value, indent=2))
    return exit_codes.ExitCode.OK
