"""Decodes settings files, JSON with comments, into a typed value; reports every fault at once."""

from __future__ import annotations

import pathlib
from typing import Any, NamedTuple, TypeVar

import jsonc
import msgspec
import result

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)
"""Type of the settings that a file is decoded into."""


class SettingsFault(NamedTuple):
    """One fault of a settings file."""

    file: str
    """Path or name of the file."""

    path: str
    """Path of the faulty value inside the file, such as `$.host`; `$` for the file itself."""

    reason: str
    """What is wrong, for operators."""

    def __str__(self) -> str:
        """Return `file: path: reason`."""
        return f"{self.file}: {self.path}: {self.reason}"


def read_file(
    path: str, settings_type: type[SettingsT]
) -> result.Result[SettingsT, tuple[SettingsFault, ...]]:
    """Read and check a settings file.

    Args:
        path: Path of the file.
        settings_type: Type of the settings.

    Returns:
        The settings, or every fault found; a file that can't be read is one fault.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err((SettingsFault(path, "$", f"cannot be read: {error}"),))
    return check_text(path, text, settings_type)


def check_text(
    file: str, text: str, settings_type: type[SettingsT]
) -> result.Result[SettingsT, tuple[SettingsFault, ...]]:
    """Decode and check settings.

    Args:
        file: Name of the file, for the faults.
        text: JSON with comments.
        settings_type: Type of the settings.

    Returns:
        The settings, or every fault found.
    """
    try:
        value = jsonc.loads(text)
    except ValueError as error:
        return result.Err((SettingsFault(file, "$", f"is not JSON with comments: {error}"),))
    if not isinstance(value, dict):
        return result.Err((SettingsFault(file, "$", "must be an object"),))
    faults = _find_faults(file, value, settings_type)
    if faults:
        return result.Err(tuple(faults))
    try:
        return result.Ok(msgspec.convert(value, settings_type))
    except msgspec.ValidationError as error:
        return result.Err((SettingsFault(file, "$", str(error)),))


def _find_faults(
    file: str, value: dict[str, Any], settings_type: type[msgspec.Struct]
) -> list[SettingsFault]:
    """Check each field on its own, since `msgspec` stops at the first fault of a struct."""
    fields_by_name = {field.encode_name: field for field in msgspec.structs.fields(settings_type)}
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
            reason, _, inner_path = str(error).partition(" - at `$")
            faults.append(SettingsFault(file, f"$.{name}{inner_path.rstrip('`')}", reason))
    return faults
