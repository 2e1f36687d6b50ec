"""`ask`: sends a prompt to a model and prints the tokens as they are streamed."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
import result

from dragonflycove.cli import command_line, exit_codes
from dragonflycove.transport import sessions

if TYPE_CHECKING:
    from collections.abc import Sequence

ASK = command_line.Command(
    "ask",
    "Sends a prompt to a model and prints the generated tokens as they arrive.",
    ("PROMPT",),
    (
        command_line.Flag("node", "", "Address of a node, a.b.c.d:port."),
        command_line.Flag("model", "", "Name of the model."),
        command_line.Flag("organisation", "", "Organisation that the request is made for."),
        command_line.Flag("max_tokens", 64, "Maximum number of tokens to generate."),
        command_line.Flag("deadline", 30.0, "Deadline for the complete response, seconds."),
        command_line.Flag(
            "batch",
            False,
            "Send with batch urgency: may be delayed, but must finish by the deadline.",
        ),
    ),
)
"""Definition of the `ask` command."""

DEADLINE_MARGIN_SECONDS = 5.0
"""Time after the deadline at which the command stops waiting for the node, seconds."""


def run(argv: Sequence[str]) -> int:
    """Run the `ask` command.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(ASK, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    arguments = parsed.ok_value
    missing = [name for name in ("node", "model", "organisation") if not arguments.text(name)]
    if missing:
        return command_line.report_usage_error(
            ASK, "missing " + ", ".join(f"--{name}" for name in missing)
        )
    return asyncio.run(ask(arguments))


async def ask(arguments: command_line.Arguments) -> exit_codes.ExitCode:
    """Send the prompt and print the response.

    Args:
        arguments: The parsed command line.

    Returns:
        The exit status.
    """
    body = {
        "model": arguments.text("model"),
        "prompt": arguments.positional[0],
        "max_tokens": int(arguments.number("max_tokens")),
        "stream": True,
    }
    headers = {
        "X-Organisation": arguments.text("organisation"),
        "X-Deadline-Seconds": str(arguments.number("deadline")),
        "X-Urgency": "batch" if arguments.is_set("batch") else "interactive",
    }
    url = f"http://{arguments.text('node')}/v1/completions"
    session = sessions.open_pooled()
    try:
        async with asyncio.timeout(arguments.number("deadline") + DEADLINE_MARGIN_SECONDS):
            async with session.post(url, json=body, headers=headers) as response:
                return await _print_response(response)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        reason = f"the request to the node failed: {error!r}"
        return command_line.fail(reason, exit_codes.ExitCode.UNREACHABLE)
    finally:
        await session.close()


async def _print_response(response: aiohttp.ClientResponse) -> exit_codes.ExitCode:
    if response.status != 200:
        body = (await response.read()).decode(errors="replace")
        reason = f"status {response.status}: {body}"
        return command_line.fail(reason, exit_codes.ExitCode.REFUSED)
    async for line in response.content:
        data = line.removeprefix(b"data: ").strip()
        if not line.startswith(b"data: "):
            continue
        if data == b"[DONE]":
            print()
            return exit_codes.ExitCode.OK
        failure = _print_event(msgspec.json.decode(data))
        if failure:
            return command_line.fail(failure, exit_codes.ExitCode.REFUSED)
    return command_line.fail(
        "the stream ended before the response was complete", exit_codes.ExitCode.REFUSED
    )


def _print_event(event: dict[str, Any]) -> str:
    """Print the text of an SSE event; return the error that it reports, or an empty string."""
    if "error" in event:
        return f"failed: {event['error']}"
    for choice in event.get("choices", ()):
        sys.stdout.write(choice.get("text", ""))
    sys.stdout.flush()
    return ""
