"""Definitions of commands, their flags and arguments, and the parsing of command lines."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, NamedTuple

import result
from absl import flags

from dragonflycove.cli import exit_codes

if TYPE_CHECKING:
    from collections.abc import Sequence


class Flag(NamedTuple):
    """A flag of a command; its values have the type of the default."""

    name: str
    """Name without the leading dashes."""

    default: str | float | int | bool
    """Value if the flag is not given."""

    doc: str
    """Help text, one line."""


class Command(NamedTuple):
    """A command with the flags and arguments that it accepts."""

    name: str
    """Name of the command, one or two words, as typed after `dragonflycove`."""

    doc: str
    """Help text, one line."""

    arguments: tuple[str, ...] = ()
    """Names of the positional arguments; all are required."""

    flags: tuple[Flag, ...] = ()
    """Flags that the command accepts; all are optional."""

    def usage(self) -> str:
        """Return the help text: usage line, description and flags with their defaults."""
        words = " ".join(["dragonflycove", self.name, *self.arguments])
        lines = [f"usage: {words} [flags]", self.doc]
        lines.extend(
            f"  --{flag.name}  {flag.doc} (default: {flag.default!r})" for flag in self.flags
        )
        return "\n".join(lines)


class Arguments(NamedTuple):
    """A parsed command line."""

    values: dict[str, Any]
    """Values of all flags by name, defaults included."""

    positional: tuple[str, ...]
    """The positional arguments, as many as the command names."""

    def text(self, name: str) -> str:
        """Return the value of a string flag."""
        return str(self.values[name])

    def number(self, name: str) -> float:
        """Return the value of an integer or float flag."""
        return float(self.values[name])

    def is_set(self, name: str) -> bool:
        """Return the value of a boolean flag."""
        return bool(self.values[name])


def parse(command: Command, argv: Sequence[str]) -> result.Result[Arguments, exit_codes.ExitCode]:
    """Parse a command line; print the help text or the usage error if there is one.

    Args:
        command: The command.
        argv: Arguments after the command's name.

    Returns:
        The parsed command line, or the exit status if the command should not run.
    """
    if "--help" in argv:
        print(command.usage())
        return result.Err(exit_codes.ExitCode.OK)
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    for flag in command.flags:
        _define(values, flag)
    try:
        positional = tuple(values([command.name, *argv])[1:])
    except flags.Error as error:
        return result.Err(report_usage_error(command, str(error)))
    if len(positional) != len(command.arguments):
        expected = " ".join(command.arguments) or "no arguments"
        return result.Err(
            report_usage_error(command, f"takes {expected}, got {' '.join(positional)!r}")
        )
    return result.Ok(Arguments(values.flag_values_dict(), positional))  # type: ignore[no-untyped-call]


def report_usage_error(command: Command, reason: str) -> exit_codes.ExitCode:
    """Print a usage error and the help text to standard error.

    Args:
        command: The command.
        reason: What is wrong.

    Returns:
        The exit status `USAGE`.
    """
    print(f"dragonflycove {command.name}: {reason}", file=sys.stderr)
    print(command.usage(), file=sys.stderr)
    return exit_codes.ExitCode.USAGE


def fail(reason: str, code: exit_codes.ExitCode) -> exit_codes.ExitCode:
    """Print why a command failed to standard error.

    Args:
        reason: Message to print.
        code: Exit status of the failure.

    Returns:
        The given exit status.
    """
    print(reason, file=sys.stderr)
    return code


def _define(values: flags.FlagValues, flag: Flag) -> None:
    if isinstance(flag.default, bool):
        flags.DEFINE_boolean(flag.name, flag.default, flag.doc, flag_values=values)
    elif isinstance(flag.default, int):
        flags.DEFINE_integer(flag.name, flag.default, flag.doc, flag_values=values)
    elif isinstance(flag.default, float):
        flags.DEFINE_float(flag.name, flag.default, flag.doc, flag_values=values)
    else:
        flags.DEFINE_string(flag.name, flag.default, flag.doc, flag_values=values)
