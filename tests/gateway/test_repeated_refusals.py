"""Servers that write an earlier refusal once more on a kept connection."""

from __future__ import annotations

import asyncio
import itertools
import weakref
from typing import TYPE_CHECKING

import pytest

from tests.gateway import deployment

if TYPE_CHECKING:
    from dragonflycove.standins.platform import server as platform_server
    from dragonflycove.standins.platform import server_faults

pytestmark = pytest.mark.asyncio

REFUSALS = {
    "503_not_executed": b"503 Full\r\nX-Not-Executed: 1\r\n",
    "429_not_executed": b"429 Many\r\nX-Not-Executed: 1\r\n",
    "400_not_executed": b"400 No\r\nX-Not-Executed: 1\r\n",
    "421": b"421 Other\r\nX-Instance-Id: other\r\n",
    "503": b"503 Full\r\n",
    "408": b"408 Slow\r\n",
}
"""Status lines and headers of refusals, by a name."""

RUN_SECONDS = 0.15
"""Time for which a request runs."""


class Repeater:
    """Lets servers refuse the first request on each connection, and repeat that before later ones."""

    def __init__(self, refusal: bytes, *, has_id: bool) -> None:
        self._refusal = refusal
        self._has_id = has_id
        self._refusal_by_writer: weakref.WeakKeyDictionary[asyncio.StreamWriter, bytes] = (
            weakref.WeakKeyDictionary()
        )
        self.refuses = True
        self.repeats = 0

    def attach(self, server: platform_server.PlatformServer) -> None:
        execute = server._execute_or_refuse  # noqa: SLF001

        async def execute_or_refuse(
            run: platform_server.ExecutedRequest,
            fault: server_faults.Fault | None,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> bool:
            earlier = self._refusal_by_writer.get(writer)
            if earlier is None and self.refuses:
                name = f"X-Attempt-Id: {run.attempt_id}\r\n".encode() if self._has_id else b""
                refusal = b"HTTP/1.1 " + self._refusal + name + b"Content-Length: 2\r\n\r\nno"
                self._refusal_by_writer[writer] = refusal
                writer.write(refusal)
                return True
            if earlier is not None:
                self.repeats += 1
                writer.write(earlier)
                await asyncio.sleep(RUN_SECONDS)
            return await execute(run, fault, reader, writer)

        server._execute_or_refuse = execute_or_refuse  # type: ignore[method-assign]


async def _play(
    system: deployment.Deployment, repeater: Repeater, path: str, method: bytes
) -> list[tuple[str, deployment.CallerResult]]:
    """Send requests while servers refuse, then while they run what they get."""
    for server in system.server_by_id.values():
        repeater.attach(server)
    results = []
    for number in range(8):
        repeater.refuses = number < 4
        attempt = f"r{number}"
        results.append((attempt, await system.call(path, method=method, attempt=attempt)))
    # Runs of requests that were given up may still begin.
    await asyncio.sleep(2 * RUN_SECONDS)
    return results


@pytest.mark.parametrize(
    ("path", "method"), [("/post/x", b"POST"), ("/look/x", b"GET"), ("/ask/x", b"POST")]
)
@pytest.mark.parametrize("has_id", [True, False], ids=["its_id", "no_id"])
@pytest.mark.parametrize("refusal", REFUSALS)
async def test_a_repeated_refusal_is_not_taken_for_that_of_a_later_request(
    refusal: str, has_id: bool, path: str, method: bytes
) -> None:
    """Callers were told "not run" for requests that ran, or such a request ran twice."""
    async with deployment.deployed() as system:
        results = await _play(system, Repeater(REFUSALS[refusal], has_id=has_id), path, method)
        for attempt, response in results:
            runs = system.runs(attempt)
            if response.status in (408, 421, 429, 503):
                assert runs == [], (attempt, response)
            if path == "/post/x":
                assert len(runs) <= 1, attempt
            if 200 <= response.status < 300 and path != "/ask/x":
                assert response.body == f"done {attempt}".encode()


@pytest.mark.parametrize("path", ["/post/x", "/look/x", "/ask/x"])
async def test_a_repeated_refusal_of_the_same_request_proves_nothing(path: str) -> None:
    """A request that goes to the only server again meets the refusal of its first attempt."""
    async with deployment.deployed() as system:
        for name in ("e2", "p2"):
            await system.remove_server(name)
        await asyncio.sleep(0.7)
        repeater = Repeater(REFUSALS["503_not_executed"], has_id=True)
        for server in system.server_by_id.values():
            repeater.attach(server)
        repeater.refuses = True
        for number in itertools.count():
            response = await system.call(path, attempt="same")
            await asyncio.sleep(2 * RUN_SECONDS)
            if response.status in (408, 421, 429, 503):
                assert system.runs("same") == [], number
            if number == 3:
                break
            repeater.refuses = number == 0
