"""Numbers without a documented limit in operators' and servers' records, over real nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from tests.gateway import deployment

if TYPE_CHECKING:
    from dragonflycove.gateway import daemon

pytestmark = pytest.mark.asyncio

VERSIONS = [
    1_796_669_209_489_878,
    2**53 + 1,
    1_796_669_209_489_878_123,
    2**63,
    2**64 + 1,
    10**40,
    10**999,
]
"""Versions beyond usual bounds; a Unix time in microseconds and one in nanoseconds among them."""


POLL_SECONDS = 0.02
"""Time between two checks whether a version is in force."""


async def _put(system: deployment.Deployment, value: dict[str, Any]) -> None:
    """Write a configuration and wait until it is in force, at most as long as that may take."""
    bounds = system.settings[0].bounds
    due_at = asyncio.get_running_loop().time() + bounds.config_apply_seconds
    system.store.put("keyed.op", "config", value)
    while any(_version(node) != value["version"] for node in system.nodes):
        if asyncio.get_running_loop().time() >= due_at:
            return
        await asyncio.sleep(POLL_SECONDS)
    # Requests that may have been on their way are served by the version before.
    await asyncio.sleep(bounds.rollback_slack_seconds)


def _version(node: daemon.Daemon) -> int | None:
    configuration = node._store_view.configuration  # noqa: SLF001
    return None if configuration is None else configuration.version


def _without_key(version: int, **changes: object) -> dict[str, Any]:
    tenants = [{"name": "org", "api_keys": ["k1"]}]
    return deployment.configuration(version, tenants=tenants, **changes)


@pytest.mark.parametrize("version", VERSIONS)
async def test_a_version_of_any_size_takes_a_key_away(version: int) -> None:
    """Nodes could not read a version above 10^15, and went on to serve a key that was revoked."""
    async with deployment.deployed(nodes=2) as system:
        await _put(system, _without_key(version))
        for node in (0, 1):
            taken = await system.call("/look/x", node=node, key="k2", attempt=f"t{node}")
            kept = await system.call("/look/x", node=node, attempt=f"k{node}")
            assert (taken.status, kept.status) == (401, 200)
            assert not system.runs(f"t{node}")
            rendered, _ = system.nodes[node]._metrics.render()  # noqa: SLF001
            assert f"dragonflycove_configuration_version {version}".encode() in rendered


@pytest.mark.parametrize("version", VERSIONS)
async def test_versions_that_differ_in_their_last_digit_are_told_apart(version: int) -> None:
    """Rounded to a float, the second version equalled the first one and did not come in force."""
    async with deployment.deployed() as system:
        await _put(system, deployment.configuration(version - 1))
        await _put(system, _without_key(version))
        assert (await system.call("/look/x", key="k2")).status == 401


@pytest.mark.parametrize("version", VERSIONS)
async def test_a_node_relays_requests_under_a_version_of_any_size(version: int) -> None:
    """The version that a relayed request was accepted under is told to the other node."""
    async with deployment.deployed(nodes=2) as system:
        await _put(system, _without_key(version))
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        assert (await system.call("/look/x")).status == 200
        assert (await system.call("/look/x", key="k2", attempt="taken")).status == 401


@pytest.mark.parametrize("version", [VERSIONS[0], VERSIONS[-1]])
async def test_a_node_that_starts_under_a_version_of_any_size_serves_by_it(version: int) -> None:
    """It had no configuration and answered 503 to everybody."""
    async with deployment.deployed(nodes=0) as system:
        system.store.put("keyed.op", "config", _without_key(version))
        await system.add_node()
        assert (await system.call("/look/x")).status == 200
        assert (await system.call("/look/x", key="k2", attempt="taken")).status == 401


ROUTE_CHANGES: list[dict[str, object]] = [
    {field: value}
    for field in ("timeout_ms", "latency_goal_ms", "gap_target_ms", "max_attempts", "priority")
    for value in (2**63 - 1, 10**400)
]
LIMIT_CHANGES: list[dict[str, object]] = [
    {field: value}
    for field in ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms")
    for value in (2**63 - 1, 10**400)
]
SERVICE_CHANGES: list[dict[str, object]] = [
    {field: value}
    for field in ("max_connections", "cold_per_s", "cold_start_s")
    for value in (2**63 - 1, 10**400)
]


def _changed(section: str, change: dict[str, object]) -> dict[str, Any]:
    value = _without_key(2)
    if section == "limits":
        return {**value, "limits": change}
    return {**value, section: [{**entry, **change} for entry in value[section]]}


@pytest.mark.parametrize(
    ("section", "change"),
    [
        *(("routes", change) for change in ROUTE_CHANGES),
        *(("services", change) for change in SERVICE_CHANGES),
        *(("limits", change) for change in LIMIT_CHANGES),
    ],
)
async def test_a_quantity_without_limit_keeps_no_version_out(
    section: str, change: dict[str, object]
) -> None:
    """One timeout of 2^63 - 1 ms kept a whole version, and the revocation in it, out of force."""
    async with deployment.deployed() as system:
        await _put(system, _changed(section, change))
        assert (await system.call("/look/x", key="k2", attempt="taken")).status == 401
        assert (await system.call("/look/x")).status == 200
        stream = await system.call("/ask/x", attempt="stream")
        assert (stream.status, stream.is_complete) == (200, True)


@pytest.mark.parametrize("name", ["slots", "kv_capacity", "read_per_s"])
async def test_an_engine_with_a_quantity_without_limit_serves(name: str) -> None:
    """The same in what a configuration states of engines."""
    async with deployment.deployed() as system:
        value = _without_key(2)
        value["services"][0]["engine"][name] = 10**400
        await _put(system, value)
        stream = await system.call("/ask/x", attempt="stream")
        assert (stream.status, stream.is_complete) == (200, True)
        assert (await system.call("/look/x", key="k2", attempt="taken")).status == 401


async def test_requests_are_split_by_weights_below_one() -> None:
    """Weights were rounded down, and all requests went to the service that is named first."""
    async with deployment.deployed() as system:
        await system.add_server("q1", "second")
        value = deployment.configuration(2)
        value["services"].append({"name": "second"})  # type: ignore[attr-defined]
        split = [{"service": "plain", "weight": 0.25}, {"service": "second", "weight": 0.75}]
        value["routes"][3]["traffic_split"] = split  # type: ignore[index]
        await _put(system, value)
        for number in range(40):
            assert (await system.call("/look/x", attempt=f"w{number}")).status == 200
        second = len(system.server_by_id["q1"].runs)
        assert 15 <= second <= 39


@pytest.mark.parametrize("born", [2**53 + 1, 1_796_669_209_489_878_123, 2**64 + 1, 10**40])
async def test_a_start_of_any_size_is_told_apart_from_the_next(born: int) -> None:
    """A server whose start lies above 10^15 was not used, and starts were rounded to each other."""
    async with deployment.deployed() as system:
        for server_id in ("p1", "p2"):
            system.register(server_id, "plain", born=born)
        await asyncio.sleep(1.0)
        assert (await system.call("/look/x")).status == 200
        instances = {
            server.instance.started_at_ms
            for server in system.nodes[0]._store_view.usable_servers(  # noqa: SLF001
                "plain", asyncio.get_running_loop().time()
            )
        }
        assert instances == {born}
        system.register("p1", "plain", born=born + 1)
        await asyncio.sleep(1.0)
        assert (await system.call("/look/x", attempt="a2")).status == 200
