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
    "Prints a configuration text; its first line names the version, as `config publish` expects.",
    (),
    (
        *connections.LOG_FLAGS,
        command_line.Flag("version", -1, "Version to print; -1 for the one in force."),
    ),
)
"""Definition of the `config show` command."""

DIFF = command_line.Command(
    "config diff",
    "Prints the difference between the configuration text in force and a file.",
    ("FILE",),
    connections.LOG_FLAGS,
)
"""Definition of the `config diff` command."""

HISTORY = command_line.Command(
    "config history",
    "Lists the latest accepted and rejected operations, oldest first.",
    (),
    (*connections.LOG_FLAGS, command_line.Flag("json", False, "Print JSON.")),
)
"""Definition of the `config history` command."""


def run_show(argv: Sequence[str]) -> int:
    """Run the `config show` command.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(SHOW, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    version = int(parsed.ok_value.number("version"))
    return _run_with_log(SHOW, parsed.ok_value, lambda log: show(log, version))


def run_diff(argv: Sequence[str]) -> int:
    """Run the `config diff` command.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(DIFF, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    path = parsed.ok_value.positional[0]
    content = config_commands.read_file(path)
    if isinstance(content, result.Err):
        return command_line.fail(content.err_value, exit_codes.ExitCode.FAILED)
    text = version_line.split(content.ok_value).text
    return _run_with_log(DIFF, parsed.ok_value, lambda log: diff(log, path, text))


def run_history(argv: Sequence[str]) -> int:
    """Run the `config history` command.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(HISTORY, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    as_json = parsed.ok_value.is_set("json")
    return _run_with_log(HISTORY, parsed.ok_value, lambda log: history(log, as_json))


async def show(log: log_client.LogClient, version: int) -> exit_codes.ExitCode:
    """Print a configuration text with its version line.

    Args:
        log: Client of the log service.
        version: Version of the text; -1 for the one in force.

    Returns:
        The exit status.
    """
    reader = log_reader.LogReader(log, keep_versions=True)
    read = await _read_all(reader)
    if isinstance(read, result.Err):
        return read.err_value
    version_to_show = reader.state.snapshot.version if version < 0 else version
    if version_to_show not in reader.snapshots_by_version:
        reason = f"version {version_to_show} is no longer, or not yet, in the log"
        return command_line.fail(reason, exit_codes.ExitCode.FAILED)
    text = edits.render_text(reader.snapshots_by_version[version_to_show])
    sys.stdout.write(version_line.add(text, version_to_show))
    return exit_codes.ExitCode.OK


async def diff(log: log_client.LogClient, path: str, text: str) -> exit_codes.ExitCode:
    """Print a unified diff from the text in force to another text.

    Args:
        log: Client of the log service.
        path: Path of the file that holds the text, shown in the diff.
        text: The text without its version line.

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
    """Print the latest operations, oldest first.

    Args:
        log: Client of the log service.
        as_json: Whether to print JSON instead of a table.

    Returns:
        The exit status.
    """
    reader = log_reader.LogReader(log, keep_versions=True)
    read = await _read_all(reader)
    if isinstance(read, result.Err):
        return read.err_value
    outcomes = reader.state.snapshot.outcomes
    appended_at_by_offset = reader.appended_at_by_offset
    if as_json:
        rows = [
            {**outcome._asdict(), "appended_at": appended_at_by_offset.get(outcome.offset)}
            for outcome in outcomes
        ]
        print(json.dumps(rows))
    else:
        consoles.open_console().print(_tabulate(outcomes, appended_at_by_offset))
    return exit_codes.ExitCode.OK


def _tabulate(
    outcomes: tuple[records.OperationOutcome, ...], appended_at_by_offset: dict[int, float]
) -> rich_table.Table:
    table = rich_table.Table("version", "when (UTC)", "author", "what", "operation")
    for outcome in outcomes:
        appended_at = appended_at_by_offset.get(outcome.offset)
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
    action: Callable[[log_client.LogClient], Awaitable[exit_codes.ExitCode]],
) -> exit_codes.ExitCode:
    outcome = asyncio.run(connections.with_log(arguments, action))
    if isinstance(outcome, result.Ok):
        return outcome.ok_value
    if not arguments.text("node"):
        return command_line.report_usage_error(command, outcome.err_value)
    return command_line.fail(outcome.err_value, exit_codes.ExitCode.UNREACHABLE)
