"""The command line: picks the command and hands over to it."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING

from dragonflycove.cli import (
    ask_command,
    config_commands,
    exit_codes,
    explain_command,
    inspect_commands,
    lookup_command,
    status_command,
    zone_commands,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

_COMMANDS: dict[tuple[str, ...], Callable[[Sequence[str]], int]] = {
    ("config", "check"): config_commands.run_check,
    ("config", "publish"): config_commands.run_publish,
    ("config", "show"): inspect_commands.run_show,
    ("config", "diff"): inspect_commands.run_diff,
    ("config", "history"): inspect_commands.run_history,
    ("zone", "out"): zone_commands.run_out,
    ("zone", "back"): zone_commands.run_back,
    ("status",): status_command.run,
    ("lookup",): lookup_command.run,
    ("ask",): ask_command.run,
    ("explain",): explain_command.run,
}
"""Commands that run in this process, by the words that name them."""

_MODULES_BY_WORD = {
    "node": "dragonflycove.node.daemon",
    "platform-node": "dragonflycove.gateway.daemon",
    "soak": "dragonflycove.cli.soak_command",
    "standin": "dragonflycove.standins.main",
    "load": "dragonflycove.measure.main",
    "measure": "dragonflycove.measure.main",
}
"""Modules that have a command line of their own."""


def run() -> None:
    """Run the command that the command line names."""
    sys.exit(dispatch(sys.argv[1:]))


def dispatch(argv: Sequence[str]) -> int:
    """Run a command.

    Args:
        argv: The command line after `dragonflycove`.

    Returns:
        The exit status.
    """
    for words, command in _COMMANDS.items():
        if tuple(argv[: len(words)]) == words:
            return command(argv[len(words) :])
    if argv and argv[0] in _MODULES_BY_WORD:
        return _hand_on(argv)
    if argv and argv[0] in ("--help", "help"):
        print(_usage())
        return exit_codes.ExitCode.OK
    print(_usage(), file=sys.stderr)
    return exit_codes.ExitCode.USAGE


def _hand_on(argv: Sequence[str]) -> int:
    module = importlib.import_module(_MODULES_BY_WORD[argv[0]])
    # `load` shares its module with `measure`, so the word stays to tell them apart.
    rest = list(argv) if argv[0] == "load" else list(argv[1:])
    return int(module.run(rest))


def _usage() -> str:
    names = [" ".join(words) for words in _COMMANDS] + list(_MODULES_BY_WORD)
    listed = "\n".join(f"  {name}" for name in names)
    return f"usage: dragonflycove COMMAND [arguments]\ncommands:\n{listed}"
