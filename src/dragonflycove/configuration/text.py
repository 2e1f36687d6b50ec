"""The operators' text: parsing, and checking with every fault at once."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

import jsonc
import msgspec
import result

from dragonflycove.configuration import _checks, _shapes, faults, schema

MAX_TEXT_CHARACTERS = 32_000_000
"""Longest text that is read, characters."""

_Shape = TypeVar("_Shape", bound=msgspec.Struct)


class ParsedText(NamedTuple):
    """What a text says, checked."""

    services_by_name: dict[str, schema.Service]
    """Services."""

    zones: tuple[str, ...]
    """Names of the availability zones."""

    servers_by_id: dict[str, schema.Server]
    """Backend servers."""

    organisations_by_name: dict[str, schema.Organisation]
    """Organisations."""

    def to_configuration(self, version: int, zones_out: frozenset[str]) -> schema.Configuration:
        """Return the configuration of this text.

        Args:
            version: Number of the version.
            zones_out: Names of the availability zones taken out.

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


def parse(text: str) -> result.Result[ParsedText, list[faults.Fault]]:
    """Parse and check a text.

    Args:
        text: JSON with comments.

    Returns:
        What it says, or all its faults.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        return result.Err([faults.Fault("", f"longer than {MAX_TEXT_CHARACTERS} characters")])
    loaded = _load(text)
    if isinstance(loaded, result.Err):
        return loaded
    return parse_document(loaded.ok_value)


def parse_document(document: object) -> result.Result[ParsedText, list[faults.Fault]]:
    """Check a text that is already decoded.

    Args:
        document: The decoded JSON value.

    Returns:
        What it says, or all its faults.
    """
    if not isinstance(document, dict):
        return result.Err([faults.Fault("", "not a JSON object")])
    found: list[faults.Fault] = []
    _find_repeated_keys(document, "", found)
    known = {"zones", *_shapes.SECTIONS}
    found.extend(faults.Fault(str(key), "unknown key") for key in document if key not in known)
    zones = _read_zones(document.get("zones", []), found)
    services = _read_section(document, "services", _shapes.ServiceShape, found)
    servers = _read_section(document, "servers", _shapes.ServerShape, found)
    organisations = _read_section(document, "organisations", _shapes.OrganisationShape, found)
    parsed = ParsedText(
        {name: _to_service(name, shape) for name, shape in services.items()},
        zones or (),
        {name: _to_server(name, shape, services) for name, shape in servers.items()},
        {name: _to_organisation(name, shape) for name, shape in organisations.items()},
    )
    names = _checks.KnownNames(_entry_names(document, "services"), zones)
    faulty = {fault.path for fault in found}
    crossed = [
        *_checks.check_services(parsed.services_by_name, names),
        *_checks.check_servers(parsed.servers_by_id, parsed.services_by_name, names),
    ]
    found.extend(fault for fault in crossed if fault.path not in faulty)
    return result.Err(found) if found else result.Ok(parsed)


class _Repeated(dict[str, Any]):
    """A JSON object in which a key stands twice."""

    keys_twice: tuple[str, ...] = ()


def _load(text: str) -> result.Result[object, list[faults.Fault]]:
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
    repeated = _Repeated(plain)
    repeated.keys_twice = tuple(key for key in plain if keys.count(key) > 1)
    return repeated


def _find_repeated_keys(value: object, path: str, found: list[faults.Fault]) -> None:
    if isinstance(value, _Repeated):
        found.extend(
            faults.Fault(faults.join(path, key), "duplicate key") for key in value.keys_twice
        )
    if isinstance(value, dict):
        for key, inner in value.items():
            if isinstance(inner, dict | list):
                _find_repeated_keys(inner, faults.join(path, key), found)
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            if isinstance(inner, dict | list):
                _find_repeated_keys(inner, f"{path}[{index}]", found)


def _read_zones(value: object, found: list[faults.Fault]) -> tuple[str, ...] | None:
    try:
        zones = msgspec.convert(value, list[_shapes.Name])
    except msgspec.ValidationError as error:
        found.append(faults.Fault("zones", str(error)))
        return None
    repeated = sorted({zone for zone in zones if zones.count(zone) > 1})
    found.extend(faults.Fault("zones", f"duplicate zone {zone!r}") for zone in repeated)
    return tuple(zones)


def _entry_names(document: dict[str, Any], section: str) -> frozenset[str]:
    value = document.get(section)
    return frozenset(value) if isinstance(value, dict) else frozenset()


def _read_section(
    document: dict[str, Any], section: str, shape: type[_Shape], found: list[faults.Fault]
) -> dict[str, _Shape]:
    value = document.get(section, {})
    if not isinstance(value, dict):
        found.append(faults.Fault(section, "not an object"))
        return {}
    entries: dict[str, _Shape] = {}
    for name, entry in value.items():
        path = faults.join(section, name)
        try:
            msgspec.convert(name, _shapes.Name)
        except msgspec.ValidationError:
            found.append(faults.Fault(path, "not a name: letters, digits, `.`, `_` and `-` only"))
        try:
            entries[name] = msgspec.convert(entry, shape)
        except msgspec.ValidationError as error:
            found.extend(_list_field_faults(entry, path, shape, str(error)))
            entries.update(_read_valid_fields(name, entry, shape))
    return entries


def _read_valid_fields(name: str, entry: object, shape: type[_Shape]) -> dict[str, _Shape]:
    """Read what is valid of a faulty entry, so that its references are checked as well."""
    if not isinstance(entry, dict):
        return {}
    valid: dict[str, Any] = {}
    for field in msgspec.structs.fields(shape):
        placeholder = "" if field.required else field.default
        try:
            valid[field.name] = msgspec.convert(entry.get(field.name, placeholder), field.type)
        except msgspec.ValidationError:
            # The two bounds are only compared where both are valid.
            if field.name not in ("concurrency", "cold_concurrency") and field.required:
                valid[field.name] = placeholder
    if not {"concurrency", "cold_concurrency"} <= valid.keys():
        valid = {key: value for key, value in valid.items() if not key.endswith("concurrency")}
    if "kind" in valid and not valid["kind"]:
        return {}
    return {name: shape(**valid)}


def _list_field_faults(
    entry: object, path: str, shape: type[msgspec.Struct], reason: str
) -> list[faults.Fault]:
    """Find the faults of one entry field by field, since the library stops at the first."""
    if not isinstance(entry, dict):
        return [faults.Fault(path, reason)]
    fields_by_name = {field.name: field for field in msgspec.structs.fields(shape)}
    found = [
        faults.Fault(faults.join(path, key), "unknown key")
        for key in entry
        if key not in fields_by_name
    ]
    for name, field in fields_by_name.items():
        if name not in entry:
            if field.required:
                found.append(faults.Fault(faults.join(path, name), "missing"))
            continue
        try:
            msgspec.convert(entry[name], field.type)
        except msgspec.ValidationError as error:
            found.append(faults.Fault(faults.join(path, name), str(error)))
    return found


def _to_service(name: str, shape: _shapes.ServiceShape) -> schema.Service:
    calls = tuple(schema.CallRule(call.method, call.path, call.idempotent) for call in shape.calls)
    return schema.Service(
        name,
        schema.ServiceKind(shape.kind),
        tuple(shape.depends_on),
        tuple(shape.models),
        calls,
    )


def _to_server(
    server_id: str, shape: _shapes.ServerShape, services: dict[str, _shapes.ServiceShape]
) -> schema.Server:
    service = services.get(shape.service)
    models = shape.models or (service.models if service is not None else [])
    return schema.Server(
        server_id,
        shape.service,
        shape.zone,
        shape.address,
        tuple(models),
        shape.memory_tokens,
        shape.prefill_tokens_per_second,
        shape.concurrency,
        shape.cold_concurrency,
        shape.warm_after_requests,
        shape.checks_fencing,
        shape.leaving,
    )


def _to_organisation(name: str, shape: _shapes.OrganisationShape) -> schema.Organisation:
    return schema.Organisation(name, shape.weight, shape.tokens_per_second)
