"""Parses and checks the configuration text, reporting every fault at once."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

import jsonc
import msgspec
import result

from dragonflycove.configuration import _checks, _entries, _shapes, faults, schema

MAX_TEXT_CHARACTERS = 32_000_000
"""Maximum length of a text, characters."""


class ParsedText(NamedTuple):
    """A decoded and checked configuration text."""

    services_by_name: dict[str, schema.Service]
    """Services by name."""

    zones: tuple[str, ...]
    """Names of the availability zones."""

    servers_by_id: dict[str, schema.Server]
    """Backend servers by id."""

    organisations_by_name: dict[str, schema.Organisation]
    """Organisations by name."""

    def to_configuration(self, version: int, zones_out: frozenset[str]) -> schema.Configuration:
        """Combine this text with its version and the zones taken out of service.

        Args:
            version: Number of the version.
            zones_out: Names of the availability zones taken out of service.

        Returns:
            The configuration.
        """
        return schema.Configuration(
            version,
            self.services_by_name,
            self.zones,
            self.servers_by_id,
            self.organisations_by_name,
            zones_out,
        )


EMPTY_TEXT = ParsedText({}, (), {}, {})
"""Parsed text before the first version, without entries."""


def parse(text: str) -> result.Result[ParsedText, list[faults.Fault]]:
    """Parse and check a text.

    Args:
        text: JSON with comments.

    Returns:
        The parsed text, or all faults.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        return result.Err([faults.Fault("", f"longer than {MAX_TEXT_CHARACTERS} characters")])
    return load(text).and_then(parse_document)


def parse_document(document: object) -> result.Result[ParsedText, list[faults.Fault]]:
    """Check a text that is already decoded.

    Args:
        document: The decoded JSON value.

    Returns:
        The parsed text, or all faults.
    """
    if not isinstance(document, dict):
        return result.Err([faults.Fault("", "not a JSON object")])
    found: list[faults.Fault] = []
    _find_duplicate_keys(document, "", found)
    known = {"zones", *_shapes.SECTIONS}
    found.extend(faults.Fault(str(key), "unknown key") for key in document if key not in known)
    zones = _read_zones(document.get("zones", []), found)
    services = _entries.read_section(document, "services", _shapes.ServiceShape, found)
    servers = _entries.read_section(document, "servers", _shapes.ServerShape, found)
    organisations = _entries.read_section(
        document, "organisations", _shapes.OrganisationShape, found
    )
    parsed = ParsedText(
        {name: _entries.to_service(name, shape) for name, shape in services.items()},
        zones or (),
        {
            name: _entries.to_server(name, shape, _list_service_models(services, shape.service))
            for name, shape in servers.items()
        },
        {name: _entries.to_organisation(name, shape) for name, shape in organisations.items()},
    )
    names = _checks.KnownNames(_list_entry_names(document, "services"), zones)
    faulty_paths = {fault.path for fault in found}
    cross_entry_faults = [
        *_checks.check_services(parsed.services_by_name, names),
        *_checks.check_servers(parsed.servers_by_id, parsed.services_by_name, names),
    ]
    found.extend(fault for fault in cross_entry_faults if fault.path not in faulty_paths)
    return result.Err(found) if found else result.Ok(parsed)


class _ObjectWithDuplicateKeys(dict[str, Any]):
    """A JSON object in which keys occur more than once; the last value of a key is kept."""

    duplicate_keys: tuple[str, ...] = ()


def load(text: str) -> result.Result[object, list[faults.Fault]]:
    """Decode a text without checking its entries.

    Args:
        text: JSON with comments.

    Returns:
        The decoded value, or the fault that prevents decoding.
    """
    try:
        # Plain JSON is tried first, since most long texts are generated and have no comments.
        return result.Ok(json.loads(text, object_pairs_hook=_to_object))
    except (ValueError, RecursionError):
        return _load_with_comments(text)


def _load_with_comments(text: str) -> result.Result[object, list[faults.Fault]]:
    try:
        return result.Ok(jsonc.loads(text, object_pairs_hook=_to_object))
    except ValueError as error:
        return result.Err([faults.Fault("", f"not JSON with comments: {error}")])
    except RecursionError:
        return result.Err([faults.Fault("", "nested too deep")])


def _to_object(pairs: list[tuple[Any, Any]]) -> dict[str, Any]:
    plain = dict(pairs)
    if len(plain) == len(pairs):
        return plain
    keys = [key for key, _ in pairs]
    repeated = _ObjectWithDuplicateKeys(plain)
    repeated.duplicate_keys = tuple(key for key in plain if keys.count(key) > 1)
    return repeated


def _find_duplicate_keys(value: object, path: str, found: list[faults.Fault]) -> None:
    if isinstance(value, _ObjectWithDuplicateKeys):
        found.extend(
            faults.Fault(faults.join(path, key), "duplicate key") for key in value.duplicate_keys
        )
    if isinstance(value, dict):
        for key, inner in value.items():
            if isinstance(inner, dict | list):
                _find_duplicate_keys(inner, faults.join(path, key), found)
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            if isinstance(inner, dict | list):
                _find_duplicate_keys(inner, f"{path}[{index}]", found)


def _read_zones(value: object, found: list[faults.Fault]) -> tuple[str, ...] | None:
    try:
        zones = msgspec.convert(value, list[_shapes.Name])
    except msgspec.ValidationError as error:
        found.append(faults.Fault("zones", str(error)))
        return None
    repeated = sorted({zone for zone in zones if zones.count(zone) > 1})
    found.extend(faults.Fault("zones", f"duplicate zone {zone!r}") for zone in repeated)
    return tuple(zones)


def _list_entry_names(document: dict[str, Any], section: str) -> frozenset[str]:
    value = document.get(section)
    return frozenset(value) if isinstance(value, dict) else frozenset()


def _list_service_models(services: dict[str, _shapes.ServiceShape], service: str) -> list[str]:
    shape = services.get(service)
    return shape.models if shape is not None else []
