"""Command lines: flags and arguments of one command, and complaints about them."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, NamedTuple

import result
from absl import flags

from dragonflycove.cli import exit_codes

if TYPE_CHECKING:
    from collections.abc import Sequence


class Flag(NamedTuple):
    """One flag; the type of its default is its own."""

    name: str
    """Name, without dashes."""

    default: str | float | int | bool
    """Value if it is not given."""

    doc: str
    """What it says, one line."""


class Command(NamedTuple):
    """What the command line of one command may hold."""

    name: str
    """The words that name it, after `dragonflycove`."""

    doc: str
    """What it does, one line."""

    arguments: tuple[str, ...] = ()
    """Names of its arguments, all of them required."""

    flags: tuple[Flag, ...] = ()
    """Its flags."""

    def usage(self) -> str:
        """Return the help text."""
        words = " ".join(["dragonflycove", self.name, *self.arguments])
        lines = [f"usage: {words} [flags]", self.doc]
        lines.extend(
            f"  --{flag.name}  {flag.doc} (default: {flag.default!r})" for flag in self.flags
        )
        return "\n".join(lines)


class Arguments(NamedTuple):
    """A parsed command line."""

    values: dict[str, Any]
    """Values of the flags by name."""

    positional: tuple[str, ...]
    """The arguments."""

    def text(self, name: str) -> str:
        """Return the value of a flag that is a string."""
        return str(self.values[name])

    def number(self, name: str) -> float:
        """Return the value of a flag that is a number."""
        return float(self.values[name])

    def is_set(self, name: str) -> bool:
        """Return the value of a flag that is a switch."""
        return bool(self.values[name])


def parse(command: Command, argv: Sequence[str]) -> result.Result[Arguments, exit_codes.ExitCode]:
    """Parse a command line; help and complaints are printed.

    Args:
        command: What it may hold.
        argv: The words after the command's name.

    Returns:
        The parsed command line, or the exit status.
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
        return result.Err(complain(command, str(error)))
    if len(positional) != len(command.arguments):
        wanted = " ".join(command.arguments) or "no arguments"
        return result.Err(complain(command, f"takes {wanted}, got {' '.join(positional)!r}"))
    return result.Ok(Arguments(values.flag_values_dict(), positional))  # type: ignore[no-untyped-call]


def complain(command: Command, reason: str) -> exit_codes.ExitCode:
    """Print what is wrong with a command line.

    Args:
        command: The command.
        reason: What is wrong.

    Returns:
        The exit status.
    """
    print(f"dragonflycove {command.name}: {reason}", file=sys.stderr)
    print(command.usage(), file=sys.stderr)
    return exit_codes.ExitCode.USAGE


def fail(reason: str, code: exit_codes.ExitCode) -> exit_codes.ExitCode:
    """Print why a command failed.

    Args:
        reason: Why.
        code: The exit status.

    Returns:
        The exit status.
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
