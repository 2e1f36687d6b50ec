"""`dragonflycove soak`: plays seeded faults against real node processes on loopback."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import result

from dragonflycove.cli import command_line, exit_codes
from dragonflycove.measure.soak import main as soak_main

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCKS_FROM, BLOCKS = 20, 200
"""Loopback blocks that seeds are spread over, so that several soaks can run side by side."""

_COMMAND = command_line.Command(
    "soak",
    "Plays seeded faults against real node processes on loopback.",
    flags=(
        command_line.Flag("seed", 1, "Seed of the plan."),
        command_line.Flag("minutes", 0.5, "Length, without start and calm end."),
        command_line.Flag("nodes", 4, "Node processes."),
        command_line.Flag("engines", 4, "Stand-ins of engines."),
        command_line.Flag("plain", 3, "Stand-ins of plain servers."),
        command_line.Flag("callers", 12, "Callers."),
        command_line.Flag("block", 0, "Second part of the loopback addresses; 0 for by seed."),
    ),
)


def run(argv: Sequence[str]) -> int:
    """Play one seed.

    Args:
        argv: The command line after `dragonflycove soak`.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(_COMMAND, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    given = parsed.ok_value
    seed = int(given.number("seed"))
    block = int(given.number("block")) or BLOCKS_FROM + seed % BLOCKS
    sizes = (
        int(given.number("nodes")),
        int(given.number("engines")),
        int(given.number("plain")),
    )
    soak = soak_main.SoakSettings(
        seed, 60 * given.number("minutes"), sizes, int(given.number("callers")), block
    )
    verdict = asyncio.run(soak_main.run_soak(soak))
    print(f"seed {seed}: answers by status {verdict.response_count_by_status}")
    for line in verdict.violations:
        print(line)
    if verdict.violations:
        print(f"logs: {verdict.folder}", file=sys.stderr)
        return exit_codes.ExitCode.REFUSED
    print(f"seed {seed}: no promise broken")
    return exit_codes.ExitCode.OK
