"""Decodes the settings file that the platform installs on each host."""

from __future__ import annotations

import types
from typing import TYPE_CHECKING, Any

import result
import yaml

from dragonflycove.fleet import catalog, host_settings, load_parts, roster
from dragonflycove.platform import numbers

if TYPE_CHECKING:
    from collections.abc import Mapping

PATH_VARIABLE = "DRAGONFLYCOVE_CONFIG"
"""Environment variable with the path of the settings file."""

DEFAULT_PATH = "/etc/dragonflycove/boot.yaml"
"""Path of the settings file if the variable is not set."""

_NO_CHOICES: Mapping[str, bool] = types.MappingProxyType({})
"""No part is switched on or off by the operators."""

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""The C parser where it is available; it is ten times as fast as the Python one."""


def read_file(
    path: str, choices: Mapping[str, bool] = _NO_CHOICES
) -> result.Result[host_settings.HostSettings, str]:
    """Read and decode a settings file.

    Args:
        path: Path of the file.
        choices: Parts of the handling of heavy load that are switched on or off, by name.

    Returns:
        The settings, or why the file can't be read or is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return decode(file.read(), choices)
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f"{path}: {error}")


def decode(
    text: str, choices: Mapping[str, bool] = _NO_CHOICES
) -> result.Result[host_settings.HostSettings, str]:
    """Decode a settings file; unknown fields are ignored.

    Args:
        text: The YAML text.
        choices: Parts of the handling of heavy load that are switched on or off, by name.

    Returns:
        The settings, or why they are invalid.
    """
    try:
        fields = yaml.load(text, Loader=_LOADER)
        return result.Ok(_settings(fields, choices))
    except yaml.YAMLError as error:
        return result.Err(f"invalid YAML: {error}")
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError) as error:
        return result.Err(f"missing or invalid field: {error!r}")


def _settings(fields: dict[str, Any], choices: Mapping[str, bool]) -> host_settings.HostSettings:
    listen = fields.get("listen_addresses") or {}
    limits = fields.get("limits") or {}
    peer_address = catalog.Address(str(fields["ip"]), int(fields["internal_port_range"][0]))
    return host_settings.HostSettings(
        host=str(fields["node_name"]),
        ip=str(fields["ip"]),
        zone=str(fields["zone"]),
        region=str(fields["region"]),
        region_by_zone=dict(fields.get("zones") or {}),
        caller_address=_optional_address(listen.get("frontend")),
        readiness_address=_optional_address(listen.get("ready")),
        directory_address=_optional_address(listen.get("directory_service")),
        peer_address=peer_address,
        relay_address=roster.relay_address(peer_address),
        # All nodes use the same port for peers, so only the IP addresses of the seeds are kept.
        seed_ips=tuple(str(seed).rpartition(":")[0] for seed in fields.get("seed_nodes") or ()),
        cores=numbers.quantity(limits.get("cpu_share", 0.5))
        * numbers.quantity(limits.get("cpu_cores", 1)),
        memory_bytes=numbers.count(1_000_000 * numbers.quantity(limits.get("memory_mb", 256))),
        max_descriptors=numbers.count(limits.get("max_fds", 4_096)),
        heartbeat_seconds=numbers.quantity(fields.get("heartbeat_ms", 1000)) / 1000,
        store=_store(fields["platform"]),
        bounds=_bounds(fields.get("bounds") or {}),
        link_bytes_per_second=numbers.quantity(limits.get("link_mbps", 0)) * 1_000_000 / 8,
        load_parts=load_parts.LoadParts.from_config(fields.get("contracts") or (), choices),
    )


def _optional_address(text: str | None) -> catalog.Address | None:
    return catalog.parse_address(text) if text else None


def _store(fields: dict[str, Any]) -> host_settings.StoreLimits:
    return host_settings.StoreLimits(
        address=catalog.parse_address(fields["address"]),
        writes_per_second=numbers.quantity(fields.get("writes_per_s", 100)),
        reads_per_second=numbers.quantity(fields.get("reads_per_s", 500)),
    )


def _bounds(fields: dict[str, Any]) -> host_settings.Bounds:
    def seconds(name: str, default_ms: float) -> float:
        return numbers.quantity(fields.get(name, default_ms)) / 1000

    return host_settings.Bounds(
        drain_seconds=seconds("drain_ms", 2000),
        grace_seconds=numbers.quantity(fields.get("grace_s", 8)),
        contact_seconds=seconds("contact_ms", 3000),
        retry_ratio=numbers.quantity(fields.get("retry_budget_ratio", 0.1)),
        retry_window_seconds=numbers.quantity(fields.get("retry_window_s", 10)),
        retry_allowance=numbers.quantity(fields.get("retry_allowance", 10)),
        cold_overage=numbers.quantity(fields.get("cold_overage", 1.0)),
        cold_tolerance=numbers.quantity(fields.get("cold_tolerance", 0)),
        directory_ttl_seconds=numbers.quantity(fields.get("ttl_max_s", 2)),
        max_reservation_seconds=seconds("hold_max_ms", 10000),
        stall_seconds=seconds("stall_ms", 1500),
        config_apply_seconds=seconds("config_apply_ms", 2000),
        rollback_slack_seconds=seconds("rollback_slack_ms", 250),
    )
