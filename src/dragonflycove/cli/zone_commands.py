"""`zone out` and `zone back`."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.cli import command_line, config_commands, connections, publications
from dragonflycove.configuration import records

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.cli import exit_codes
    from dragonflycove.operators import publishing

_FLAGS = (*connections.LOG_FLAGS, *connections.OPERATION_FLAGS)

OUT = command_line.Command(
    "zone out", "Takes an availability zone out: it gets no new work.", ("ZONE",), _FLAGS
)
"""Command line of `zone out`."""

BACK = command_line.Command(
    "zone back", "Brings an availability zone back; its servers count as cold.", ("ZONE",), _FLAGS
)
"""Command line of `zone back`."""


class ZoneEdit(NamedTuple):
    """A change of an availability zone."""

    zone: str
    """Name of the zone."""

    out: bool
    """Whether it is taken out."""

    author: str
    """Who changes it."""

    operation_id: str
    """Identifier of an earlier try; empty for a new operation."""


def run_out(argv: Sequence[str]) -> int:
    """Run `zone out`.

    Args:
        argv: The words after it.

    Returns:
        The exit status.
    """
    return _run(OUT, argv, out=True)


def run_back(argv: Sequence[str]) -> int:
    """Run `zone back`.

    Args:
        argv: The words after it.

    Returns:
        The exit status.
    """
    return _run(BACK, argv, out=False)


async def change(publisher: publishing.Publisher, edit: ZoneEdit) -> exit_codes.ExitCode:
    """Change a zone and print what became of it.

    Args:
        publisher: Sends the change.
        edit: The change.

    Returns:
        The exit status.
    """
    caught_up = await publisher.catch_up()
    is_retry = bool(edit.operation_id)
    if isinstance(caught_up, result.Err):
        return publications.report(caught_up.err_value, is_retry=is_retry)
    operation_id = edit.operation_id or publisher.new_operation_id()
    seen_offset = caught_up.ok_value.next_offset
    proposal = records.ZoneChanged(operation_id, seen_offset, edit.author, edit.zone, edit.out)
    return publications.report(await publisher.publish(proposal), is_retry=is_retry)


def _run(command: command_line.Command, argv: Sequence[str], *, out: bool) -> int:
    parsed = command_line.parse(command, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    arguments = parsed.ok_value
    author = config_commands.author_of(arguments)
    edit = ZoneEdit(arguments.positional[0], out, author, arguments.text("operation"))
    return config_commands.run_with_log(
        command, arguments, lambda publisher: change(publisher, edit)
    )
