"""`ask`: sends a prompt to a model and prints the answer as it comes."""

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
    "Sends a prompt to a model and prints the tokens as they come.",
    ("PROMPT",),
    (
        command_line.Flag("node", "", "Address of a node, a.b.c.d:port."),
        command_line.Flag("model", "", "Name of the model."),
        command_line.Flag("organisation", "", "Name of the organisation that asks."),
        command_line.Flag("max_tokens", 64, "Most tokens to generate."),
        command_line.Flag("deadline", 30.0, "Time for the whole answer, seconds."),
        command_line.Flag("batch", False, "The answer may wait, but must end by its deadline."),
    ),
)
"""Command line of `ask`."""

MARGIN_SECONDS = 5.0
"""Time after the deadline at which the command stops waiting, seconds."""


def run(argv: Sequence[str]) -> int:
    """Run `ask`.

    Args:
        argv: The words after it.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(ASK, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    arguments = parsed.ok_value
    missing = [name for name in ("node", "model", "organisation") if not arguments.text(name)]
    if missing:
        return command_line.complain(ASK, "missing " + ", ".join(f"--{name}" for name in missing))
    return asyncio.run(ask(arguments))


async def ask(arguments: command_line.Arguments) -> exit_codes.ExitCode:
    """Send the prompt and print the answer.

    Args:
        arguments: The command line.

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
        async with asyncio.timeout(arguments.number("deadline") + MARGIN_SECONDS):
            async with session.post(url, json=body, headers=headers) as response:
                return await _print_answer(response)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        reason = f"the node's answer broke off: {error!r}"
        return command_line.fail(reason, exit_codes.ExitCode.UNREACHABLE)
    finally:
        await session.close()


async def _print_answer(response: aiohttp.ClientResponse) -> exit_codes.ExitCode:
    if response.status != 200:
        told = (await response.read()).decode(errors="replace")
        reason = f"status {response.status}: {told}"
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
    return command_line.fail("the answer ended too early", exit_codes.ExitCode.REFUSED)


def _print_event(event: dict[str, Any]) -> str:
    """Print the token of an event, and return why the answer failed, if it did."""
    if "error" in event:
        return f"failed: {event['error']}"
    for choice in event.get("choices", ()):
        sys.stdout.write(choice.get("text", ""))
    sys.stdout.flush()
    return ""
