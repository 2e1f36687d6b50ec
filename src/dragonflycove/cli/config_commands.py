"""`config check` and `config publish`."""

from __future__ import annotations

import asyncio
import getpass
import pathlib
import sys
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import result

from dragonflycove.cli import command_line, connections, exit_codes, platform_check, publications
from dragonflycove.configuration import edits, records, text, version_line
from dragonflycove.operators import publishing
from dragonflycove.platform import configuration_faults

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.configuration import acceptance
    from dragonflycove.infrastructure import log_client

MAX_SHORT_TEXT_CHARACTERS = 16_384
"""Maximum length of a short configuration text, characters; short texts are never sent as edits."""

MAX_EDIT_SIZE_FRACTION = 0.25
"""Limit of the size of an encoded edit, as a fraction of the text's length.

Instead of a larger edit the complete text is sent.
"""

MAX_EDITS_BEFORE_COMPLETE_TEXT = 128
"""Number of edits since the last complete text at which the next text is sent complete.

It is well below the number at which the acceptance rules reject further edits.
"""

CHECK = command_line.Command(
    "config check",
    "Checks a configuration text, ours or the platform's, and lists all its faults; sends nothing.",
    ("FILE",),
    (
        command_line.Flag("platform", False, "The text is the platform's; else told by `routes`."),
        command_line.Flag(
            "against", "", "File with the platform's configuration in force, to tell the changes."
        ),
        command_line.Flag("json", False, "Print JSON, for the platform's configuration."),
    ),
)
"""Definition of the `config check` command."""

PUBLISH = command_line.Command(
    "config publish",
    "Publishes a configuration text; reports success only after reading it back from the log.",
    ("FILE",),
    (
        *connections.LOG_FLAGS,
        *connections.OPERATION_FLAGS,
        command_line.Flag(
            "base", -1, "Version that the text is based on; -1 takes it from the file."
        ),
    ),
)
"""Definition of the `config publish` command."""


class TextToPublish(NamedTuple):
    """A configuration text that an operator publishes."""

    text: str
    """The text without its version line."""

    base_version: int | None
    """Version that the text was edited from; `None` if neither file nor flag gives it."""

    author: str
    """Name of the operator who publishes the text."""

    operation_id: str
    """Operation id of an earlier, unconfirmed try; empty for a new operation."""


def run_check(argv: Sequence[str]) -> int:
    """Run the `config check` command.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(CHECK, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    arguments = parsed.ok_value
    path = arguments.positional[0]
    content = read_file(path)
    if isinstance(content, result.Err):
        return command_line.fail(content.err_value, exit_codes.ExitCode.FAILED)
    if arguments.is_set("platform") or configuration_faults.is_configuration(content.ok_value):
        return _check_platform_text(path, content.ok_value, arguments)
    if arguments.text("against") or arguments.is_set("json"):
        return command_line.report_usage_error(
            CHECK, "--against and --json need the platform's configuration"
        )
    checked = text.parse(content.ok_value)
    if isinstance(checked, result.Err):
        return publications.report_faults(path, checked.err_value)
    configuration = checked.ok_value
    print(
        f"{path}: no faults: {len(configuration.services_by_name)} services, "
        f"{len(configuration.zones)} zones, {len(configuration.servers_by_id)} servers, "
        f"{len(configuration.organisations_by_name)} organisations"
    )
    return exit_codes.ExitCode.OK


def _check_platform_text(
    path: str, content: str, arguments: command_line.Arguments
) -> exit_codes.ExitCode:
    in_force = None
    if against := arguments.text("against"):
        read = read_file(against)
        if isinstance(read, result.Err):
            return command_line.fail(read.err_value, exit_codes.ExitCode.FAILED)
        in_force = (against, read.ok_value)
    return platform_check.run(path, content, in_force, is_json=arguments.is_set("json"))


def run_publish(argv: Sequence[str]) -> int:
    """Run the `config publish` command.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(PUBLISH, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    arguments = parsed.ok_value
    path = arguments.positional[0]
    content = read_file(path)
    if isinstance(content, result.Err):
        return command_line.fail(content.err_value, exit_codes.ExitCode.FAILED)
    split_text = version_line.split(content.ok_value)
    checked = text.parse(split_text.text)
    if isinstance(checked, result.Err):
        return publications.report_faults(path, checked.err_value)
    base = int(arguments.number("base"))
    proposed = TextToPublish(
        split_text.text,
        base if base >= 0 else split_text.base_version,
        get_author(arguments),
        arguments.text("operation"),
    )
    return run_with_log(PUBLISH, arguments, lambda publisher: publish(publisher, proposed))


async def publish(publisher: publishing.Publisher, proposed: TextToPublish) -> exit_codes.ExitCode:
    """Publish a checked text and print the outcome.

    Args:
        publisher: Publishes the text to the log.
        proposed: The text.

    Returns:
        The exit status.
    """
    caught_up = await publisher.catch_up()
    if isinstance(caught_up, result.Err):
        return publications.report(caught_up.err_value, is_retry=bool(proposed.operation_id))
    version = caught_up.ok_value.snapshot.version
    base = proposed.base_version
    if base is None and version:
        reason = f"the file has no line that names its base version; version {version} is in"
        return command_line.fail(
            f"{reason} force. Edit the output of `config show`, or name the base version with --base.",
            exit_codes.ExitCode.USAGE,
        )
    operation_id = proposed.operation_id or publisher.new_operation_id()
    proposal = _build_proposal(
        proposed._replace(operation_id=operation_id), base or 0, caught_up.ok_value
    )
    if proposal.base_version != version and not proposed.operation_id:
        return publications.report_outdated(proposal, caught_up.ok_value)
    published = await publisher.publish(proposal)
    return publications.report(published, is_retry=bool(proposed.operation_id))


def _build_proposal(
    proposed: TextToPublish, base_version: int, state: acceptance.AcceptanceState
) -> records.TextProposed | records.TextEdited:
    """Return the record to append: the complete text, or an edit if that is much smaller."""
    whole = records.TextProposed(
        proposed.operation_id, base_version, proposed.author, proposed.text
    )
    snapshot = state.snapshot
    is_short = len(proposed.text) <= MAX_SHORT_TEXT_CHARACTERS
    if is_short or base_version != snapshot.version or not base_version:
        return whole
    if len(snapshot.edits) >= MAX_EDITS_BEFORE_COMPLETE_TEXT:
        return whole
    edit = edits.make_edit(edits.render_text(snapshot), proposed.text)
    if edit is None:
        return whole
    text_edited = records.TextEdited(proposed.operation_id, base_version, proposed.author, edit)
    size = len(msgspec.json.encode(records.to_value(text_edited)))
    return text_edited if size < len(proposed.text) * MAX_EDIT_SIZE_FRACTION else whole


def run_with_log(
    command: command_line.Command,
    arguments: command_line.Arguments,
    action: publications.PublisherAction,
) -> exit_codes.ExitCode:
    """Run a command with a publisher for the log.

    Args:
        command: The command.
        arguments: Its parsed command line.
        action: Coroutine function that gets the publisher and returns the exit status.

    Returns:
        The exit status.
    """

    async def open_publisher(log: log_client.LogClient) -> exit_codes.ExitCode:
        rng = connections.new_id_generator()
        return await action(publishing.Publisher(log, rng, arguments.number("timeout")))

    outcome = asyncio.run(connections.with_log(arguments, open_publisher))
    if isinstance(outcome, result.Ok):
        return outcome.ok_value
    if not arguments.text("node"):
        return command_line.report_usage_error(command, outcome.err_value)
    return command_line.fail(outcome.err_value, exit_codes.ExitCode.UNREACHABLE)


def get_author(arguments: command_line.Arguments) -> str:
    """Return the name of the operator who runs a command.

    Args:
        arguments: The command line, with the flags of `connections.OPERATION_FLAGS`.

    Returns:
        The value of `--author`, or else the name of the operating-system user.
    """
    return arguments.text("author") or getpass.getuser()


def read_file(path: str) -> result.Result[str, str]:
    """Read a UTF-8 text file, or standard input for the path `-`.

    Args:
        path: Path of the file, or `-`.

    Returns:
        The text, or why it can't be read.
    """
    try:
        return result.Ok(sys.stdin.read() if path == "-" else pathlib.Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f"{path}: {error}")
