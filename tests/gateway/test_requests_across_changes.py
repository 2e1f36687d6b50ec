"""A request that is on its way when the configuration changes is not denied by the new version."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.asyncio

TIMEOUT_SECONDS = 10.0
"""Timeout of each wait."""

BODY = b"x" * 20_000
"""Body of the request, of which a part is sent before the change."""


def _without_key(value: dict[str, object]) -> None:
    value["tenants"] = [{"name": "org", "api_keys": ["k3"]}]


def _without_organisation(value: dict[str, object]) -> None:
    value["tenants"] = [{"name": "other", "api_keys": ["k2"]}]


def _without_route(value: dict[str, object]) -> None:
    routes = value["routes"]
    assert isinstance(routes, list)
    value["routes"] = [one for one in routes if one["path_prefix"] != "/post/"]


async def _apply(system: deployment.Deployment, value: dict[str, object]) -> None:
    """Write a configuration and wait until the node has it in force."""
    system.store.put("keyed.op", "config", value)
    view = system.nodes[0]._store_view  # noqa: SLF001
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while (  # noqa: ASYNC110
            view.configuration is None or view.configuration.version != value["version"]
        ):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("versions", [1, 3])
@pytest.mark.parametrize(
    ("change", "status"), [(_without_key, 401), (_without_organisation, 401), (_without_route, 404)]
)
async def test_a_request_that_arrives_across_a_change_is_not_denied_by_it(
    change: Callable[[dict[str, object]], None], status: int, versions: int
) -> None:
    async with deployment.deployed() as system:
        address = system.settings[0].caller_address
        assert address is not None
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        head = (
            b"POST /post/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Api-Key: k1\r\n"
            b"X-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n" % len(BODY)
        )
        writer.write(head + BODY[:5_000])
        await asyncio.sleep(0.1)
        for version in range(2, 2 + versions):
            value = deployment.configuration(version)
            change(value)
            await _apply(system, value)
        writer.write(BODY[5_000:])
        async with asyncio.timeout(TIMEOUT_SECONDS):
            line = await reader.readline()
        writer.close()
        bounds = system.settings[0].bounds
        await asyncio.sleep(bounds.rollback_slack_seconds)
        later = await system.call("/post/x", attempt="later")
    assert line.startswith(b"HTTP/1.1 200 ")
    assert later.status == status
