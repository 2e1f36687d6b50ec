"""Exit statuses of the commands."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit status of a command."""

    OK = 0
    """Done as asked."""

    FAILED = 1
    """A file can't be read, or the program is broken."""

    USAGE = 2
    """The command line or a settings file is wrong."""

    FAULTY_TEXT = 3
    """The text has faults; nothing was sent."""

    REJECTED = 4
    """The operation was rejected and changes nothing."""

    NOT_SENT = 5
    """The log does not answer; the operation is certainly not in it."""

    NOT_CONFIRMED = 6
    """The operation may be in the log; it could not be read back in time."""

    UNREACHABLE = 7
    """A node that was asked does not answer."""

    REFUSED = 8
    """The node refused the request, or the request failed."""
