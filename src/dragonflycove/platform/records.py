"""Decodes the records of operators and backend servers in the platform's store."""

from __future__ import annotations

import decimal
import math
import re
from typing import Any

import result

from dragonflycove.fleet import catalog
from dragonflycove.platform import numbers

OPERATOR_TOPIC = "keyed.op"
"""Topic of the operators' records."""

SERVER_TOPIC = "keyed.servers"
"""Topic of the backend servers' records."""

CONFIGURATION_KEY = "config"
"""Key of the configuration in the operators' topic."""

EVACUATION_PREFIX = "evacuate/"
"""Prefix of the keys that evacuate an availability zone; the zone's name follows."""

_MS = 0.001
"""One millisecond, in seconds."""

_HEADER_VALUE = re.compile(rb"([^\x00\s]+([ \t]+[^\x00\s]+)*)?")
"""What may be sent as the value of a header."""

_MALFORMED = (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)
"""Exceptions by which decoding a malformed record can end."""


def evacuated_zone(key: str) -> str | None:
    """Return the availability zone that an operators' record evacuates.

    Args:
        key: Key of the record.

    Returns:
        Name of the zone; None if the key is not an evacuation.
    """
    return key.removeprefix(EVACUATION_PREFIX) if key.startswith(EVACUATION_PREFIX) else None


def decode_configuration(value: bytes) -> result.Result[catalog.Configuration, str]:
    """Decode the operators' configuration.

    Args:
        value: Value of the record, JSON.

    Returns:
        The configuration, or why it is invalid.
    """
    try:
        return result.Ok(_configuration(numbers.load_json(value)))
    except _MALFORMED as error:
        return result.Err(f"configuration cannot be read: {error!r}")


def decode_server(server_id: str, value: bytes) -> result.Result[catalog.BackendServer, str]:
    """Decode a backend server's record.

    Any process may write to the topic, so the value may be arbitrary bytes.

    Args:
        server_id: Key of the record.
        value: Value of the record, JSON.

    Returns:
        The server, or why the record is invalid.
    """
    try:
        fields = numbers.load_json(value)
        return result.Ok(_server(server_id, fields))
    except _MALFORMED as error:
        return result.Err(f"invalid server record: {error!r}")


def _configuration(fields: dict[str, Any]) -> catalog.Configuration:
    version = numbers.identifier(fields["version"])
    routes = [_route(entry) for entry in fields["routes"]]
    organisation_by_key = {}
    tenants = fields.get("tenants") or []
    for tenant in tenants:
        priority = tenant.get("priority")
        organisation = catalog.Organisation(
            _header_value(tenant["name"].strip()),
            None if priority is None else numbers.count(priority),
        )
        for key in tenant.get("api_keys") or ():
            organisation_by_key[key] = organisation
    services = [_service(entry) for entry in fields["services"]]
    return catalog.Configuration(
        version=version,
        route_by_host_prefix={(route.host, route.path_prefix): route for route in routes},
        service_by_name={service.name: service for service in services},
        organisation_by_key=organisation_by_key,
        needs_keys="tenants" in fields,
        limits=_limits(fields.get("limits") or {}, version),
    )


def _stated(fields: dict[str, Any]) -> dict[str, Any]:
    """Return the fields that have a value; null states nothing."""
    return {name: value for name, value in fields.items() if value is not None}


def _route(entry: dict[str, Any]) -> catalog.Route:
    fields = _stated(entry)
    split = fields.get("traffic_split")
    weights = (
        tuple(
            (_text(part["service"]), max(0.0, numbers.quantity(part["weight"]))) for part in split
        )
        if split
        else ((_text(fields["service"]), 1.0),)
    )
    return catalog.Route(
        name=_text(fields["name"]),
        host=fields["host"].lower(),
        path_prefix=_text(fields["path_prefix"]),
        kind=catalog.CallKind(fields["route_type"]),
        timeout_seconds=numbers.quantity(fields["timeout_ms"]) * _MS,
        latency_target_seconds=numbers.quantity(fields.get("latency_goal_ms", fields["timeout_ms"]))
        * _MS,
        gap_target_seconds=numbers.quantity(fields.get("gap_target_ms", 0)) * _MS,
        priority=numbers.count(fields.get("priority", 5)),
        weights_by_service=weights,
        max_attempts=numbers.count(fields.get("max_attempts", 1)),
        is_public=bool(fields.get("public", False)),
        is_resumable=bool(fields.get("resumable", False)),
    )


def _service(entry: dict[str, Any]) -> catalog.Service:
    fields = _stated(entry)
    engine = fields.get("engine")
    return catalog.Service(
        name=_text(fields["name"]),
        health_path=fields.get("health_path", "/healthz"),
        max_connections=numbers.count(fields.get("max_connections", 100)),
        cold_start_seconds=numbers.quantity(fields.get("cold_start_s", 0)),
        cold_requests_per_second=numbers.quantity(fields.get("cold_per_s", 0)),
        engine=_engine(engine) if engine else None,
    )


def _engine(entry: dict[str, Any]) -> catalog.EngineSpec:
    fields = _stated(entry)
    return catalog.EngineSpec(
        slots=numbers.count(fields["slots"]),
        kv_cache_tokens=numbers.count(fields["kv_capacity"]),
        step_seconds=numbers.quantity(fields["step_ms"]) * _MS,
        step_seconds_per_sequence=numbers.quantity(fields.get("per_seq_ms", 0)) * _MS,
        # `context_per_k` is in milliseconds per thousand tokens.
        step_seconds_per_context_token=numbers.quantity(fields.get("context_per_k", 0))
        * _MS
        / 1000,
        # A rate of 0 gives nothing to predict prefill times by.
        prefill_tokens_per_second=numbers.quantity(fields["read_per_s"]) or math.inf,
        # `pairs_per_m` is in milliseconds per million pairs.
        attention_seconds_per_token_pair=numbers.quantity(fields.get("pairs_per_m", 0)) * _MS / 1e6,
        steps_per_pass=numbers.count(fields.get("stride", 1)),
    )


def _limits(entry: dict[str, Any], version: int) -> catalog.CallerLimits:
    fields = _stated(entry)
    default = catalog.CallerLimits()
    return catalog.CallerLimits(
        max_header_bytes=numbers.count(fields.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=numbers.count(fields.get("max_body_bytes", default.max_body_bytes)),
        header_timeout_seconds=numbers.quantity(
            fields.get("header_timeout_ms", default.header_timeout_seconds / _MS)
        )
        * _MS,
        idle_seconds=numbers.quantity(fields.get("idle_timeout_ms", default.idle_seconds / _MS))
        * _MS,
        version=version,
    )


def _server(server_id: str, fields: dict[str, Any]) -> catalog.BackendServer:
    born = fields.get("born", 0)
    cold_ms = fields.get("cold_remaining_ms", 0)
    slots = fields.get("slots", 1)
    if not all(_is_number(value) for value in (born, cold_ms, slots)):
        raise TypeError("born, cold_remaining_ms or slots is not a number")
    return catalog.BackendServer(
        instance=catalog.Instance(_header_value(server_id), numbers.identifier(born)),
        service=_text(fields["service"]),
        address=catalog.parse_address(fields["address"]),
        zone=_text(fields["zone"]),
        slots=numbers.count(slots),
        state=catalog.ServerState(fields["state"]),
        cold_seconds=numbers.quantity(cold_ms) * _MS,
    )


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float, decimal.Decimal)) and not isinstance(value, bool)


def _text(value: Any) -> str:
    """Return a text that can be encoded; JSON may hold halves of surrogate pairs."""
    if not isinstance(value, str):
        raise TypeError(f"not a text: {value!r}")
    value.encode()
    return value


def _header_value(value: Any) -> str:
    """Return a text that can be sent as the value of a header."""
    if not _HEADER_VALUE.fullmatch(_text(value).encode()):
        raise ValueError(f"not the value of a header: {value!r}")
    return str(value)
