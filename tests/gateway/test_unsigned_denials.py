"""Responses that blame the request, in a server's place and without its signature."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.gateway import deployment

if TYPE_CHECKING:
    import asyncio

    from dragonflycove.standins.platform import server as platform_server
    from dragonflycove.standins.platform import server_faults

pytestmark = pytest.mark.asyncio

CALLS = [("/post/x", b"POST"), ("/look/x", b"GET"), ("/ask/x", b"POST")]
"""A request of each kind."""

STATUSES = (300, 302, 304, 400, 401, 403, 404, 413, 418, 431, 499)
"""Statuses that tell a caller that its request is wrong, or that it should go elsewhere."""


class _Denier:
    """Lets servers answer the first requests with a status and without their signature."""

    def __init__(self, status: int, count: int, *, has_id: bool) -> None:
        self._status = status
        self._left = count
        self._has_id = has_id

    def attach(self, server: platform_server.PlatformServer) -> None:
        execute = server._execute_or_refuse  # noqa: SLF001

        async def execute_or_refuse(
            run: platform_server.ExecutedRequest,
            fault: server_faults.Fault | None,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> bool:
            if self._left <= 0:
                return await execute(run, fault, reader, writer)
            self._left -= 1
            name = f"X-Attempt-Id: {run.attempt_id}\r\n".encode() if self._has_id else b""
            head = b"HTTP/1.1 %d Denied\r\n" % self._status
            writer.write(head + name + b"Content-Length: 0\r\n\r\n")
            return True

        server._execute_or_refuse = execute_or_refuse  # type: ignore[method-assign]


@pytest.mark.parametrize(("path", "method"), CALLS)
@pytest.mark.parametrize("has_id", [True, False], ids=["its_id", "no_id"])
@pytest.mark.parametrize("status", STATUSES)
async def test_an_unsigned_denial_in_a_servers_place_is_not_passed_on(
    status: int, has_id: bool, path: str, method: bytes
) -> None:
    async with deployment.deployed() as system:
        denier = _Denier(status, 1, has_id=has_id)
        for server in system.server_by_id.values():
            denier.attach(server)
        response = await system.call(path, method=method)
        after = await system.call(path, method=method, attempt="after")
    # A call that may have run is not sent again.
    assert response.status == (502 if path == "/post/x" else 200)
    assert after.status == 200


@pytest.mark.parametrize(("path", "method"), CALLS)
async def test_a_request_that_every_server_denies_unsigned_is_not_denied(
    path: str, method: bytes
) -> None:
    async with deployment.deployed() as system:
        denier = _Denier(404, 100, has_id=True)
        for server in system.server_by_id.values():
            denier.attach(server)
        response = await system.call(path, method=method)
    assert response.status == 502
