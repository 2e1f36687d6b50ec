"""Pipelined requests are served whole, in order, and nothing else is, over real loopback connections."""

from __future__ import annotations

import asyncio
import http
import http.client
import os
import time
from typing import TYPE_CHECKING

import pytest

from dragonflycove.gateway import callers
from tests.gateway import pipelining

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, forwarding
    from dragonflycove.gateway import caller_responses

pytestmark = pytest.mark.asyncio

GONE_SECONDS = 0.5
"""Time after a caller's leaving within which its request must end, as specified."""

LONG_ANSWER_BYTES = 200_000
"""Length of an answer that is passed on in several pieces."""


def _choose_seeds() -> range:
    """Return the seeds that `CALLER_INPUT_SEEDS=100:400` selects, 400 excluded, or the default ones."""
    first, _, last = os.environ.get("CALLER_INPUT_SEEDS", "").partition(":")
    return range(int(first), int(last)) if last else range(24)


@pytest.mark.parametrize("kind", pipelining.Kind)
@pytest.mark.parametrize("sizes", [(), (70,)])
async def test_a_pipelined_body_that_arrives_in_several_packets_is_not_run_as_requests(
    sizes: tuple[int, ...], kind: pipelining.Kind
) -> None:
    may_answer = asyncio.Event()

    async def serve(
        request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        await may_answer.wait()
        await pipelining.answer(request, response)

    first = pipelining.make_request("first", b"", pipelining.RELAYED)
    sent = [
        first,
        pipelining.make_request(
            "second", pipelining.recorded(1_000), pipelining.RELAYED, sizes=sizes
        ),
    ]
    head, body = sent[1].data[:-700], sent[1].data[-700:]
    async with pipelining.listening(serve, kind) as node:
        caller = await pipelining.Caller.connect(node.address)
        await caller.send(sent[0].data + head)
        await asyncio.sleep(0.05)
        may_answer.set()
        assert await caller.read() == (200, sent[0].answer())
        for start in range(0, len(body), 100):
            await caller.send(body[start : start + 100])
            await asyncio.sleep(0.005)
        assert await caller.read() == (200, sent[1].answer())
        assert node.handler.served == pipelining.as_served(sent)
        caller.close()


async def test_a_pipelined_body_that_is_longer_than_what_is_buffered_is_not_cut() -> None:
    async def serve(
        request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        await asyncio.sleep(0.05)
        await pipelining.answer(request, response)

    sent = [
        pipelining.make_request("first"),
        pipelining.make_request("second", pipelining.recorded(pipelining.MAX_BODY_BYTES)),
        pipelining.make_request("third"),
    ]
    async with pipelining.listening(serve) as node:
        caller = await pipelining.Caller.connect(node.address)
        sending = asyncio.ensure_future(caller.send(b"".join(one.data for one in sent)))
        for one in sent:
            assert await caller.read() == (200, one.answer())
        await sending
        assert node.handler.served == pipelining.as_served(sent)
        caller.close()


async def _call_in_two_packets(caller: pipelining.Caller) -> list[tuple[int, bytes]]:
    """Send requests one after the other, the end of each body a while after its head."""
    for number in range(6):
        one = pipelining.make_request(f"a{number}", b"abcd" * 100, pipelining.RELAYED)
        await caller.send(one.data[:-200])
        await asyncio.sleep(0.03)
        await caller.send(one.data[-200:])
        await caller.read()
    return caller.answers


class _FinalResponse(http.client.HTTPResponse):
    """A response that other informational ones than `100 Continue` may precede."""

    def _read_status(self) -> tuple[str, int, str]:
        while True:
            version, status, reason = super()._read_status()  # type: ignore[misc]
            if status != http.HTTPStatus.PROCESSING:
                return version, status, reason
            http.client.parse_headers(self.fp)


def _call_from_thread(address: catalog.Address) -> list[int]:
    """Do the same without the event loop, so that bytes come in any turn of it; return statuses."""
    connection = http.client.HTTPConnection(address.ip, address.port, timeout=5.0)
    connection.response_class = _FinalResponse
    statuses = []
    for number in range(6):
        connection.putrequest("POST", f"/report/{number}")
        connection.putheader("Content-Length", "400")
        connection.putheader(*pipelining.RELAYED.split(b": ", 1))
        connection.endheaders(b"abcd" * 50)
        time.sleep(0.03)
        connection.send(b"abcd" * 50)
        response = connection.getresponse()
        response.read()
        statuses.append(response.status)
    connection.close()
    return statuses


@pytest.mark.parametrize("kind", pipelining.Kind)
async def test_a_request_in_two_packets_straight_after_a_long_answer_is_not_rejected(
    kind: pipelining.Kind,
) -> None:
    async def serve(_: forwarding.CallerRequest, response: caller_responses.CallerResponse) -> None:
        await response.write_complete(200, [], b"x" * LONG_ANSWER_BYTES)

    async with pipelining.listening(serve, kind, header_timeout_seconds=0.5) as node:
        statuses = await asyncio.to_thread(_call_from_thread, node.address)
        assert statuses == [200] * 6


async def test_a_request_in_two_packets_is_not_rejected_while_the_answered_one_is_ended() -> None:
    async def serve(
        request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        await pipelining.answer(request, response)
        await asyncio.sleep(0.01)

    async with pipelining.listening(serve, header_timeout_seconds=0.5) as node:
        caller = await pipelining.Caller.connect(node.address)
        assert [status for status, _ in await _call_in_two_packets(caller)] == [200] * 6
        caller.close()


async def _answer_before_the_body(caller: pipelining.Caller, may_answer: asyncio.Event) -> bytes:
    """Have a request answered behind which one is sent in part; return the rest of that one."""
    second = pipelining.make_request("second", b"abcd").data
    await caller.send(pipelining.make_request("first").data + second[:-2])
    await asyncio.sleep(0.05)
    may_answer.set()
    assert (await caller.read())[0] == 200
    return second[-2:]


async def test_a_pipelined_request_that_stays_incomplete_gets_a_408() -> None:
    may_answer = asyncio.Event()

    async def serve(
        request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        await may_answer.wait()
        await pipelining.answer(request, response)

    async with pipelining.listening(serve, header_timeout_seconds=0.1, idle_seconds=0.5) as node:
        caller = await pipelining.Caller.connect(node.address)
        await _answer_before_the_body(caller, may_answer)
        assert node.listener.active == 1
        assert (await caller.read())[0] == 408
        caller.close()


async def test_a_pipelined_request_that_has_begun_is_served_when_idle_connections_are_closed() -> (
    None
):
    may_answer = asyncio.Event()

    async def serve(
        request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        await may_answer.wait()
        await pipelining.answer(request, response)

    async with pipelining.listening(serve) as node:
        caller = await pipelining.Caller.connect(node.address)
        rest = await _answer_before_the_body(caller, may_answer)
        await asyncio.sleep(callers.MIN_IDLE_SECONDS + 0.05)
        assert node.listener.close_idle() == 1
        await caller.send(rest)
        assert await caller.read() == (200, b"second 4")
        caller.close()


async def test_a_caller_that_leaves_after_it_has_filled_the_buffer_is_noticed() -> None:
    ended_at: list[float] = []
    has_begun = asyncio.Event()
    loop = asyncio.get_running_loop()

    async def serve(_: forwarding.CallerRequest, __: caller_responses.CallerResponse) -> None:
        has_begun.set()
        try:
            await asyncio.Event().wait()
        finally:
            ended_at.append(loop.time())

    async with pipelining.listening(serve) as node:
        caller = await pipelining.Caller.connect(node.address)
        await caller.send(pipelining.make_request("first").data)
        await has_begun.wait()
        pipelined = pipelining.make_request("second", b"x" * pipelining.MAX_BODY_BYTES).data
        await caller.send(pipelined[:262_144])
        await asyncio.sleep(0.1)
        left_at = loop.time()
        caller.close()
        await asyncio.sleep(GONE_SECONDS)
        assert ended_at
        assert ended_at[0] - left_at < GONE_SECONDS


@pytest.mark.parametrize("unsent_bytes", [0, 1, 399_900])
@pytest.mark.parametrize("kind", pipelining.Kind)
async def test_requests_that_were_read_before_a_stop_are_answered_on_their_connection(
    kind: pipelining.Kind, unsent_bytes: int
) -> None:
    may_answer = asyncio.Event()

    async def serve(
        request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        await may_answer.wait()
        await pipelining.answer(request, response)

    body = pipelining.recorded(pipelining.MAX_BODY_BYTES)
    sent = [
        pipelining.make_request("first", b"", pipelining.RELAYED),
        pipelining.make_request("second", b"", pipelining.RELAYED),
        pipelining.make_request("third", body, pipelining.RELAYED),
    ]
    data = b"".join(one.data for one in sent)
    async with pipelining.listening(serve, kind) as node:
        caller = await pipelining.Caller.connect(node.address)
        sending = asyncio.ensure_future(caller.send(data[: len(data) - unsent_bytes]))
        await asyncio.sleep(0.05)
        node.listener.is_stopping = True
        may_answer.set()
        for one in sent[:-1]:
            assert await caller.read() == (200, one.answer())
            assert not caller.is_last
        await sending
        await caller.send(data[len(data) - unsent_bytes :])
        assert await caller.read() == (200, sent[-1].answer())
        assert caller.is_last
        assert node.handler.served == pipelining.as_served(sent)
        caller.close()


@pytest.mark.parametrize("kind", pipelining.Kind)
@pytest.mark.parametrize("seed", _choose_seeds())
async def test_what_is_served_is_what_was_sent_however_it_is_cut(
    seed: int, kind: pipelining.Kind
) -> None:
    sequence = pipelining.Sequence(seed)
    async with pipelining.listening(sequence.serve, kind) as node:
        answers = await sequence.play(node.address)
        assert node.handler.served == pipelining.as_served(sequence.sent)
        assert answers == sequence.expected()
