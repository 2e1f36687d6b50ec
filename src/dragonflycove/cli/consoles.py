"""The console on which commands print tables."""

from __future__ import annotations

import sys

from rich import console as rich_console

NON_TERMINAL_WIDTH_COLUMNS = 160
"""Width of tables that are written to a file or a pipe, columns."""


def open_console() -> rich_console.Console:
    """Return a console on standard output.

    Without a terminal it gets a fixed width at which words are not wrapped.
    """
    return rich_console.Console(width=None if sys.stdout.isatty() else NON_TERMINAL_WIDTH_COLUMNS)
