"""`config check` for a configuration of the platform."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import result

from dragonflycove.cli import exit_codes, publications
from dragonflycove.platform import (
    configuration_advice,
    configuration_changes,
    configuration_faults,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.configuration import faults


def run(
    path: str, content: str, in_force: tuple[str, str] | None, *, is_json: bool
) -> exit_codes.ExitCode:
    """Check a configuration and print the outcome; sends nothing.

    Args:
        path: Path of its file.
        content: The configuration.
        in_force: Path and content of the configuration in force; None not to compare.
        is_json: Whether to print JSON.

    Returns:
        The exit status.
    """
    checked = configuration_faults.find(content)
    before: dict[str, Any] | None = None
    if in_force is not None:
        read = configuration_faults.find(in_force[1])
        if isinstance(read, result.Err):
            return publications.report_faults(in_force[0], read.err_value)
        before = read.ok_value
    if isinstance(checked, result.Err):
        if is_json:
            _print_json(path, checked.err_value, (), None)
            return exit_codes.ExitCode.FAULTY_TEXT
        return publications.report_faults(path, checked.err_value)
    fields = checked.ok_value
    advice = configuration_advice.find(fields)
    changes = None if before is None else configuration_changes.find(before, fields)
    if is_json:
        _print_json(path, (), advice, changes)
        return exit_codes.ExitCode.OK
    for kind, listed in (("warning", advice), ("change", changes or ())):
        for one in listed:
            # JSON may hold halves of surrogate pairs, which no terminal takes.
            words = str(one).encode("utf-8", "backslashreplace").decode()
            print(f"{path}: {kind}: {words}")
    if changes is not None and not changes:
        print(f"{path}: no change")
    print(f"{path}: no faults, {len(advice)} warnings: {configuration_faults.summary(fields)}")
    return exit_codes.ExitCode.OK


def _print_json(
    path: str,
    found: Iterable[faults.Fault],
    advice: Iterable[faults.Fault],
    changes: Iterable[faults.Fault] | None,
) -> None:
    content: dict[str, Any] = {
        "file": path,
        "faults": [one._asdict() for one in found],
        "warnings": [one._asdict() for one in advice],
    }
    if changes is not None:
        content["changes"] = [one._asdict() for one in changes]
    print(json.dumps(content))
