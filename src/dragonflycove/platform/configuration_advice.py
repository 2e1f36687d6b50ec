"""Finds entries of a readable configuration that have no effect, and values that contradict.

Nodes accept such a configuration; it may not do what its author wants.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dragonflycove.configuration import faults
from dragonflycove.platform import numbers

if TYPE_CHECKING:
    from collections.abc import Iterator

_DEFAULT_TIMEOUTS_MS = {"header_timeout_ms": 3_000.0, "idle_timeout_ms": 15_000.0}
"""Timeouts that nodes use if the configuration has none."""


_ROUTE_COUNTS = ("max_attempts", "priority")
"""Fields of routes that nodes read as whole numbers."""

_SERVICE_COUNTS = ("max_connections",)
"""The same of services."""

_ENGINE_COUNTS = ("slots", "kv_capacity", "stride")
"""The same of engines."""

_TENANT_COUNTS = ("priority",)
"""The same of tenants."""

_LIMIT_COUNTS = ("max_header_bytes", "max_body_bytes")
"""The same of the limits on callers."""


def find(fields: dict[str, Any]) -> list[faults.Fault]:
    """Return entries without effect and contradictions, with their places.

    Args:
        fields: Fields of a configuration without faults.
    """
    fields = _without_nulls(fields)
    return [
        *_hidden_routes(fields["routes"]),
        *_route_advice(fields["routes"]),
        *_service_advice(fields),
        *_tenant_advice(fields),
        *_limit_advice(fields["limits"]),
    ]


def _without_nulls(fields: dict[str, Any]) -> dict[str, Any]:
    """Return the fields without those of entries that are null, which nodes take as not given."""
    stated = dict(fields)
    for section in ("routes", "services", "tenants"):
        if fields.get(section):
            stated[section] = [_stated(entry) for entry in fields[section]]
    stated["limits"] = _stated(fields.get("limits") or {})
    return stated


def _stated(entry: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of an entry that have a value, those of objects in it included."""
    return {
        name: _stated(value) if isinstance(value, dict) else value
        for name, value in entry.items()
        if value is not None
    }


def _rounded_counts(
    entry: dict[str, Any], names: tuple[str, ...], path: str
) -> Iterator[faults.Fault]:
    """Yield counts that nodes round down or bound."""
    for name in names:
        if name in entry and (used := numbers.count(entry[name])) != numbers.exact(entry[name]):
            yield faults.Fault(faults.join(path, name), f"counts as {used}")


def _hidden_routes(routes: list[dict[str, Any]]) -> Iterator[faults.Fault]:
    """Yield routes with the host and prefix of another one; nodes use the last of them."""
    last_by_place = {_place(route): index for index, route in enumerate(routes)}
    index_by_name: dict[str, int] = {}
    for index, route in enumerate(routes):
        last = last_by_place[_place(route)]
        if last != index:
            reason = f"never matches: routes.{last} has the same host and path_prefix"
            yield faults.Fault(f"routes.{index}", reason)
        first = index_by_name.setdefault(route["name"], index)
        if first != index:
            yield faults.Fault(f"routes.{index}.name", f"routes.{first} has the same name")


def _place(route: dict[str, Any]) -> tuple[str, str]:
    return route["host"].lower(), route["path_prefix"]


def _route_advice(routes: list[dict[str, Any]]) -> Iterator[faults.Fault]:
    for index, route in enumerate(routes):
        path = f"routes.{index}"
        timeout = numbers.quantity(route["timeout_ms"])
        goal = numbers.quantity(route.get("latency_goal_ms", timeout))
        gap = numbers.quantity(route.get("gap_target_ms", 0))
        is_stream = route["route_type"] == "streaming"
        if timeout <= 0:
            yield faults.Fault(f"{path}.timeout_ms", "every request ends at once")
        elif timeout < goal:
            reason = f"requests end after {timeout:g} ms, before latency_goal_ms, {goal:g} ms"
            yield faults.Fault(f"{path}.timeout_ms", reason)
        if is_stream and 0 < timeout < gap:
            reason = f"a pause of {gap:g} ms can't happen, as timeout_ms is {timeout:g}"
            yield faults.Fault(f"{path}.gap_target_ms", reason)
        if numbers.count(route.get("max_attempts", 1)) < 1:
            yield faults.Fault(f"{path}.max_attempts", "no request may be sent to any server")
        for key, has_value in (("gap_target_ms", gap > 0), ("resumable", route.get("resumable"))):
            if has_value and not is_stream:
                yield faults.Fault(f"{path}.{key}", "has no effect, as the route isn't streaming")
        yield from _rounded_counts(route, _ROUTE_COUNTS, path)
        yield from _split_advice(route, path)


def _split_advice(route: dict[str, Any], path: str) -> Iterator[faults.Fault]:
    split = route.get("traffic_split")
    if not split:
        return
    if "service" in route:
        yield faults.Fault(f"{path}.service", "has no effect, as traffic_split decides")
    weights = [numbers.quantity(part["weight"]) for part in split]
    if not any(weight > 0 for weight in weights):
        yield faults.Fault(f"{path}.traffic_split", "no service has a weight above 0")
        return
    seen: set[str] = set()
    for number, (part, weight) in enumerate(zip(split, weights, strict=True)):
        place = f"{path}.traffic_split.{number}"
        if weight <= 0:
            yield faults.Fault(f"{place}.weight", f"{part['service']} gets no request")
        if part["service"] in seen:
            yield faults.Fault(f"{place}.service", f"{part['service']} is listed twice")
        seen.add(part["service"])


def _service_advice(fields: dict[str, Any]) -> Iterator[faults.Fault]:
    used: set[str] = set()
    for route in fields["routes"]:
        split = route.get("traffic_split")
        used.update(part["service"] for part in split) if split else used.add(route["service"])
    index_by_name = {service["name"]: index for index, service in enumerate(fields["services"])}
    for index, service in enumerate(fields["services"]):
        path = f"services.{index}"
        name = service["name"]
        if index_by_name[name] != index:
            reason = f"has no effect: services.{index_by_name[name]} has the same name"
            yield faults.Fault(path, reason)
        elif name not in used:
            yield faults.Fault(path, f"no route names {name}")
        cold_seconds = numbers.quantity(service.get("cold_start_s", 0))
        cold_rate = numbers.quantity(service.get("cold_per_s", 0))
        if cold_rate > 0 >= cold_seconds:
            yield faults.Fault(f"{path}.cold_per_s", "has no effect, as cold_start_s is 0")
        if cold_seconds > 0 >= cold_rate:
            yield faults.Fault(f"{path}.cold_per_s", "is 0, though cold_start_s isn't")
        yield from _rounded_counts(service, _SERVICE_COUNTS, path)
        yield from _rounded_counts(
            service.get("engine") or {}, _ENGINE_COUNTS, faults.join(path, "engine")
        )
        connections = numbers.count(service.get("max_connections", 100))
        slots = numbers.count((service.get("engine") or {}).get("slots", 1))
        if connections < slots:
            reason = f"{connections} connections can't fill the engine's {slots} slots"
            yield faults.Fault(f"{path}.max_connections", reason)


def _tenant_advice(fields: dict[str, Any]) -> Iterator[faults.Fault]:
    if "tenants" not in fields:
        return
    tenants = fields["tenants"] or []
    last_by_key = {
        key: index for index, tenant in enumerate(tenants) for key in tenant.get("api_keys") or ()
    }
    if not last_by_key and any(not route.get("public") for route in fields["routes"]):
        yield faults.Fault("tenants", "nobody has a key, so only public routes can be used")
    index_by_name: dict[str, int] = {}
    for index, tenant in enumerate(tenants):
        path = f"tenants.{index}"
        yield from _rounded_counts(tenant, _TENANT_COUNTS, path)
        first = index_by_name.setdefault(tenant["name"].strip(), index)
        if first != index:
            yield faults.Fault(f"{path}.name", f"tenants.{first} has the same name")
        keys = list(tenant.get("api_keys") or ())
        if not keys:
            yield faults.Fault(f"{path}.api_keys", "has no key, so no request is of this tenant")
        for number, key in enumerate(keys):
            place = f"{path}.api_keys.{number}"
            if last_by_key[key] != index:
                reason = f"has no effect: tenants.{last_by_key[key]} holds the same key"
                yield faults.Fault(place, reason)
            elif keys.index(key) != number:
                yield faults.Fault(place, "is listed twice")


def _limit_advice(limits: dict[str, Any]) -> Iterator[faults.Fault]:
    reasons = {
        "max_header_bytes": "every request is refused",
        "max_body_bytes": "every request with a body is refused",
        "header_timeout_ms": "every request is refused",
        "idle_timeout_ms": "no connection is kept open between requests",
    }
    yield from _rounded_counts(limits, _LIMIT_COUNTS, "limits")
    for key, reason in reasons.items():
        if key in limits and numbers.quantity(limits[key]) <= 0:
            yield faults.Fault(
                f"limits.{key}", f"{reason}, as it is {numbers.quantity(limits[key]):g}"
            )
    header, idle = (numbers.quantity(limits.get(k, d)) for k, d in _DEFAULT_TIMEOUTS_MS.items())
    if 0 < idle < header:
        reason = f"an idle connection ends after {idle:g} ms, sooner than one that sends a head"
        yield faults.Fault("limits.idle_timeout_ms", f"{reason}, {header:g} ms")
