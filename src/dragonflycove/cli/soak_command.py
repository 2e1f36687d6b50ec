"""`soak`: injects faults from a seeded plan into node processes on loopback."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import result

from dragonflycove.cli import command_line, exit_codes
from dragonflycove.measure.soak import main as soak_main

if TYPE_CHECKING:
    from collections.abc import Sequence

FIRST_BLOCK, BLOCK_COUNT = 20, 200
"""Lowest second byte of the loopback addresses, and number of values that seeds map to.

Soaks with different blocks can run at the same time.
"""

_COMMAND = command_line.Command(
    "soak",
    "Injects faults from a seeded plan into real node processes on loopback.",
    flags=(
        command_line.Flag("seed", 1, "Seed of the fault plan."),
        command_line.Flag(
            "minutes", 0.5, "Time with faults, minutes, without the start and the fault-free end."
        ),
        command_line.Flag("nodes", 4, "Number of node processes."),
        command_line.Flag("engines", 4, "Number of engine stand-ins."),
        command_line.Flag("plain", 3, "Number of plain-server stand-ins."),
        command_line.Flag("callers", 12, "Number of callers."),
        command_line.Flag(
            "planned", 0, "1 draws only planned work and pauses of servers, and checks LOST."
        ),
        command_line.Flag(
            "block", 0, "Second byte of the loopback addresses; 0 derives it from the seed."
        ),
    ),
)


def run(argv: Sequence[str]) -> int:
    """Run the `soak` command: one soak with one seed.

    Args:
        argv: Arguments after the command's name.

    Returns:
        The exit status.
    """
    parsed = command_line.parse(_COMMAND, argv)
    if isinstance(parsed, result.Err):
        return parsed.err_value
    arguments = parsed.ok_value
    seed = int(arguments.number("seed"))
    block = int(arguments.number("block")) or FIRST_BLOCK + seed % BLOCK_COUNT
    sizes = (
        int(arguments.number("nodes")),
        int(arguments.number("engines")),
        int(arguments.number("plain")),
    )
    soak = soak_main.SoakSettings(
        seed,
        60 * arguments.number("minutes"),
        sizes,
        int(arguments.number("callers")),
        block,
        is_planned_only=bool(arguments.number("planned")),
    )
    try:
        verdict = asyncio.run(soak_main.run_soak(soak))
    except (KeyboardInterrupt, asyncio.CancelledError):
        print(f"seed {seed}: interrupted", file=sys.stderr)
        return exit_codes.ExitCode.FAILED
    print(f"seed {seed}: responses by status {verdict.response_count_by_status}")
    print(f"seed {seed}: servers crashed by each crashing request {verdict.crash_counts}")
    for line in verdict.violations:
        print(line)
    if verdict.violations:
        print(f"logs: {verdict.folder}", file=sys.stderr)
        return exit_codes.ExitCode.REFUSED
    print(f"seed {seed}: no violation found")
    return exit_codes.ExitCode.OK
