"""Checks of references and consistency between the entries of a configuration text."""

from __future__ import annotations

import graphlib
import ipaddress
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.configuration import faults, schema

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


class KnownNames(NamedTuple):
    """Names that the entries of a configuration text may refer to."""

    services: frozenset[str]
    """Names of all services, including those whose own entries have faults."""

    zones: tuple[str, ...] | None
    """Names of the availability zones; `None` if malformed, and then not checked."""


def check_services(
    services_by_name: Mapping[str, schema.Service], names: KnownNames
) -> Iterator[faults.Fault]:
    """Yield unknown dependencies, cycles, and fields that don't fit the kind of a service.

    Args:
        services_by_name: Services by name.
        names: Names that may be referred to.
    """
    for name, service in services_by_name.items():
        path = f"services.{name}"
        for dependency in service.depends_on:
            if dependency not in names.services:
                yield faults.Fault(f"{path}.depends_on", f"unknown service {dependency!r}")
        if service.kind is schema.ServiceKind.MODEL and not service.models:
            yield faults.Fault(f"{path}.models", "a model service lists at least one model")
        if service.kind is schema.ServiceKind.MODEL and service.calls:
            yield faults.Fault(f"{path}.calls", "only a plain service has calls")
        if service.kind is schema.ServiceKind.PLAIN and service.models:
            yield faults.Fault(f"{path}.models", "a plain service has no models")
    yield from _find_cycles(services_by_name)


def check_servers(
    servers_by_id: Mapping[str, schema.Server],
    services_by_name: Mapping[str, schema.Service],
    names: KnownNames,
) -> Iterator[faults.Fault]:
    """Yield the faults of all backend servers, including duplicate addresses.

    Args:
        servers_by_id: Backend servers by id.
        services_by_name: Services by name.
        names: Names that may be referred to.
    """
    owners_by_address: dict[str, str] = {}
    for server_id, server in servers_by_id.items():
        path = f"servers.{server_id}"
        yield from check_server(path, server, services_by_name, names)
        owner = owners_by_address.setdefault(server.address, server_id)
        if owner != server_id:
            yield faults.Fault(f"{path}.address", f"duplicate address, also of server {owner!r}")


def check_server(
    path: str,
    server: schema.Server,
    services_by_name: Mapping[str, schema.Service],
    names: KnownNames,
) -> Iterator[faults.Fault]:
    """Yield the faults of one backend server, without looking for duplicate addresses.

    Args:
        path: Path of the entry in the text, such as `servers.engine-1`.
        server: The backend server.
        services_by_name: Services by name.
        names: Names that may be referred to.
    """
    if server.service not in names.services:
        yield faults.Fault(f"{path}.service", f"unknown service {server.service!r}")
    if names.zones is not None and server.zone not in names.zones:
        yield faults.Fault(f"{path}.zone", f"unknown zone {server.zone!r}")
    if not is_address(server.address):
        reason = f"{server.address!r} is not an IP address and port, `a.b.c.d:port`"
        yield faults.Fault(f"{path}.address", reason)
    if server.cold_concurrency > server.concurrency:
        reason = f"{server.cold_concurrency} is above concurrency, {server.concurrency}"
        yield faults.Fault(f"{path}.cold_concurrency", reason)
    service = services_by_name.get(server.service)
    if service is not None:
        yield from _check_against_service(path, server, service)


def is_address(address: str) -> bool:
    """Return whether a string is an IPv4 address and port, `a.b.c.d:port`.

    Args:
        address: The string to check.

    Returns:
        True if the address is valid and the port is between 1 and 65,535.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 65_536


def _check_against_service(
    path: str, server: schema.Server, service: schema.Service
) -> Iterator[faults.Fault]:
    if service.kind is schema.ServiceKind.MODEL:
        if not server.memory_tokens:
            yield faults.Fault(f"{path}.memory_tokens", "missing for a model engine")
        if not server.prefill_tokens_per_second:
            yield faults.Fault(f"{path}.prefill_tokens_per_second", "missing for a model engine")
    for model in server.models:
        if model not in service.models:
            reason = f"model {model!r} is not of service {service.name!r}"
            yield faults.Fault(f"{path}.models", reason)


def _find_cycles(services_by_name: Mapping[str, schema.Service]) -> Iterator[faults.Fault]:
    dependencies_by_name = {
        name: set(service.depends_on) for name, service in services_by_name.items()
    }
    while True:
        try:
            graphlib.TopologicalSorter(dependencies_by_name).prepare()
        except graphlib.CycleError as error:
            cycle = list(reversed(error.args[1]))
            yield faults.Fault(
                f"services.{cycle[0]}.depends_on", f"dependency cycle {' -> '.join(cycle)}"
            )
            # Removes one edge of this cycle, so that the next iteration can find another cycle.
            dependencies_by_name[cycle[0]].discard(cycle[1])
        else:
            return
