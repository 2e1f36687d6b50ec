"""A node whose configuration may be outdated doesn't deny what is allowed by now."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from tests.gateway import deployment

pytestmark = pytest.mark.asyncio

SERVED_TIMEOUT_SECONDS = 10.0
"""Timeout until a node serves what a new version allows."""


def is_denial(status: int) -> bool:
    """Whether a status blames the request."""
    return 300 <= status < 500 and status not in (408, 421, 429)


@pytest.mark.parametrize("change", ["key", "route"])
async def test_a_node_that_lost_the_store_does_not_deny_what_is_allowed_by_now(change: str) -> None:
    async with deployment.deployed() as system:
        system.faults[0].is_unresponsive = True
        changed = deployment.configuration(2)
        if change == "key":
            changed["tenants"] = [{"name": "org", "api_keys": ["k1", "k3"]}]
            path, key = "/look/x", "k3"
        else:
            routes = changed["routes"]
            assert isinstance(routes, list)
            routes.append({**routes[3], "name": "new", "path_prefix": "/new/"})
            path, key = "/new/x", "k1"
        system.store.put("keyed.op", "config", changed)
        await asyncio.sleep(system.settings[0].bounds.config_apply_seconds)
        response = await system.call(path, key=key, method=b"GET")
        known = await system.call("/look/x", method=b"GET", attempt="known")
        system.faults[0].clear()
        async with asyncio.timeout(SERVED_TIMEOUT_SECONDS):
            for number in itertools.count():
                again = await system.call(path, key=key, method=b"GET", attempt=f"again{number}")
                assert not is_denial(again.status)
                if again.status == 200:
                    break
                await asyncio.sleep(0.1)
        unknown = await system.call("/look/x", key="k9", method=b"GET", attempt="unknown")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0.0
    assert known.status == 200
    assert unknown.status == 401


async def test_an_unreadable_configuration_does_not_leave_denials_to_the_one_before() -> None:
    async with deployment.deployed() as system:
        unreadable = deployment.configuration(2, routes="none")
        system.store.put("keyed.op", "config", unreadable)
        await asyncio.sleep(system.settings[0].bounds.config_apply_seconds)
        unknown = await system.call("/look/x", key="k9", method=b"GET")
        known = await system.call("/look/x", method=b"GET", attempt="known")
        during, _ = system.nodes[0]._metrics.render()  # noqa: SLF001
        system.store.put("keyed.op", "config", deployment.configuration(3))
        await asyncio.sleep(system.settings[0].bounds.config_apply_seconds)
        again = await system.call("/look/x", key="k9", method=b"GET", attempt="again")
        after, _ = system.nodes[0]._metrics.render()  # noqa: SLF001
    assert (unknown.status, known.status, again.status) == (503, 200, 401)
    # Operators see that the node does not apply the newest version.
    assert b"dragonflycove_configuration_unreadable 1\n" in during
    assert b"dragonflycove_configuration_unreadable 0\n" in after


@pytest.mark.parametrize("limit", ["max_body_bytes", "max_header_bytes"])
async def test_a_node_that_lost_the_store_denies_no_request_by_limits_that_were_raised(
    limit: str,
) -> None:
    async with deployment.deployed() as system:
        system.faults[0].is_unresponsive = True
        system.store.put(
            "keyed.op", "config", deployment.configuration(2, limits={limit: 1_000_000})
        )
        await asyncio.sleep(system.settings[0].bounds.config_apply_seconds)
        is_body = limit == "max_body_bytes"
        response = await system.call(
            "/post/x",
            body=b"x" * 200_000 if is_body else b"",
            headers={} if is_body else {"X-Long": "x" * 60_000},
        )
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0.0
