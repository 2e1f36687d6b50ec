"""`zone out` and `zone back`: take an availability zone out of service and back."""

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
    "zone out",
    "Takes an availability zone out of service: it gets no new requests.",
    ("ZONE",),
    _FLAGS,
)
"""Definition of the `zone out` command."""

BACK = command_line.Command(
    "zone back",
    "Brings an availability zone back into service; its servers start as cold.",
    ("ZONE",),
    _FLAGS,
)
"""Definition of the `zone back` command."""


class ZoneChange(NamedTuple):
    """A change of an availability zone's state by an operator."""

    zone: str
    """Name of the zone."""

    out: bool
    """Whether the zone is taken out of service (true) or brought back (false)."""

    author: str
    """Name of the operator who makes the change."""

    operation_id: str
    """Operation id of an earlier, unconfirmed try; empty for a new operation."""


def run_out(argv: Sequence[str]) -> int:
    """Run the `zone out` command.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    return _run(OUT, argv, out=True)


def run_back(argv: Sequence[str]) -> int:
    """Run the `zone back` command.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    return _run(BACK, argv, out=False)


async def change_zone(
    publisher: publishing.Publisher, zone_change: ZoneChange
) -> exit_codes.ExitCode:
    """Publish a zone change and print the outcome.

    Args:
        publisher: Publishes the change to the log.
        zone_change: The change.

    Returns:
        The exit status.
    """
    caught_up = await publisher.catch_up()
    is_retry = bool(zone_change.operation_id)
    if isinstance(caught_up, result.Err):
        return publications.report(caught_up.err_value, is_retry=is_retry)
    operation_id = zone_change.operation_id or publisher.new_operation_id()
    seen_offset = caught_up.ok_value.next_offset
    proposal = records.ZoneChanged(
        operation_id, seen_offset, zone_change.author, zone_change.zone, zone_change.out
    )
    return publications.report(await publisher.publish(proposal), is_retry=is_retry)


def _run(command: command_line.Command, argv: Sequence[str], *, out: bool) -> int:
    parsed = command_line.parse(command, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    arguments = parsed.ok_value
    author = config_commands.get_author(arguments)
    zone_change = ZoneChange(arguments.positional[0], out, author, arguments.text("operation"))
    return config_commands.run_with_log(
        command, arguments, lambda publisher: change_zone(publisher, zone_change)
    )
