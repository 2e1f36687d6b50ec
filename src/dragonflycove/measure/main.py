"""The command line of `dragonflycove load` and `dragonflycove measure`."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from dragonflycove.measure import load, verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

EXIT_USAGE = 2
"""Exit status for a faulty command line."""

COMMANDS_BY_WORD: dict[str, Callable[[Sequence[str]], int]] = {
    "load": load.run,
    "verdict": verdict.run,
}
"""Commands by their first word."""


def run(argv: Sequence[str]) -> int:
    """Run a command.

    Args:
        argv: The command line after `dragonflycove measure`, or from `load` on.

    Returns:
        The exit status.
    """
    if argv and argv[0] in COMMANDS_BY_WORD:
        return COMMANDS_BY_WORD[argv[0]](argv[1:])
    print(f"usage: dragonflycove measure {'|'.join(COMMANDS_BY_WORD)} ...", file=sys.stderr)
    return EXIT_USAGE
