"""Runs every test but those listed in KNOWN-RED.txt, and prints the list."""

from __future__ import annotations

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
"""Folder of the project."""


def read_known_red() -> list[str]:
    """Return the entries of KNOWN-RED.txt, comments left out."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return [line for line in lines if line.strip() and not line.startswith("#")]


def main(arguments: list[str]) -> int:
    """Run pytest without the known failures.

    Args:
        arguments: Further arguments for pytest.

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
