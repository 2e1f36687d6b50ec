"""Contract tests of the platform and plain services: clients and stand-ins on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
import result

from dragonflycove.backends import plain_client
from dragonflycove.infrastructure import host_list_client, log_client, weight_store_client
from dragonflycove.standins import builders, clock, serving
from dragonflycove.transport import exchange, sessions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

TIMEOUT_SECONDS = 5.0
"""Timeout of each call that gets a response; no test reaches it."""

NO_RESPONSE_TIMEOUT_SECONDS = 0.5
"""Timeout of a call that gets no response."""


class StandinFixture:
    """A running stand-in and a client session for it."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        """Create the fixture of a stand-in that listens on an address."""
        self.address = address
        self.session = session

    async def set_faults(self, **switches: Any) -> None:
        """Replace the fault switches."""
        url = f"http://{self.address}/_standin/faults"
        async with self.session.put(url, json=switches) as response:
            assert response.status == 200

    async def activity(self) -> dict[str, Any]:
        """Return the stand-in's recorded activity."""
        async with self.session.get(f"http://{self.address}/_standin/books") as response:
            activity: dict[str, Any] = msgspec.json.decode(await response.read())
            return activity


@contextlib.asynccontextmanager
async def serve_standin(kind: str, **parameters: Any) -> AsyncIterator[StandinFixture]:
    """Serve a stand-in while the context is open."""
    standin = builders.BUILDERS_BY_KIND[kind](parameters, clock.unix_clock())
    async with serving.serve(standin) as address, sessions.open_pooled() as session:
        yield StandinFixture(address, session)


@pytest.mark.asyncio
async def test_log_returns_appended_records_in_order() -> None:
    async with serve_standin("log") as log:
        client = log_client.LogClient(log.session, log.address)
        first = await client.append("s", [{"n": 0}, {"n": 1}], TIMEOUT_SECONDS)
        second = await client.append("s", [{"n": 2}], TIMEOUT_SECONDS)
        assert first == result.Ok(log_client.Appended(0, 2))
        assert second == result.Ok(log_client.Appended(2, 1))
        page = (await client.read("s", 1, 10, 0, TIMEOUT_SECONDS)).unwrap()
        assert [(record.offset, record.value) for record in page.records] == [
            (1, {"n": 1}),
            (2, {"n": 2}),
        ]
        assert (page.first_retained, page.next_offset) == (0, 3)
        empty = (await client.read("s", 3, 10, 0.01, TIMEOUT_SECONDS)).unwrap()
        assert empty == log_client.ReadPage(0, 3, ())


@pytest.mark.asyncio
async def test_log_rejects_appends_above_its_rate_with_a_retry_after() -> None:
    async with serve_standin("log", appends_per_second=0.001, burst_appends=1) as log:
        client = log_client.LogClient(log.session, log.address)
        assert (await client.append("s", [{}], TIMEOUT_SECONDS)).is_ok()
        error = (await client.append("s", [{}], TIMEOUT_SECONDS)).err()
        assert isinstance(error, exchange.NotExecuted)
        assert error.status == 429
        assert error.retry_after_seconds is not None
        assert (await log.activity())["streams"]["s"]["next"] == 1


LOG_FAULTS = [
    ({"outage": True}, exchange.NotExecuted, 0),
    ({"refuse": 1}, exchange.NotExecuted, 0),
    ({"cut_before": 1}, exchange.OutcomeUnknown, 0),
    ({"cut_after": 1}, exchange.OutcomeUnknown, 1),
    ({"silent_before": 1}, exchange.OutcomeUnknown, 0),
    ({"silent_after": 1}, exchange.OutcomeUnknown, 1),
    ({"delay_seconds": 1.0}, exchange.OutcomeUnknown, None),
]
"""Switches, kind of the error, and the number of effective appends (None: 0 or 1)."""


@pytest.mark.asyncio
@pytest.mark.parametrize(("switches", "kind", "appends"), LOG_FAULTS)
async def test_each_log_fault_has_its_error_and_effect(
    switches: dict[str, Any], kind: type, appends: int | None
) -> None:
    async with serve_standin("log") as log:
        client = log_client.LogClient(log.session, log.address)
        await log.set_faults(match="POST /v1/streams", **switches)
        timeout = NO_RESPONSE_TIMEOUT_SECONDS if "cut" not in str(switches) else TIMEOUT_SECONDS
        error = (await client.append("s", [{}], timeout)).err()
        assert isinstance(error, kind)
        page = (await client.read("s", 0, 10, 0, TIMEOUT_SECONDS)).unwrap()
        assert appends is None or page.next_offset == appends


@pytest.mark.asyncio
async def test_host_list_returns_changes_after_its_lag() -> None:
    host = {
        "name": "entry-1",
        "zone": "cayambe",
        "address": "1.2.3.4:1",
        "peer_address": "1.2.3.4:2",
    }
    async with serve_standin("hosts", lag_seconds=3600, hosts=[host]) as hosts:
        client = host_list_client.HostListClient(hosts.session, hosts.address)
        url = f"http://{hosts.address}/v1/hosts/entry-1"
        async with hosts.session.put(url, json=host | {"state": "leaving"}) as response:
            assert response.status == 200
        live = host_list_client.ListedHost("entry-1", "cayambe", "1.2.3.4:1", "1.2.3.4:2", False)
        old = (await client.fetch(TIMEOUT_SECONDS)).unwrap()
        assert old.hosts_by_name == {"entry-1": live}
        await hosts.set_faults(lag_seconds=0)
        new = (await client.fetch(TIMEOUT_SECONDS)).unwrap()
        assert new.hosts_by_name == {"entry-1": live._replace(leaving=True)}
        assert new.read_at - old.read_at >= 3600
        async with hosts.session.delete(url) as response:
            assert response.status == 200
        assert (await client.fetch(TIMEOUT_SECONDS)).unwrap().hosts_by_name == {}


@pytest.mark.asyncio
async def test_weight_store_rejects_reads_above_its_rate_with_a_retry_after() -> None:
    async with serve_standin("weights", reads_per_second=0.001, burst_reads=1) as weights:
        client = weight_store_client.WeightStoreClient(weights.session, weights.address)
        read = await client.fetch("herder@3", TIMEOUT_SECONDS)
        assert read == result.Ok(weight_store_client.Weights("herder@3", 1))
        error = (await client.fetch("herder@3", TIMEOUT_SECONDS)).err()
        assert isinstance(error, exchange.NotExecuted)
        assert error.retry_after_seconds is not None
        assert await weights.activity() == {"reads_by_name": {"herder@3": 1}, "rate_limited": 1}


async def post(plain: StandinFixture, fresh: bool, timeout_seconds: float) -> Any:
    """Send a POST with the idempotency key `k1`."""
    client = plain_client.PlainClient(plain.session)
    try:
        return await client.call(
            plain.address,
            "POST",
            "/postings?x=%2F",
            (("Idempotency-Key", "k1"),),
            b"{}",
            timeout_seconds,
            fresh_connection=fresh,
        )
    finally:
        await client.close()


@pytest.mark.asyncio
@pytest.mark.parametrize("fresh", [True, False])
async def test_plain_service_executes_a_call_and_counts_it(fresh: bool) -> None:
    async with serve_standin("plain", load_lag_seconds=0) as plain:
        response = (await post(plain, fresh, TIMEOUT_SECONDS)).unwrap()
        assert response.status == 200
        assert msgspec.json.decode(response.body) == {
            "method": "POST",
            "path": "/postings?x=%2F",
            "key": "k1",
            "body_bytes": 2,
            "execution": 1,
        }
        client = plain_client.PlainClient(plain.session)
        load = await client.load(plain.address, TIMEOUT_SECONDS)
        await client.close()
        assert load.unwrap().running == 0


PLAIN_FAULTS = [
    ({"cut_before": 1}, plain_client.MayHaveRun, 0),
    ({"cut_after": 1}, plain_client.MayHaveRun, 1),
    ({"silent_before": 1}, plain_client.MayHaveRun, 0),
    ({"silent_after": 1}, plain_client.MayHaveRun, 1),
    ({"refuse": 1}, plain_client.PlainResponse, 0),
]
"""Switches, the client's outcome, and the number of executions."""


@pytest.mark.asyncio
@pytest.mark.parametrize("fresh", [True, False])
@pytest.mark.parametrize(("switches", "kind", "runs"), PLAIN_FAULTS)
async def test_each_plain_service_fault_has_its_outcome_and_executions(
    switches: dict[str, Any], kind: type, runs: int, fresh: bool
) -> None:
    async with serve_standin("plain") as plain:
        await plain.set_faults(match="POST", **switches)
        silent = "silent" in str(switches)
        response = await post(
            plain, fresh, NO_RESPONSE_TIMEOUT_SECONDS if silent else TIMEOUT_SECONDS
        )
        outcome = response.ok() or response.err()
        assert isinstance(outcome, kind)
        assert getattr(outcome, "timed_out", silent) == silent
        assert getattr(outcome, "status", 503) == 503
        activity = await plain.activity()
        assert activity["executions_by_key"].get("k1", 0) == runs


@pytest.mark.asyncio
async def test_silenced_connections_time_out_while_new_ones_work() -> None:
    async with serve_standin("plain") as plain, sessions.open_pooled() as pooled:
        request = exchange.Request("GET", f"http://{plain.address}/stock")
        assert (await exchange.exchange(pooled, request, TIMEOUT_SECONDS)).is_ok()
        await plain.set_faults(silence_open_connections=True)
        error = (await exchange.exchange(pooled, request, NO_RESPONSE_TIMEOUT_SECONDS)).err()
        assert isinstance(error, exchange.OutcomeUnknown)
        assert error.cause is exchange.Cause.TIMEOUT
        async with sessions.open_unpooled() as fresh:
            assert (await exchange.exchange(fresh, request, TIMEOUT_SECONDS)).is_ok()


@pytest.mark.asyncio
async def test_one_timeout_retires_all_silent_connections_of_the_pool() -> None:
    async with (
        serve_standin("plain", service_seconds=0.05) as plain,
        sessions.open_pooled(idle_seconds=NO_RESPONSE_TIMEOUT_SECONDS) as pooled,
    ):
        request = exchange.Request("GET", f"http://{plain.address}/stock")
        calls = [exchange.exchange(pooled, request, TIMEOUT_SECONDS) for _ in range(3)]
        assert all(response.is_ok() for response in await asyncio.gather(*calls))
        await plain.set_faults(silence_open_connections=True)
        error = (await exchange.exchange(pooled, request, NO_RESPONSE_TIMEOUT_SECONDS)).err()
        assert isinstance(error, exchange.OutcomeUnknown)
        assert (await exchange.exchange(pooled, request, TIMEOUT_SECONDS)).is_ok()


@pytest.mark.asyncio
async def test_a_second_stand_in_on_a_used_port_is_refused() -> None:
    async with serve_standin("plain") as plain:
        second = builders.build_plain({}, clock.unix_clock())
        with pytest.raises(OSError, match="in use"):
            async with serving.serve(second, plain.address):
                pass
