"""Requests turned away as wrong: what the log tells of the check that did so."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import loguru
import pytest

from dragonflycove.gateway import denials
from dragonflycove.telemetry import log_lines
from tests.gateway import deployment

if TYPE_CHECKING:
    from collections.abc import Iterator

pytestmark = pytest.mark.asyncio

RESPONSE_TIMEOUT_SECONDS = 5.0
"""Timeout of a response; no test waits as long."""


@pytest.fixture
def denied() -> Iterator[list[dict[str, str]]]:
    """Collect the fields of the lines about denials."""
    found: list[dict[str, str]] = []

    def keep(line: str) -> None:
        fields = log_lines.parse_fields(line)
        if fields.get("event") == "denied":
            found.append(fields)

    sink = loguru.logger.add(keep, level="INFO", format="{message}")
    yield found
    loguru.logger.remove(sink)


async def _send(system: deployment.Deployment, data: bytes) -> bytes:
    """Return the first line of the response to some bytes."""
    address = system.settings[0].caller_address
    assert address is not None
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(data)
    async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
        line = await reader.readline()
    writer.close()
    return line


@pytest.mark.parametrize(
    ("path", "key", "status", "check", "subject"),
    [
        ("/none/x", "k1", 404, denials.Check.ROUTE, "h.example"),
        ("/look/x", "k9", 401, denials.Check.KEY, "k9"),
    ],
)
async def test_a_denial_by_the_configuration_names_check_version_and_age(
    denied: list[dict[str, str]],
    path: str,
    key: str,
    status: int,
    check: denials.Check,
    subject: str,
) -> None:
    async with deployment.deployed() as system:
        response = await system.call(path, attempt="a7", key=key, method=b"GET")
    assert response.status == status
    (fields,) = denied
    assert (fields["request"], fields["status"]) == ("a7", str(status))
    assert (fields["check"], fields["version"]) == (check.value, "1")
    assert fields["subject"] == denials.fingerprint(subject)
    assert 0.0 <= float(fields["age"]) < RESPONSE_TIMEOUT_SECONDS


@pytest.mark.parametrize(
    ("data", "status", "check", "request_id"),
    [
        (b"no request\r\n\r\n", 400, denials.Check.SYNTAX, ""),
        (b"GET /look/" + b"x" * 70_000, 431, denials.Check.HEAD_SIZE, ""),
        (
            b"POST /ask/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a7\r\n"
            b"Content-Length: 100001\r\n\r\n" + b"x" * 100_001,
            413,
            denials.Check.BODY_SIZE,
            "a7",
        ),
    ],
)
async def test_a_denial_by_the_parser_names_check_and_position(
    denied: list[dict[str, str]],
    data: bytes,
    status: int,
    check: denials.Check,
    request_id: str,
) -> None:
    async with deployment.deployed() as system:
        line = await _send(system, data)
    assert b" %d " % status in line
    (fields,) = denied
    assert (fields["request"], fields["status"]) == (request_id, str(status))
    assert (fields["check"], fields["version"]) == (check.value, "1")
    assert fields["served"] == "0"
    assert 0 < int(fields["read"]) <= len(data)
