"""`config show`, `config diff` and `config history`."""

from __future__ import annotations

import asyncio
import datetime
import difflib
import json
import sys
from typing import TYPE_CHECKING

import result
from rich import table as rich_table

from dragonflycove.cli import command_line, config_commands, connections, consoles, exit_codes
from dragonflycove.configuration import edits, version_line
from dragonflycove.operators import log_reader

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from dragonflycove.configuration import records
    from dragonflycove.infrastructure import log_client

SHOW = command_line.Command(
    "config show",
    "Prints a text, with a first line that names its version for an edit.",
    (),
    (
        *connections.LOG_FLAGS,
        command_line.Flag("version", -1, "Version to print; -1 for the one in force."),
    ),
)
"""Command line of `config show`."""

DIFF = command_line.Command(
    "config diff",
    "Prints how a file differs from the text in force.",
    ("FILE",),
    connections.LOG_FLAGS,
)
"""Command line of `config diff`."""

HISTORY = command_line.Command(
    "config history",
    "Lists the latest operations, accepted and rejected, the oldest first.",
    (),
    (*connections.LOG_FLAGS, command_line.Flag("json", False, "Print JSON.")),
)
"""Command line of `config history`."""


def run_show(argv: Sequence[str]) -> int:
    """Run `config show`.

    Args:
        argv: The words after it.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(SHOW, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    version = int(parsed.ok_value.number("version"))
    return _run_with_log(SHOW, parsed.ok_value, lambda log: show(log, version))


def run_diff(argv: Sequence[str]) -> int:
    """Run `config diff`.

    Args:
        argv: The words after it.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(DIFF, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    path = parsed.ok_value.positional[0]
    given = config_commands.read_file(path)
    if isinstance(given, result.Err):
        return command_line.fail(given.err_value, exit_codes.ExitCode.FAILED)
    text = version_line.split(given.ok_value).text
    return _run_with_log(DIFF, parsed.ok_value, lambda log: diff(log, path, text))


def run_history(argv: Sequence[str]) -> int:
    """Run `config history`.

    Args:
        argv: The words after it.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(HISTORY, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    as_json = parsed.ok_value.is_set("json")
    return _run_with_log(HISTORY, parsed.ok_value, lambda log: history(log, as_json))


async def show(log: log_client.LogClient, version: int) -> exit_codes.ExitCode:
    """Print a text.

    Args:
        log: The log service.
        version: Its version; -1 for the one in force.

    Returns:
        The exit status.
    """
    reader = log_reader.LogReader(log, keep_versions=True)
    read = await _read_all(reader)
    if isinstance(read, result.Err):
        return read.err_value
    wanted = reader.state.snapshot.version if version < 0 else version
    if wanted not in reader.snapshots_by_version:
        reason = f"version {wanted} is not in what the log retains"
        return command_line.fail(reason, exit_codes.ExitCode.FAILED)
    text = edits.render_text(reader.snapshots_by_version[wanted])
    sys.stdout.write(version_line.add(text, wanted))
    return exit_codes.ExitCode.OK


async def diff(log: log_client.LogClient, path: str, text: str) -> exit_codes.ExitCode:
    """Print how a text differs from the one in force.

    Args:
        log: The log service.
        path: Where the text came from.
        text: The text.

    Returns:
        The exit status.
    """
    reader = log_reader.LogReader(log)
    read = await _read_all(reader)
    if isinstance(read, result.Err):
        return read.err_value
    snapshot = reader.state.snapshot
    lines = difflib.unified_diff(
        edits.render_text(snapshot).splitlines(keepends=True),
        text.splitlines(keepends=True),
        f"version {snapshot.version}",
        path,
    )
    sys.stdout.writelines(line if line.endswith("\n") else line + "\n" for line in lines)
    return exit_codes.ExitCode.OK


async def history(log: log_client.LogClient, as_json: bool) -> exit_codes.ExitCode:
    """Print the latest operations.

    Args:
        log: The log service.
        as_json: Whether to print JSON.

    Returns:
        The exit status.
    """
    reader = log_reader.LogReader(log, keep_versions=True)
    read = await _read_all(reader)
    if isinstance(read, result.Err):
        return read.err_value
    outcomes = reader.state.snapshot.outcomes
    times = reader.appended_at_by_offset
    if as_json:
        rows = [
            {**outcome._asdict(), "appended_at": times.get(outcome.offset)} for outcome in outcomes
        ]
        print(json.dumps(rows))
    else:
        consoles.open_console().print(_tabulate(outcomes, times))
    return exit_codes.ExitCode.OK


def _tabulate(
    outcomes: tuple[records.OperationOutcome, ...], times: dict[int, float]
) -> rich_table.Table:
    table = rich_table.Table("version", "when (UTC)", "author", "what", "operation")
    for outcome in outcomes:
        appended_at = times.get(outcome.offset)
        when = "expired"
        if appended_at is not None:
            moment = datetime.datetime.fromtimestamp(appended_at, datetime.UTC)
            when = f"{moment:%Y-%m-%d %H:%M:%S}"
        version = str(outcome.version) if outcome.accepted else "rejected"
        table.add_row(version, when, outcome.author, outcome.detail, outcome.operation_id)
    return table


async def _read_all(
    reader: log_reader.LogReader,
) -> result.Result[None, exit_codes.ExitCode]:
    read = await reader.read_to_end(log_reader.CALL_TIMEOUT_SECONDS)
    if isinstance(read, result.Err):
        reason = f"the log can't be read: {read.err_value}"
        return result.Err(command_line.fail(reason, exit_codes.ExitCode.NOT_SENT))
    if not reader.state.anchored:
        reason = "the log has lost records that no node has restated"
        return result.Err(command_line.fail(reason, exit_codes.ExitCode.NOT_SENT))
    return result.Ok(None)


def _run_with_log(
    command: command_line.Command,
    arguments: command_line.Arguments,
    use: Callable[[log_client.LogClient], Awaitable[exit_codes.ExitCode]],
) -> exit_codes.ExitCode:
    ended = asyncio.run(connections.with_log(arguments, use))
    if isinstance(ended, result.Ok):
        return ended.ok_value
    if not arguments.text("node"):
        return command_line.complain(command, ended.err_value)
    return command_line.fail(ended.err_value, exit_codes.ExitCode.UNREACHABLE)
