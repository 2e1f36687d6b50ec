"""Exit statuses of the operator commands."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit status of an operator command."""

    OK = 0
    """The command succeeded."""

    FAILED = 1
    """A file can't be read, a version is not in the log, or the program failed unexpectedly."""

    USAGE = 2
    """The command line or a settings file is invalid."""

    FAULTY_TEXT = 3
    """The configuration text has faults; nothing was sent."""

    REJECTED = 4
    """The operation was rejected and has no effect."""

    NOT_SENT = 5
    """The log can't be read or does not respond; the operation is certainly not in it."""

    NOT_CONFIRMED = 6
    """The operation may be in the log; it was not read back before the timeout."""

    UNREACHABLE = 7
    """A request to a node failed."""

    REFUSED = 8
    """A model request was refused or failed, `explain` found no line, or `soak` a violation."""
