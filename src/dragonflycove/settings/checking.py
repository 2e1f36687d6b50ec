"""Reads JSON with comments into a typed value and reports every fault at once."""

from __future__ import annotations

import pathlib
from typing import Any, NamedTuple, TypeVar

import jsonc
import msgspec
import result

Checked = TypeVar("Checked", bound=msgspec.Struct)
"""The type that a file is checked against."""


class SettingsFault(NamedTuple):
    """One thing that is wrong with a settings file."""

    file: str
    """Path of the file."""

    path: str
    """Path of the value inside the file, `$` for the whole."""

    reason: str
    """What is wrong."""

    def __str__(self) -> str:
        """Return `file: path: reason`."""
        return f"{self.file}: {self.path}: {self.reason}"


def read_file(
    path: str, wanted: type[Checked]
) -> result.Result[Checked, tuple[SettingsFault, ...]]:
    """Read and check a settings file.

    Args:
        path: Path of the file.
        wanted: The type to check against.

    Returns:
        The settings, or every fault found.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err((SettingsFault(path, "$", f"cannot be read: {error}"),))
    return check_text(path, text, wanted)


def check_text(
    file: str, text: str, wanted: type[Checked]
) -> result.Result[Checked, tuple[SettingsFault, ...]]:
    """Check a text of JSON with comments.

    Args:
        file: Name of the file, for the faults.
        text: The text.
        wanted: The type to check against.

    Returns:
        The settings, or every fault found.
    """
    try:
        value = jsonc.loads(text)
    except ValueError as error:
        return result.Err((SettingsFault(file, "$", f"is not JSON with comments: {error}"),))
    if not isinstance(value, dict):
        return result.Err((SettingsFault(file, "$", "must be an object"),))
    faults = _find_faults(file, value, wanted)
    if faults:
        return result.Err(tuple(faults))
    try:
        return result.Ok(msgspec.convert(value, wanted))
    except msgspec.ValidationError as error:
        return result.Err((SettingsFault(file, "$", str(error)),))


def _find_faults(
    file: str, value: dict[str, Any], wanted: type[msgspec.Struct]
) -> list[SettingsFault]:
    """Check each field on its own, so that one fault does not hide the others."""
    fields_by_name = {field.encode_name: field for field in msgspec.structs.fields(wanted)}
    faults = [
        SettingsFault(file, f"$.{name}", "is unknown; known are " + ", ".join(fields_by_name))
        for name in value
        if name not in fields_by_name
    ]
    for name, field in fields_by_name.items():
        if name not in value:
            if field.required:
                faults.append(SettingsFault(file, f"$.{name}", "is missing"))
            continue
        try:
            msgspec.convert(value[name], field.type)
        except msgspec.ValidationError as error:
            reason, _, inner = str(error).partition(" - at `$")
            faults.append(SettingsFault(file, f"$.{name}{inner.rstrip('`')}", reason))
    return faults
