"""The console that tables are printed on."""

from __future__ import annotations

import sys

from rich import console as rich_console

PIPE_COLUMNS = 160
"""Width of tables that go to a file or a pipe, columns."""


def open_console() -> rich_console.Console:
    """Return the standard output; where it is no terminal, wide enough not to break words."""
    return rich_console.Console(width=None if sys.stdout.isatty() else PIPE_COLUMNS)
