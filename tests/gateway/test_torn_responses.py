"""Servers that end their connections in the middle of a response's head or body."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from dragonflycove.standins.platform import server as platform_server
from tests.gateway import deployment
from tests.gateway.test_rules import COMPLETE_STREAM

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.standins.platform import server_faults

pytestmark = pytest.mark.asyncio

RETRY_ALLOWANCE = 10_000.0
"""Retries that a deployment allows, beyond all that its cut responses take."""

STAMP = b"X-Server-Stamp: 3e1b.07.5a2.s\r\nX-Attempt-Id: a1\r\n"

PLAIN = b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 5\r\n\r\nwhole"

STREAM = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    + STAMP
    + b"Transfer-Encoding: chunked\r\n\r\n"
)


class Tearing:
    """Lets the first server that gets a request cut its response."""

    def __init__(self, system: deployment.Deployment, *, is_reset: bool) -> None:
        """Attach to all servers of a deployment."""
        self.cut = b""
        """Bytes of the next response that is cut."""
        self.is_torn = True
        """Whether that response has been sent."""
        self.is_resumed_only = False
        """Whether a stream is cut only where it is resumed."""
        self.runs = 0
        """Requests that servers began to run."""
        self._is_reset = is_reset
        for node in system.nodes:
            node._forwarder._retry_budget._allowance = RETRY_ALLOWANCE  # noqa: SLF001
        for server in system.server_by_id.values():
            self._attach(server)

    async def _tear(self, writer: asyncio.StreamWriter) -> None:
        self.is_torn = True
        writer.write(self.cut)
        await writer.drain()
        if self._is_reset:
            await asyncio.sleep(0.005)
            platform_server._reset(writer)  # noqa: SLF001

    def _attach(self, server: platform_server.PlatformServer) -> None:
        respond: Callable[..., object] = server._execute_or_refuse  # noqa: SLF001

        async def execute_or_refuse(
            run: platform_server.ExecutedRequest,
            fault: server_faults.Fault | None,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> bool:
            self.runs += 1
            is_resumed = "last-event-id" in run.headers
            if self.is_torn or (self.is_resumed_only and not is_resumed):
                if not self.is_torn:
                    fault = platform_server.server_faults.Fault.TRUNCATED
                return bool(await respond(run, fault, reader, writer))  # type: ignore[misc]
            await self._tear(writer)
            return False

        server._execute_or_refuse = execute_or_refuse  # type: ignore[method-assign]  # noqa: SLF001


def cuts(whole: bytes) -> list[bytes]:
    """Return all beginnings of a response."""
    return [whole[:size] for size in range(len(whole))]


@pytest.mark.parametrize("is_reset", [False, True])
async def test_a_call_whose_response_is_cut_goes_on_at_another_server(
    is_reset: bool,
) -> None:
    async with deployment.deployed() as system:
        tearing = Tearing(system, is_reset=is_reset)
        for tearing.cut in cuts(PLAIN):
            tearing.is_torn = False
            response = await system.call("/look/x", method=b"GET")
            assert tearing.is_torn
            assert (response.status, response.body) == (200, b"done a1"), tearing.cut


@pytest.mark.parametrize("is_reset", [False, True])
async def test_a_call_that_may_not_be_repeated_is_no_success_if_its_response_is_cut(
    is_reset: bool,
) -> None:
    async with deployment.deployed() as system:
        tearing = Tearing(system, is_reset=is_reset)
        for number, tearing.cut in enumerate(cuts(PLAIN)):
            tearing.is_torn = False
            response = await system.call("/post/x", attempt=f"p{number}")
            assert tearing.is_torn
            assert response.status == 502, tearing.cut
        assert tearing.runs == number + 1


@pytest.mark.parametrize("is_resumed", [False, True])
@pytest.mark.parametrize("is_reset", [False, True])
async def test_a_stream_whose_response_is_cut_goes_on_at_another_server(
    is_reset: bool, is_resumed: bool
) -> None:
    async with deployment.deployed(nodes=0) as system:
        await system.add_server("e3")
        value = deployment.configuration(version=2)
        value["routes"][0]["max_attempts"] = 4  # type: ignore[index]
        system.store.put("keyed.op", "config", value)
        await system.add_node()
        tearing = Tearing(system, is_reset=is_reset)
        tearing.is_resumed_only = is_resumed
        for tearing.cut in cuts(STREAM):
            tearing.is_torn = False
            response = await system.call("/ask/x")
            assert tearing.is_torn
            assert response.status == 200, tearing.cut
            assert response.is_complete
            assert response.body == COMPLETE_STREAM
