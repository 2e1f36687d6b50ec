"""Tells how two configurations of the platform differ, in words for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dragonflycove.configuration import faults
from dragonflycove.platform import numbers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

_SHOWN_KEY_CHARACTERS = 4
"""Characters of an API key that are shown; a key is a secret."""

_LABEL_BY_FIELD = {
    "timeout_ms": "longest wait, ms",
    "latency_goal_ms": "latency target, ms",
    "gap_target_ms": "longest pause on time, ms",
    "max_attempts": "servers tried at most",
    "route_type": "kind",
    "public": "usable without a key",
    "resumable": "streams can be resumed",
    "cold_start_s": "time until servers are warm, s",
    "cold_per_s": "requests a second at a cold server",
    "max_connections": "connections to a server at most",
    "health_path": "path of the health check",
    "max_header_bytes": "longest head, bytes",
    "max_body_bytes": "longest body, bytes",
    "header_timeout_ms": "time to send a head, ms",
    "idle_timeout_ms": "time until an idle connection is closed, ms",
}
"""What operators call fields; others keep their names."""


def find(before: dict[str, Any], after: dict[str, Any]) -> list[faults.Fault]:
    """Return the differences, each with the place in the new configuration.

    Args:
        before: Fields of the configuration in force.
        after: Fields of the new configuration; neither has faults.
    """
    old_tenants, new_tenants = (fields.get("tenants") or [] for fields in (before, after))
    return [
        *_version_change(before, after),
        *_entry_changes("route", before["routes"], after["routes"], _route_name, _route_fields),
        *_entry_changes(
            "service", before["services"], after["services"], _entry_name, _flat_fields
        ),
        *_key_need_change(before, after),
        *_entry_changes("tenant", old_tenants, new_tenants, _entry_name, _tenant_fields),
        *_key_changes(old_tenants, new_tenants),
        *_field_changes("limits", "limits", before.get("limits") or {}, after.get("limits") or {}),
    ]


def _version_change(before: dict[str, Any], after: dict[str, Any]) -> Iterator[faults.Fault]:
    old, new = (numbers.identifier(fields["version"]) for fields in (before, after))
    if new <= old:
        reason = f"version {new} isn't above {old}, which is in force; nodes don't take it"
        yield faults.Fault("version", reason)


def _key_need_change(before: dict[str, Any], after: dict[str, Any]) -> Iterator[faults.Fault]:
    if ("tenants" in before) != ("tenants" in after):
        needs = "need a key now" if "tenants" in after else "need no key any more"
        yield faults.Fault("tenants", f"requests on routes that aren't public {needs}")


def _route_name(route: dict[str, Any]) -> str:
    return f"{route['host'].lower()}{route['path_prefix']}"


def _entry_name(entry: dict[str, Any]) -> str:
    return str(entry["name"]).strip()


def _route_fields(route: dict[str, Any]) -> dict[str, Any]:
    split = route.get("traffic_split")
    fields = {k: v for k, v in route.items() if k not in ("traffic_split", "service", "host")}
    parts = split or [{"service": route["service"], "weight": 1}]
    total = sum(max(0.0, numbers.quantity(part["weight"])) for part in parts)
    shares = [
        f"{part['service']} {100.0 * max(0.0, numbers.quantity(part['weight'])) / total:.3g}%"
        for part in parts
        if total > 0
    ]
    return {**fields, "served by": ", ".join(shares) or "nobody"}


def _flat_fields(service: dict[str, Any]) -> dict[str, Any]:
    engine = service.get("engine") or {}
    plain = {key: value for key, value in service.items() if key != "engine"}
    return {**plain, **{f"engine {key}": value for key, value in engine.items()}}


def _tenant_fields(tenant: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in tenant.items() if key != "api_keys"}


def _entry_changes(
    kind: str,
    before: Iterable[dict[str, Any]],
    after: Iterable[dict[str, Any]],
    name_of: Callable[[dict[str, Any]], str],
    fields_of: Callable[[dict[str, Any]], dict[str, Any]],
) -> Iterator[faults.Fault]:
    """Yield entries that were added, removed or changed; the last of equal names counts."""
    old_by_name = {name_of(entry): entry for entry in before}
    new_by_name = {name_of(entry): (index, entry) for index, entry in enumerate(after)}
    for name in old_by_name:
        if name not in new_by_name:
            yield faults.Fault(f"{kind}s", f"{kind} {name} is removed")
    for name, (index, entry) in new_by_name.items():
        path = f"{kind}s.{index}"
        if name not in old_by_name:
            yield faults.Fault(path, f"{kind} {name} is new")
            continue
        yield from _field_changes(
            path, f"{kind} {name}", fields_of(old_by_name[name]), fields_of(entry)
        )


def _field_changes(
    path: str, what: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[faults.Fault]:
    for key in [*after, *(key for key in before if key not in after)]:
        if before.get(key) != after.get(key):
            label = _LABEL_BY_FIELD.get(key, key)
            change = f"{_show(before.get(key))} -> {_show(after.get(key))}"
            yield faults.Fault(path, f"{what}: {label}: {change}")


def _key_changes(
    before: Iterable[dict[str, Any]], after: Iterable[dict[str, Any]]
) -> Iterator[faults.Fault]:
    """Yield keys that are taken away, given, or pass to another tenant."""
    old, new = (
        {key: _entry_name(tenant) for tenant in tenants for key in tenant.get("api_keys") or ()}
        for tenants in (before, after)
    )
    for key in [*old, *(key for key in new if key not in old)]:
        if old.get(key) == new.get(key):
            continue
        shown = f"key {str(key)[:_SHOWN_KEY_CHARACTERS]}..."
        if key not in new:
            text = f"{shown} of {old[key]} is taken away: requests with it get 401"
        elif key not in old:
            text = f"{shown} is given to {new[key]}"
        else:
            text = f"{shown} passes from {old[key]} to {new[key]}"
        yield faults.Fault("tenants", text)


def _show(value: object) -> str:
    if value is None:
        return "not given"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:g}" if isinstance(value, float) else str(value)
