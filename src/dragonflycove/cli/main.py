"""The command line: picks the command and hands over to it."""

from __future__ import annotations

import sys


def run() -> None:
    """Run the command that the command line names."""
    sys.exit(2)
