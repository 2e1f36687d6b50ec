"""`config check` and `config publish`."""

from __future__ import annotations

import asyncio
import getpass
import pathlib
import sys
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import result

from dragonflycove.cli import command_line, connections, exit_codes, publications
from dragonflycove.configuration import edits, records, text, version_line
from dragonflycove.operators import publishing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.configuration import acceptance
    from dragonflycove.infrastructure import log_client

WHOLE_TEXT_CHARACTERS = 16_384
"""Longest text that is always sent whole, characters."""

WORTHWHILE_FRACTION = 0.25
"""Part of a text's length that an edit may take to be sent in its place."""

MAX_EDITS_BEFORE_WHOLE = 128
"""Edits after a whole text at which the next one is sent, well before readers insist on it."""

CHECK = command_line.Command(
    "config check", "Checks a text and names all its faults; nothing is sent.", ("FILE",)
)
"""Command line of `config check`."""

PUBLISH = command_line.Command(
    "config publish",
    "Publishes a text, and reports it accepted only once it is read back from the log.",
    ("FILE",),
    (
        *connections.LOG_FLAGS,
        *connections.OPERATION_FLAGS,
        command_line.Flag("base", -1, "Version edited from; -1 for the one the file names."),
    ),
)
"""Command line of `config publish`."""


class Edit(NamedTuple):
    """A text to publish."""

    text: str
    """The text, without the line that names the version."""

    base_version: int | None
    """Version that it was edited from; `None` if nobody said."""

    author: str
    """Who publishes it."""

    operation_id: str
    """Identifier of an earlier try; empty for a new operation."""


def run_check(argv: Sequence[str]) -> int:
    """Run `config check`.

    Args:
        argv: The words after it.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(CHECK, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    path = parsed.ok_value.positional[0]
    given = read_file(path)
    if isinstance(given, result.Err):
        return command_line.fail(given.err_value, exit_codes.ExitCode.FAILED)
    checked = text.parse(given.ok_value)
    if isinstance(checked, result.Err):
        return publications.report_faults(path, checked.err_value)
    found = checked.ok_value
    print(
        f"{path}: no faults: {len(found.services_by_name)} services, {len(found.zones)} zones, "
        f"{len(found.servers_by_id)} servers, {len(found.organisations_by_name)} organisations"
    )
    return exit_codes.ExitCode.OK


def run_publish(argv: Sequence[str]) -> int:
    """Run `config publish`.

    Args:
        argv: The words after it.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(PUBLISH, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    arguments = parsed.ok_value
    path = arguments.positional[0]
    given = read_file(path)
    if isinstance(given, result.Err):
        return command_line.fail(given.err_value, exit_codes.ExitCode.FAILED)
    based = version_line.split(given.ok_value)
    checked = text.parse(based.text)
    if isinstance(checked, result.Err):
        return publications.report_faults(path, checked.err_value)
    base = int(arguments.number("base"))
    edit = Edit(
        based.text,
        base if base >= 0 else based.base_version,
        author_of(arguments),
        arguments.text("operation"),
    )
    return run_with_log(PUBLISH, arguments, lambda publisher: publish(publisher, edit))


async def publish(publisher: publishing.Publisher, edit: Edit) -> exit_codes.ExitCode:
    """Publish a checked text and print what became of it.

    Args:
        publisher: Sends it.
        edit: The text.

    Returns:
        The exit status.
    """
    caught_up = await publisher.catch_up()
    if isinstance(caught_up, result.Err):
        return publications.report(caught_up.err_value, is_retry=bool(edit.operation_id))
    version = caught_up.ok_value.snapshot.version
    base = edit.base_version
    if base is None and version:
        reason = f"the file does not name the version it was edited from; version {version} is in"
        return command_line.fail(
            f"{reason} force. Edit what `config show` prints, or name it with --base.",
            exit_codes.ExitCode.USAGE,
        )
    operation_id = edit.operation_id or publisher.new_operation_id()
    proposal = _propose(edit._replace(operation_id=operation_id), base or 0, caught_up.ok_value)
    if proposal.base_version != version and not edit.operation_id:
        return publications.report_outdated(proposal, caught_up.ok_value)
    published = await publisher.publish(proposal)
    return publications.report(published, is_retry=bool(edit.operation_id))


def _propose(
    edit: Edit, base_version: int, state: acceptance.AcceptanceState
) -> records.TextProposed | records.TextEdited:
    """Return the record to send: the difference, where it is much smaller than a long text."""
    whole = records.TextProposed(edit.operation_id, base_version, edit.author, edit.text)
    snapshot = state.snapshot
    is_short = len(edit.text) <= WHOLE_TEXT_CHARACTERS
    if is_short or base_version != snapshot.version or not base_version:
        return whole
    if len(snapshot.edits) >= MAX_EDITS_BEFORE_WHOLE:
        return whole
    difference = edits.make_edit(edits.render_text(snapshot), edit.text)
    if difference is None:
        return whole
    small = records.TextEdited(edit.operation_id, base_version, edit.author, difference)
    size = len(msgspec.json.encode(records.to_value(small)))
    return small if size < len(edit.text) * WORTHWHILE_FRACTION else whole


def run_with_log(
    command: command_line.Command,
    arguments: command_line.Arguments,
    use: publications.UsePublisher,
) -> exit_codes.ExitCode:
    """Run a command that appends to the log.

    Args:
        command: The command.
        arguments: Its command line.
        use: What it does.

    Returns:
        The exit status.
    """

    async def open_publisher(log: log_client.LogClient) -> exit_codes.ExitCode:
        rng = connections.new_generator()
        return await use(publishing.Publisher(log, rng, arguments.number("timeout")))

    ended = asyncio.run(connections.with_log(arguments, open_publisher))
    if isinstance(ended, result.Ok):
        return ended.ok_value
    if not arguments.text("node"):
        return command_line.complain(command, ended.err_value)
    return command_line.fail(ended.err_value, exit_codes.ExitCode.UNREACHABLE)


def author_of(arguments: command_line.Arguments) -> str:
    """Return who runs a command.

    Args:
        arguments: The command line, with the flags of `connections.OPERATION_FLAGS`.

    Returns:
        The name given, or else the user's.
    """
    return arguments.text("author") or getpass.getuser()


def read_file(path: str) -> result.Result[str, str]:
    """Read a file, or the standard input for `-`.

    Args:
        path: Path of the file.

    Returns:
        What it holds, or why it can't be read.
    """
    try:
        return result.Ok(sys.stdin.read() if path == "-" else pathlib.Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f"{path}: {error}")
