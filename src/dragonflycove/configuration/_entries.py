"""Decodes the entries of the sections of a configuration text, and collects their faults."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from dragonflycove.configuration import _shapes, faults, schema

if TYPE_CHECKING:
    from collections.abc import Sequence

_Shape = TypeVar("_Shape", bound=msgspec.Struct)


def read_section(
    document: dict[str, Any], section: str, shape: type[_Shape], found: list[faults.Fault]
) -> dict[str, _Shape]:
    """Decode a section, appending its faults to `found`; faulty entries keep their valid fields."""
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
    """Decode the valid fields of a faulty entry, so that its references are checked too."""
    if not isinstance(entry, dict):
        return {}
    valid: dict[str, Any] = {}
    for field in msgspec.structs.fields(shape):
        placeholder = "" if field.required else field.default
        try:
            valid[field.name] = msgspec.convert(entry.get(field.name, placeholder), field.type)
        except msgspec.ValidationError:
            # `cold_concurrency` is only compared with `concurrency` if both are valid.
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
    """Return all faults of an entry, field by field, as `msgspec` stops at the first fault."""
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


def to_service(name: str, shape: _shapes.ServiceShape) -> schema.Service:
    """Convert a decoded entry of `services`."""
    calls = tuple(schema.CallRule(call.method, call.path, call.idempotent) for call in shape.calls)
    return schema.Service(
        name,
        schema.ServiceKind(shape.kind),
        tuple(shape.depends_on),
        tuple(shape.models),
        calls,
    )


def to_server(
    server_id: str, shape: _shapes.ServerShape, service_models: Sequence[str]
) -> schema.Server:
    """Convert a decoded entry of `servers`; `models` defaults to the models of its service."""
    models = shape.models or service_models
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


def to_organisation(name: str, shape: _shapes.OrganisationShape) -> schema.Organisation:
    """Convert a decoded entry of `organisations`."""
    return schema.Organisation(name, shape.weight, shape.tokens_per_second)
