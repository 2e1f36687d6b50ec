"""Ids of events without a documented limit: times, numbers of any size, and other texts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dragonflycove.standins.platform import server as platform_server
from dragonflycove.standins.platform import server_faults
from tests.gateway import deployment

if TYPE_CHECKING:
    import asyncio

pytestmark = pytest.mark.asyncio

FIRST_NUMBERS = [
    10**12 - 2,
    1_796_669_103_961,
    2**53 - 1,
    1_796_669_103_961_000_000,
    10**18 - 2,
    2**64 - 3,
    10**40,
    10**400,
]
"""Numbers of the first event, on both sides of usual bounds: a time in ms and in ns among them."""


def _events(numbers: range) -> bytes:
    return b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in numbers)


def _number_from(system: deployment.Deployment, first_number: int) -> None:
    for server in system.server_by_id.values():
        server.first_event_number = first_number


@pytest.mark.parametrize("first_number", FIRST_NUMBERS)
async def test_a_caller_resumes_at_another_node_after_an_id_of_any_size(first_number: int) -> None:
    """Callers got the events that they had once more, since the id of the last one was dropped."""
    async with deployment.deployed(nodes=2) as system:
        _number_from(system, first_number)
        last_id = first_number + 2
        response = await system.call("/ask/x", node=1, headers={"Last-Event-Id": str(last_id)})
        rest = _events(range(last_id + 1, first_number + 5))
        assert (response.status, response.body, response.is_complete) == (200, rest, True)
        assert [run.headers.get("last-event-id") for run in system.runs()] == [str(last_id)]


@pytest.mark.parametrize("first_number", FIRST_NUMBERS)
async def test_a_node_resumes_a_stream_after_an_id_of_any_size(first_number: int) -> None:
    """Streams with ids of 19 digits and more were cut, as the node could not go on after them."""
    async with deployment.deployed() as system:
        _number_from(system, first_number)
        system.fail_first(server_faults.Fault.TRUNCATED)
        response = await system.call("/ask/x")
        whole = _events(range(first_number, first_number + 5))
        assert (response.status, response.body, response.is_complete) == (200, whole, True)
        assert len(system.runs()) == 2


@pytest.mark.parametrize("first_number", FIRST_NUMBERS)
async def test_a_relayed_stream_resumes_after_an_id_of_any_size(first_number: int) -> None:
    """The id passes from the caller to one node, to another one, and to the server."""
    async with deployment.deployed(nodes=2) as system:
        _number_from(system, first_number)
        system.cut_from_servers(0, deployment.CutMode.REFUSED)
        last_id = first_number + 2
        response = await system.call("/ask/x", headers={"Last-Event-Id": str(last_id)})
        rest = _events(range(last_id + 1, first_number + 5))
        assert (response.status, response.body, response.is_complete) == (200, rest, True)


@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("first_number", FIRST_NUMBERS)
async def test_events_of_a_run_that_begins_anew_are_not_repeated(
    first_number: int, is_relayed: bool
) -> None:
    """A server, or a node of an earlier build on the way to it, may drop the caller's position."""
    async with deployment.deployed(nodes=2) as system:
        _respond_always(system, _events(range(first_number, first_number + 5)))
        if is_relayed:
            system.cut_from_servers(0, deployment.CutMode.REFUSED)
        last_id = first_number + 2
        response = await system.call("/ask/x", headers={"Last-Event-Id": str(last_id)})
        rest = _events(range(last_id + 1, first_number + 5))
        assert (response.status, response.body, response.is_complete) == (200, rest, True)


@pytest.mark.parametrize(
    "ids", [("1.2", "1.7", "2.1"), ("a1", "a2"), ("01J9", "01JA"), ("7", "7b"), ("9" * 5_000,)]
)
async def test_events_whose_ids_are_no_numbers_are_all_passed_on(ids: tuple[str, ...]) -> None:
    """Events 1.2 and 1.7 counted as the same number, and the second one was left out."""
    body = "".join(f"id: {one}\ndata: piece\n\n" for one in ids).encode()
    async with deployment.deployed() as system:
        _respond_always(system, body)
        response = await system.call("/ask/x")
        assert (response.status, response.body, response.is_complete) == (200, body, True)


@pytest.mark.parametrize(
    "sent", ["1.7", "a7", "-7", "+7", "1_000", "1e3", "0b7", "9" * 5_000, "01J9ZQ4Y-7"]
)
async def test_an_id_that_is_no_number_reaches_the_server_as_it_was_sent(sent: str) -> None:
    """Ids were rounded, read as other numbers or dropped, and the stream went on elsewhere."""
    async with deployment.deployed() as system:
        _respond_always(system, b"id: 1\ndata: piece\n\n")
        await system.call("/ask/x", headers={"Last-Event-Id": sent})
        assert {run.headers.get("last-event-id") for run in system.runs()} == {sent}


def _respond_always(system: deployment.Deployment, body: bytes) -> None:
    """Let all servers respond to each streamed request with the same events."""

    def attach(server: platform_server.PlatformServer) -> None:
        async def respond_stream(
            run: platform_server.ExecutedRequest,
            fault: server_faults.Fault | None,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> bool:
            lines = ["Content-Type: text/event-stream"]
            writer.write(server._encode_response(run.headers, 200, body, lines))  # noqa: SLF001
            return True

        server._respond_stream = respond_stream  # type: ignore[method-assign]

    for server in system.server_by_id.values():
        attach(server)


@pytest.mark.parametrize("sent", ["007", "0000000000000000000000042"])
async def test_zeros_before_a_number_reach_the_server(sent: str) -> None:
    """A server that compares ids as text would not have found the event."""
    async with deployment.deployed() as system:
        _number_from(system, 5)
        await system.call("/ask/x", headers={"Last-Event-Id": sent})
        assert [run.headers.get("last-event-id") for run in system.runs()] == [sent]
