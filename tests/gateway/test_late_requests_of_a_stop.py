"""Requests that a node process gets while it stops, with servers slower than what is left."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any, NamedTuple

import h11
import pytest

from dragonflycove.gateway import daemon
from tests.gateway import deployment, node_process

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Coroutine

pytestmark = [pytest.mark.asyncio, pytest.mark.processes]

DEADLINE_MS = 12_000
"""Time that callers give their requests."""

TIMEOUT_MS = 15_000
"""Timeout of the routes."""

INTERVAL_SECONDS = 0.1
"""Time between two requests of a kind."""

MARGIN_SECONDS = 0.3
"""Time before a node's last responses up to which slow uploads end."""

SLOT_COUNT = 16
"""Requests that the plain servers run at once."""

PATH_BY_KIND = {"post": "/post/x", "look": "/look/x", "ask": "/ask/x", "review": "/review/x"}
"""Paths of the kinds of requests: calls that may be repeated or not, and streams."""


class _Sent(NamedTuple):
    """A request and what became of it."""

    attempt_id: str
    at: float
    result: deployment.CallerResult


class _Callers:
    """Callers of a node that stops."""

    def __init__(self, system: deployment.Deployment, node: node_process.NodeProcess) -> None:
        self._system = system
        self._node = node
        self._loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task[None]] = []
        self.stopped_at = float("inf")
        self.sent: list[_Sent] = []

    def send(self, kind: str, *, upload_seconds: float = 0.0) -> None:
        """Send a request on a new connection, its body slowly if a time is given."""
        name = f"{kind}-{len(self._tasks)}"
        self._start(self._send_on_new(kind, name, upload_seconds))

    def send_on(
        self, kind: str, streams: tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ) -> None:
        """Send a request on an open connection."""
        self._start(self._send_on(streams, kind, f"{kind}-{len(self._tasks)}", 0.0))

    def _start(self, sending: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.ensure_future(sending))

    async def _send_on_new(self, kind: str, name: str, upload_seconds: float) -> None:
        try:
            streams = await asyncio.open_connection(*self._node.address)
        except ConnectionRefusedError:
            return
        await self._send_on(streams, kind, name, upload_seconds)

    async def _send_on(
        self,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        kind: str,
        name: str,
        upload_seconds: float,
    ) -> None:
        reader, writer = streams
        headers = {
            "Host": "h.example",
            "X-Api-Key": "k1",
            "X-Attempt-Id": name,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        if kind in ("ask", "review"):
            headers |= {"X-Model": "m", "X-Token-Counts": "1000,100", "X-Prompt-Prefix": "ab:1000"}
        if upload_seconds:
            parser = h11.Connection(h11.CLIENT)
            fields = [*headers.items(), ("Transfer-Encoding", "chunked")]
            head = h11.Request(method=b"POST", target=PATH_BY_KIND[kind], headers=fields)
            writer.write((parser.send(head) or b"") + (parser.send(h11.Data(data=b"x")) or b""))
            await asyncio.sleep(upload_seconds)
            writer.write(parser.send(h11.EndOfMessage()) or b"")
            at = self._loop.time() - self.stopped_at
            result = await deployment.read_response(reader, parser)
        else:
            at = self._loop.time() - self.stopped_at
            result = await deployment.exchange_on(
                reader, writer, b"POST", PATH_BY_KIND[kind], headers
            )
        writer.close()
        self.sent.append(_Sent(name, at, result))

    async def finish(self) -> None:
        """Wait for all responses."""
        await asyncio.gather(*self._tasks)

    async def stop_node(self) -> None:
        """Let the node stop."""
        self._node.process.send_signal(signal.SIGTERM)
        self.stopped_at = self._loop.time()

    def ran(self, one: _Sent) -> bool:
        """Whether some server got a request."""
        return bool(self._system.runs(one.attempt_id))


async def _set_up(system: deployment.Deployment, plain_seconds: float) -> None:
    configuration: Any = deployment.configuration(2)
    for route in configuration["routes"]:
        route |= {"timeout_ms": TIMEOUT_MS, "latency_goal_ms": DEADLINE_MS}
    system.store.put("keyed.op", "config", configuration)
    for server in system.server_by_id.values():
        server.plain_seconds = plain_seconds
        server.event_seconds = plain_seconds / 4
        server.events = 5


def _ends_at(grace_seconds: float) -> float:
    """Return the time after SIGTERM up to which a node may respond."""
    margin = min(daemon.STOP_MARGIN_SECONDS, grace_seconds * daemon.MAX_MARGIN_SHARE)
    grace = grace_seconds - margin
    return grace - min(daemon.RESPONDING_SECONDS, grace * daemon.MAX_CLOSING_SHARE / 2)


@pytest.mark.parametrize(("grace", "seconds"), [(8.0, 2.0), (4.0, 1.0), (2.0, 0.6)])
async def test_a_stop_passes_on_no_request_that_it_would_cut_off(
    tmp_path: pathlib.Path, grace: float, seconds: float
) -> None:
    async with deployment.deployed(nodes=0) as system:
        await _set_up(system, seconds)
        async with node_process.NodeProcess(system, tmp_path, grace_seconds=grace) as node:
            await node.wait_ready()
            callers = _Callers(system, node)
            for kind in PATH_BY_KIND:
                callers.send(kind)
            await callers.finish()
            kept = [await asyncio.open_connection(*node.address) for _ in range(20)]
            await callers.stop_node()
            loop = asyncio.get_running_loop()
            upload_seconds = grace / 3
            while (elapsed := loop.time() - callers.stopped_at) < _ends_at(grace):
                for kind in PATH_BY_KIND:
                    callers.send(kind)
                if elapsed + upload_seconds < _ends_at(grace) - MARGIN_SECONDS:
                    callers.send("post", upload_seconds=upload_seconds)
                if kept and elapsed < _ends_at(grace) - daemon.CLOSING_SECONDS:
                    callers.send_on("post", kept.pop())
                await asyncio.sleep(INTERVAL_SECONDS)
            for _, writer in kept:
                writer.close()
            await callers.finish()
            status = await node.wait_ended()
    late = [one for one in callers.sent if one.at > _ends_at(grace) - seconds + 0.05]
    unrepeatable = [one for one in callers.sent if one.attempt_id.startswith("post")]
    assert status == daemon.EXIT_OK
    assert [one for one in callers.sent if not one.result.is_complete] == []
    assert len(late) > 10
    assert [one for one in late if one.result.status != 503 or callers.ran(one)] == []
    assert [one for one in unrepeatable if one.result.status == 503 and callers.ran(one)] == []


async def test_a_stop_refuses_waiting_requests_that_it_leaves_no_time_for(
    tmp_path: pathlib.Path,
) -> None:
    async with deployment.deployed(nodes=0) as system:
        await _set_up(system, 3.0)
        async with node_process.NodeProcess(system, tmp_path, grace_seconds=5.0) as node:
            await node.wait_ready()
            callers = _Callers(system, node)
            callers.send("post")
            await callers.finish()
            for _ in range(SLOT_COUNT):
                callers.send("post")
            await asyncio.sleep(0.3)
            await callers.stop_node()
            for _ in range(4):
                callers.send("post")
            await callers.finish()
    waiting = [one for one in callers.sent if one.at > 0]
    served = [one for one in callers.sent if one.at < 0]
    assert [one.result.status for one in served] == [200] * (1 + SLOT_COUNT)
    assert [one.result.status for one in waiting] == [503] * 4
    assert [one for one in waiting if callers.ran(one)] == []


@pytest.mark.parametrize("grace", [1.0, 1.5, 3.0])
async def test_a_short_stop_cuts_streams_no_sooner_than_in_its_last_sixth(
    tmp_path: pathlib.Path, grace: float
) -> None:
    async with deployment.deployed(nodes=0) as system:
        await _set_up(system, 2 * grace)
        async with node_process.NodeProcess(system, tmp_path, grace_seconds=grace) as node:
            await node.wait_ready()
            callers = _Callers(system, node)
            callers.send("ask")
            await asyncio.sleep(0.3)
            await callers.stop_node()
            await callers.finish()
            seconds = asyncio.get_running_loop().time() - callers.stopped_at
            status = await node.wait_ended()
    assert seconds >= grace * 5 / 6
    assert status == daemon.EXIT_OK


async def test_a_node_that_is_paused_near_the_end_of_a_stop_answers_what_it_has_read(
    tmp_path: pathlib.Path,
) -> None:
    grace = 4.0
    async with deployment.deployed(nodes=0) as system:
        await _set_up(system, 1.0)
        async with node_process.NodeProcess(system, tmp_path, grace_seconds=grace) as node:
            await node.wait_ready()
            callers = _Callers(system, node)
            callers.send("post")
            callers.send("look")
            await callers.finish()
            await callers.stop_node()
            for _ in range(20):
                callers.send("post")
                callers.send("look")
                await asyncio.sleep(INTERVAL_SECONDS)
            # Responses to requests that were sent a second ago are due while it is paused.
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(grace - 2.6)
            node.process.send_signal(signal.SIGCONT)
            await callers.finish()
            status = await node.wait_ended()
    assert [one for one in callers.sent if not one.result.is_complete] == []
    assert [one for one in callers.sent if one.result.status == 503 and callers.ran(one)] == []
    assert status == daemon.EXIT_OK
