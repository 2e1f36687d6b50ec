"""Finds what nodes could not read in a configuration of the platform, with its place.

`records.decode_configuration` decides what can be read. Each value is put into an entry that is
known to be readable, so a fault found here is one for which nodes keep the version in force.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

import result

from dragonflycove.configuration import faults
from dragonflycove.platform import records

if TYPE_CHECKING:
    from collections.abc import Iterator

_MAX_SHOWN_CHARACTERS = 60
"""Maximum length of a faulty value in a reason."""

_ENGINE: dict[str, Any] = {"slots": 1, "kv_capacity": 1, "step_ms": 1, "read_per_s": 1}


class _Section(NamedTuple):
    """A list of entries in a configuration, or one object."""

    name: str
    """Key of the section."""

    readable: dict[str, Any]
    """An entry that can be read, with the keys that are required."""


_ROUTES = _Section(
    "routes",
    {
        "name": "r",
        "host": "h",
        "path_prefix": "/",
        "route_type": "streaming",
        "timeout_ms": 1,
        "service": "s",
    },
)
_SERVICES = _Section("services", {"name": "s"})
_TENANTS = _Section("tenants", {"name": "t"})


def is_configuration(content: str) -> bool:
    """Return whether a text is a configuration of the platform rather than one of our own.

    Args:
        content: The text.
    """
    try:
        document = json.loads(content)
    except (ValueError, RecursionError):
        return False
    return isinstance(document, dict) and _ROUTES.name in document


def summary(fields: dict[str, Any]) -> str:
    """Return how many entries of each kind a configuration has.

    Args:
        fields: Fields of a configuration without faults.
    """
    sections = (_ROUTES, _SERVICES, _TENANTS)
    return ", ".join(f"{len(fields.get(one.name) or ())} {one.name}" for one in sections)


def find(content: str) -> result.Result[dict[str, Any], list[faults.Fault]]:
    """Return the configuration's fields, or all of its faults.

    Args:
        content: The configuration, JSON.
    """
    try:
        document = json.loads(content)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        return result.Err([faults.Fault("", f"{place}: not JSON: {error.msg}")])
    except (ValueError, RecursionError) as error:
        return result.Err([faults.Fault("", f"not JSON that can be read: {error}")])
    if not isinstance(document, dict):
        return result.Err([faults.Fault("", "must be an object")])
    found = [*_unreadable(document, content)]
    if not found:
        found = [*_contradicting_references(document)]
    return result.Err(found) if found else result.Ok(document)


def _why_unreadable(document: dict[str, Any], text: str | None = None) -> str | None:
    """Return why nodes can't read a configuration; its text, if given, has all digits of numbers."""
    encoded = (json.dumps(document) if text is None else text).encode()
    decoded = records.decode_configuration(encoded)
    return decoded.err_value if isinstance(decoded, result.Err) else None


def _unreadable(document: dict[str, Any], text: str) -> Iterator[faults.Fault]:
    """Yield what can't be read, as near to its place as can be told."""
    why = _why_unreadable(document, text)
    if why is None:
        return
    count = 0
    for fault in _unreadable_parts(document):
        count += 1
        yield fault
    if not count:
        yield faults.Fault("", why)


def _unreadable_parts(document: dict[str, Any]) -> Iterator[faults.Fault]:
    if "version" not in document:
        yield faults.Fault("version", "is missing")
    elif _why_unreadable({"version": document["version"], "routes": [], "services": []}):
        yield faults.Fault("version", f"must be a whole number, not {_show(document['version'])}")
    for section in (_ROUTES, _SERVICES, _TENANTS):
        if section.name not in document:
            if section is not _TENANTS:
                yield faults.Fault(section.name, "is missing")
            continue
        entries = document[section.name]
        if not isinstance(entries, list):
            if section is not _TENANTS or entries:
                yield faults.Fault(section.name, "must be a list")
            continue
        for index, entry in enumerate(entries):
            path = faults.join(section.name, index)
            yield from _unreadable_entry(section, entry, path)
    if document.get("limits"):
        yield from _unreadable_limits(document["limits"])


def _unreadable_entry(section: _Section, entry: object, path: str) -> Iterator[faults.Fault]:
    def why(candidate: object) -> str | None:
        document: dict[str, Any] = {"version": 1, "routes": [], "services": []}
        document[section.name] = [candidate]
        return _why_unreadable(document)

    reason = why(entry)
    if reason is None:
        return
    if not isinstance(entry, dict):
        shown = "" if section is _TENANTS else f", not {_show(entry)}"
        yield faults.Fault(path, f"must be an object{shown}")
        return
    count = 0
    for key in section.readable:
        if key not in entry and not (key == "service" and entry.get("traffic_split")):
            count += 1
            yield faults.Fault(faults.join(path, key), "is missing")
    for key, value in entry.items():
        base = {**section.readable, key: value}
        if not why(base):
            continue
        count += 1
        if section is _SERVICES and key == "engine" and isinstance(value, dict):
            yield from _unreadable_engine(value, faults.join(path, key))
        else:
            # Keys are secrets, and reasons are printed.
            shown = "" if key == "api_keys" else f": {_show(value)}"
            yield faults.Fault(faults.join(path, key), f"can't be read{shown}")
    if not count:
        yield faults.Fault(path, reason)


def _unreadable_engine(engine: dict[str, Any], path: str) -> Iterator[faults.Fault]:
    for key in _ENGINE:
        if key not in engine:
            yield faults.Fault(faults.join(path, key), "is missing")
    for key, value in engine.items():
        service = {"name": "s", "engine": {**_ENGINE, key: value}}
        if _why_unreadable({"version": 1, "routes": [], "services": [service]}):
            yield faults.Fault(faults.join(path, key), f"can't be read: {_show(value)}")


def _unreadable_limits(limits: object) -> Iterator[faults.Fault]:
    if not isinstance(limits, dict):
        yield faults.Fault("limits", f"must be an object, not {_show(limits)}")
        return
    for key, value in limits.items():
        if _why_unreadable({"version": 1, "routes": [], "services": [], "limits": {key: value}}):
            yield faults.Fault(f"limits.{key}", f"must be a number, not {_show(value)}")


def _contradicting_references(document: dict[str, Any]) -> Iterator[faults.Fault]:
    """Yield services of routes that don't exist, and prefixes that no path can have."""
    names = {entry["name"] for entry in document["services"]}
    for index, route in enumerate(document["routes"]):
        path = faults.join("routes", index)
        split = route.get("traffic_split")
        if split:
            for number, part in enumerate(split):
                if part["service"] not in names:
                    place = f"{path}.traffic_split.{number}.service"
                    yield faults.Fault(place, f"no service is named {_show(part['service'])}")
        elif route["service"] not in names:
            yield faults.Fault(f"{path}.service", f"no service is named {_show(route['service'])}")
        prefix = route["path_prefix"]
        if not prefix.startswith("/") or not prefix.endswith("/"):
            reason = f"must begin and end with a slash: {_show(prefix)}"
            yield faults.Fault(f"{path}.path_prefix", reason)


def _show(value: object) -> str:
    text = json.dumps(value)
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else f"{text[:_MAX_SHOWN_CHARACTERS]}..."
