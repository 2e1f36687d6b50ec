"""Connections of a command: the log service, named directly or by a node, and nodes."""

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

NODE_SECONDS = 5.0
"""Bound on one call to a node, seconds."""

LOG_FLAGS = (
    command_line.Flag("log", "", "Address of the log service, a.b.c.d:port."),
    command_line.Flag("node", "", "Address of a node that knows the log service."),
    command_line.Flag("timeout", 20.0, "Bound on the whole command, seconds."),
)
"""Flags of the commands that use the log service."""

OPERATION_FLAGS = (
    command_line.Flag("author", "", "Who does it; the user's name if it is left out."),
    command_line.Flag("operation", "", "Identifier of an earlier try that was not confirmed."),
)
"""Flags of the commands that append to the log."""


async def with_log(
    arguments: command_line.Arguments,
    use: Callable[[log_client.LogClient], Awaitable[exit_codes.ExitCode]],
) -> result.Result[exit_codes.ExitCode, str]:
    """Open the log service for a command.

    Args:
        arguments: The command line, with the flags of `LOG_FLAGS`.
        use: What to do with it.

    Returns:
        What `use` returned, or why the log's address is not known.
    """
    session = sessions.open_pooled()
    try:
        address = arguments.text("log")
        if not address:
            found = await _find_log(session, arguments.text("node"))
            if isinstance(found, result.Err):
                return found
            address = found.ok_value
        return result.Ok(await use(log_client.LogClient(session, address)))
    finally:
        await session.close()


async def fetch(
    session: aiohttp.ClientSession, address: str, path: str
) -> result.Result[dict[str, Any], str]:
    """Get a JSON object from a node.

    Args:
        session: Where connections come from.
        address: Address of the node.
        path: Path, beginning with `/`.

    Returns:
        The object, or why there is none.
    """
    request = exchange.Request("GET", f"http://{address}{path}")
    answer = await exchange.exchange_json(session, request, dict[str, Any], NODE_SECONDS)
    return answer.map_err(lambda error: f"{address} does not answer: {error.reason}")


def new_generator() -> random.Random:
    """Return a generator for identifiers."""
    return random.SystemRandom()


async def _find_log(session: aiohttp.ClientSession, node: str) -> result.Result[str, str]:
    if not node:
        return result.Err("name the log service with --log, or a node with --node")
    status = await fetch(session, node, "/v1/operator/status")
    return status.map(lambda fields: str(fields.get("log_address", "")))
