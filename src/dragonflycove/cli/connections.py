"""Connections of a command to nodes and to the log service.

The address of the log service is given by a flag or asked from a node.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import result

from dragonflycove.cli import command_line
from dragonflycove.infrastructure import log_client
from dragonflycove.transport import exchange, sessions

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import aiohttp

    from dragonflycove.cli import exit_codes

NODE_CALL_TIMEOUT_SECONDS = 5.0
"""Timeout of one request to a node, seconds."""

LOG_FLAGS = (
    command_line.Flag("log", "", "Address of the log service, a.b.c.d:port."),
    command_line.Flag(
        "node", "", "Node to ask for the log service's address, a.b.c.d:port; used without --log."
    ),
    command_line.Flag("timeout", 20.0, "Timeout of the whole command, seconds."),
)
"""Flags of all commands that use the log service."""

OPERATION_FLAGS = (
    command_line.Flag("author", "", "Name recorded as the author; the login name if empty."),
    command_line.Flag("operation", "", "Operation id of an earlier try that was not confirmed."),
)
"""Additional flags of the commands that append to the log."""


async def with_log(
    arguments: command_line.Arguments,
    action: Callable[[log_client.LogClient], Awaitable[exit_codes.ExitCode]],
) -> result.Result[exit_codes.ExitCode, str]:
    """Run an action with a client of the log service.

    Args:
        arguments: The parsed command line, with the flags of `LOG_FLAGS`.
        action: Coroutine function that gets the client and returns the exit status.

    Returns:
        The exit status of the action, or why the address of the log service is unknown.
    """
    session = sessions.open_pooled()
    try:
        address = arguments.text("log")
        if not address:
            found = await _find_log_address(session, arguments.text("node"))
            if isinstance(found, result.Err):
                return found
            address = found.ok_value
        return result.Ok(await action(log_client.LogClient(session, address)))
    finally:
        await session.close()


async def fetch(
    session: aiohttp.ClientSession, address: str, path: str
) -> result.Result[dict[str, Any], str]:
    """Get a JSON object from a node.

    Args:
        session: HTTP session of the command.
        address: Address of the node.
        path: Path with query, beginning with `/`.

    Returns:
        The object, or why the request failed.
    """
    request = exchange.Request("GET", f"http://{address}{path}")
    response = await exchange.exchange_json(
        session, request, dict[str, Any], NODE_CALL_TIMEOUT_SECONDS
    )
    return response.map_err(lambda error: f"request to {address} failed: {error.reason}")


def new_id_generator() -> random.Random:
    """Return a random generator for operation ids, backed by the operating system."""
    return random.SystemRandom()


async def _find_log_address(session: aiohttp.ClientSession, node: str) -> result.Result[str, str]:
    if not node:
        return result.Err("name the log service with --log, or a node with --node")
    status = await fetch(session, node, "/v1/operator/status")
    return status.map(lambda fields: str(fields.get("log_address", "")))
