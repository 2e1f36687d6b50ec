"""Numbers without a documented limit in headers of callers and servers, over real nodes."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway import deployment

pytestmark = pytest.mark.asyncio

AT_ONCE_SECONDS = 0.5
"""Time within which a request that can't be served has its answer; its deadline is 3 s away."""

PAUSE_SECONDS = 0.3
"""Time between two requests; a server that is only full is tried again within a few of them."""


@pytest.mark.parametrize("tokens", ["500000", "1000000000000", "1" + "0" * 40, "9" * 4_400])
async def test_a_prompt_that_no_server_has_memory_for_is_refused_at_once(tokens: str) -> None:
    """One of 10^12 tokens and more counted as a request without a prompt, and was sent."""
    async with deployment.deployed() as system:
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        response = await system.call("/ask/x", headers={"X-Token-Counts": f"{tokens},10"})
        assert loop.time() - begun_at < AT_ONCE_SECONDS
        assert response.status == 503
        assert not system.runs()
        assert (await system.call("/ask/x", attempt="small")).status == 200


@pytest.mark.parametrize("deadline", ["1" + "0" * 15, "9" * 400, "1e400"])
async def test_a_deadline_of_any_size_is_cut_to_the_routes_timeout(deadline: str) -> None:
    """A server got 10 s of a caller that waits for longer than a float can tell."""
    async with deployment.deployed() as system:
        value = deployment.configuration(2)
        value["routes"][3]["timeout_ms"] = 60_000  # type: ignore[index]
        system.store.put("keyed.op", "config", value)
        await asyncio.sleep(system.settings[0].bounds.config_apply_seconds)
        assert (await system.call("/look/x", headers={"X-Deadline-Ms": deadline})).status == 200
        (run,) = system.runs()
        assert 59_000 < int(run.headers["x-deadline-ms"]) <= 60_000


@pytest.mark.parametrize("stated", ["60.0000000000000000001", "60." + "3" * 400, "1" + "0" * 30])
async def test_a_rest_with_any_number_of_digits_is_kept(stated: str) -> None:
    """A time with more than twelve decimals was unreadable, and the server got the next request."""
    async with deployment.deployed() as system:
        resting = system.server_by_id["p1"]
        resting.stated_rest = stated
        resting.turns_away = True
        for number in range(8):
            response = await system.call("/look/x", attempt=f"r{number}")
            assert response.status == 200
            await asyncio.sleep(PAUSE_SECONDS)
        assert resting.arrivals == 1
