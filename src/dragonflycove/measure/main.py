"""Entry point of `dragonflycove load` and `dragonflycove measure`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.measure import experiment_command, load, verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

COMMANDS_BY_WORD: dict[str, Callable[[Sequence[str]], int]] = {
    "load": load.run,
    "verdict": verdict.run,
}
"""Commands that contact running processes; every other word names a measurement."""


def run(argv: Sequence[str]) -> int:
    """Run the command that the first word names.

    Args:
        argv: The command line after `dragonflycove measure`, or from `load` on.

    Returns:
        The exit status.
    """
    if argv and argv[0] in COMMANDS_BY_WORD:
        return COMMANDS_BY_WORD[argv[0]](argv[1:])
    return experiment_command.run(argv)
