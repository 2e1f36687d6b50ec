"""Runs the tests except those listed in KNOWN-RED.txt, and prints that list."""

from __future__ import annotations

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
"""Root folder of the repository."""


def read_known_red() -> list[str]:
    """Return the entries of KNOWN-RED.txt without blank lines and comments.

    The part of an entry before the first `|` is the test's node id for pytest.
    """
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return [line for line in lines if line.strip() and not line.startswith("#")]


def main(arguments: list[str]) -> int:
    """Run pytest with the known failures deselected, and print them.

    Args:
        arguments: Arguments that pytest gets unchanged.

    Returns:
        The exit status of pytest.
    """
    entries = read_known_red()
    deselected = [f"--deselect={entry.split('|')[0].strip()}" for entry in entries]
    status = pytest.main([*deselected, *arguments])
    print(f"KNOWN-RED entries passed over: {len(entries)}")
    for entry in entries:
        print(f"  {entry}")
    return int(status)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
