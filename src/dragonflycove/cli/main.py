"""Entry point of the command line: runs the command given by the first words."""

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
"""Functions of the operator commands, by the words of their names."""

_MODULE_BY_COMMAND = {
    "node": "dragonflycove.node.daemon",
    "platform-node": "dragonflycove.gateway.process",
    "soak": "dragonflycove.cli.soak_command",
    "standin": "dragonflycove.standins.main",
    "load": "dragonflycove.measure.main",
    "measure": "dragonflycove.measure.main",
}
"""Modules of the other commands, by name.

They are imported only when used, and their `run` parses the arguments.
"""


def run() -> None:
    """Run the command given on the command line and exit with its status."""
    sys.exit(dispatch(sys.argv[1:]))


def dispatch(argv: Sequence[str]) -> int:
    """Run a command, or print the list of commands.

    Args:
        argv: Arguments after `dragonflycove`.

    Returns:
        The exit status.
    """
    for words, command in _COMMANDS.items():
        if tuple(argv[: len(words)]) == words:
            return command(argv[len(words) :])
    if argv and argv[0] in _MODULE_BY_COMMAND:
        return _run_module(argv)
    if argv and argv[0] in ("--help", "help"):
        print(_usage())
        return exit_codes.ExitCode.OK
    print(_usage(), file=sys.stderr)
    return exit_codes.ExitCode.USAGE


def _run_module(argv: Sequence[str]) -> int:
    module = importlib.import_module(_MODULE_BY_COMMAND[argv[0]])
    # `load` and `measure` share a module; its `run` recognises `load` by the first argument.
    arguments = list(argv) if argv[0] == "load" else list(argv[1:])
    return int(module.run(arguments))


def _usage() -> str:
    names = [" ".join(words) for words in _COMMANDS] + list(_MODULE_BY_COMMAND)
    listed = "\n".join(f"  {name}" for name in names)
    return f"usage: dragonflycove COMMAND [arguments]\ncommands:\n{listed}"
