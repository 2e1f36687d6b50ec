"""Runs the tests except those listed in KNOWN-RED.txt, and prints that list.

Without arguments the tests run in several processes at once, since most of them wait for timeouts.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
"""Root folder of the repository."""

GATEWAY_FILES_BY_PROCESS = (
    ("test_c*.py", "test_e*.py", "test_le*.py"),
    ("test_la*.py", "test_r*.py", "test_u*.py"),
)
"""Patterns of the files of `tests/gateway` that one process each runs; another one runs the rest."""

CROWD_TESTS = "tests/processes/test_hostile_callers.py"
"""Tests that run apart from the others, since they put the machine under load themselves."""


def read_known_red() -> list[str]:
    """Return the entries of KNOWN-RED.txt without blank lines and comments.

    The part of an entry before the first `|` is the test's node id for pytest.
    """
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return [line for line in lines if line.strip() and not line.startswith("#")]


def divide_tests() -> list[list[str]]:
    """Return the pytest arguments of each process; together they select all tests."""
    gateway = ROOT / "tests" / "gateway"
    groups = [
        {path for pattern in patterns for path in gateway.glob(pattern)}
        for patterns in GATEWAY_FILES_BY_PROCESS
    ]
    groups.append(set(gateway.rglob("test_*.py")).difference(*groups))
    return [
        *(sorted(str(path.relative_to(ROOT)) for path in group) for group in groups),
        ["tests", "--ignore=tests/gateway", f"--ignore={CROWD_TESTS}"],
    ]


def run_divided(deselected: list[str]) -> int:
    """Run all tests in several processes at once and print their outputs one after the other.

    The tests with crowds run last and alone.

    Args:
        deselected: Arguments that leave out tests.

    Returns:
        The first exit status that is not 0; 0 if all processes succeeded.
    """
    processes = [
        subprocess.Popen(
            [sys.executable, "-m", "pytest", *deselected, *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        for arguments in divide_tests()
    ]
    statuses = []
    for process in processes:
        output, _ = process.communicate()
        sys.stdout.buffer.write(output)
        sys.stdout.buffer.flush()
        statuses.append(process.returncode)
    statuses.append(int(pytest.main([*deselected, CROWD_TESTS])))
    return next((status for status in statuses if status), 0)


def main(arguments: list[str]) -> int:
    """Run pytest with the known failures deselected, and print them.

    Args:
        arguments: Arguments that pytest gets unchanged; empty for all tests.

    Returns:
        The exit status of pytest.
    """
    entries = read_known_red()
    deselected = [f"--deselect={entry.split('|')[0].strip()}" for entry in entries]
    if arguments:
        status = int(pytest.main([*deselected, *arguments]))
    else:
        status = run_divided(deselected)
    print(f"KNOWN-RED entries passed over: {len(entries)}")
    for entry in entries:
        print(f"  {entry}")
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
