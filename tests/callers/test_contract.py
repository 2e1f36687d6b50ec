"""The callers' interface behaves as docs/reference/callers.md states, line by line."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import re

import aiohttp
import fake_gateway
import pytest
from starlette import applications

from dragonflycove.callers import app, gateway, streams
from dragonflycove.node import http_server
from dragonflycove.values import outcomes

REFERENCE = pathlib.Path(__file__).parents[2] / "docs" / "reference" / "callers.md"
ORGANISATION = {"X-Organisation": "andrade"}
MODEL_CALL = {"model": "herder-7", "prompt": "hello"}


@contextlib.asynccontextmanager
async def serving(node):
    """Serve the interface and yield an HTTP client session for it."""
    routes = app.build_routes(node, 10.0, 0.05)
    server = http_server.HttpServer(applications.Starlette(routes=routes), "127.0.0.1:0")
    running = asyncio.create_task(server.run())
    async with aiohttp.ClientSession(f"http://{server.address}") as session:
        yield session
    server.stop()
    await running


def documented_statuses():
    """Return (reason, status) for each row of the documented refusals."""
    rows = re.findall(r"^\| (\d{3}) \| (.+?) \|", REFERENCE.read_text(), re.MULTILINE)
    return [
        (reason, int(status)) for status, names in rows for reason in re.findall(r"`(\w+)`", names)
    ]


def test_every_reason_is_documented_with_its_status():
    documented = dict(documented_statuses())
    assert documented == {
        reason.value: status for reason, status in outcomes.STATUS_BY_REASON.items()
    }


@pytest.mark.asyncio
@pytest.mark.parametrize("reason", list(outcomes.Reason))
async def test_a_refusal_has_reason_ran_and_retry_after(reason):
    node = fake_gateway.FakeGateway()
    node.submit_refused = outcomes.Refused(reason, "why", 2.5, "127.0.0.1:9")
    async with (
        serving(node) as session,
        session.post("/v1/completions", json=MODEL_CALL, headers=ORGANISATION) as response,
    ):
        assert response.status == outcomes.STATUS_BY_REASON[reason]
        assert response.headers["Retry-After"] == "3"
        assert response.headers["X-Other-Address"] == "127.0.0.1:9"
        error = (await response.json())["error"]
    assert error == {
        "message": "why",
        "type": "refused",
        "code": reason.value,
        "ran": "not_run",
        "retry_after_seconds": 2.5,
        "address": "127.0.0.1:9",
    }


@pytest.mark.asyncio
async def test_where_lists_addresses_and_their_time_to_live():
    node = fake_gateway.FakeGateway()
    node.where = gateway.LookupResult((gateway.LookupAddress("127.0.0.1:1", "cayambe"),), 4.0)
    async with serving(node) as session, session.get("/v1/where?zone=cayambe") as response:
        content = await response.json()
    assert content == {
        "addresses": [{"address": "127.0.0.1:1", "zone": "cayambe"}],
        "ttl_seconds": 4.0,
    }
    assert node.where_zone == "cayambe"


@pytest.mark.asyncio
async def test_models_are_listed():
    async with (
        serving(fake_gateway.FakeGateway()) as session,
        session.get("/v1/models") as response,
    ):
        content = await response.json()
    assert content == {"object": "list", "data": [{"id": "herder-7", "object": "model"}]}


@pytest.mark.asyncio
async def test_a_stream_has_resume_token_numbered_tokens_and_heartbeats():
    node = fake_gateway.FakeGateway()
    node.events = [
        streams.ResumeTokenChanged("engine-1~a~0"),
        streams.CallerFrame(0, "x", None),
        streams.CallerFrame(1, "y", "stop"),
    ]
    async with serving(node) as session:
        body = {**MODEL_CALL, "stream": True}
        async with session.post("/v1/completions", json=body, headers=ORGANISATION) as response:
            assert response.headers["Content-Type"].startswith("text/event-stream")
            lines = [await response.content.readuntil(b"\n\n") for _ in range(4)]
    assert lines[0] == b'event: resume\ndata: {"token":"engine-1~a~0"}\n\n'
    assert lines[1].startswith(b"id: 0\ndata: ")
    assert json.loads(lines[1].split(b"data: ")[1])["choices"][0]["text"] == "x"
    assert json.loads(lines[2].split(b"data: ")[1])["choices"][0]["finish_reason"] == "stop"
    assert lines[3] == b": heartbeat\n\n"
    assert node.gone == ["request-1"]


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("event", "last"),
    [
        (streams.StreamEnded(outcomes.Answered()), b"data: [DONE]\n\n"),
        (
            streams.HandedOver("127.0.0.1:9"),
            b'event: handover\ndata: {"address":"127.0.0.1:9"}\n\n',
        ),
        (
            streams.StreamEnded(
                outcomes.Failed(outcomes.Reason.DEADLINE, "late", outcomes.Execution.RAN)
            ),
            b'data: {"error":{"message":"late","type":"failed","code":"deadline","ran":"ran"}}\n\n',
        ),
    ],
)
async def test_a_stream_ends_with_done_handover_or_error(event, last):
    node = fake_gateway.FakeGateway()
    node.events = [event]
    async with serving(node) as session:
        body = {**MODEL_CALL, "stream": True}
        async with session.post("/v1/completions", json=body, headers=ORGANISATION) as response:
            assert await response.read() == last


@pytest.mark.asyncio
async def test_responses_that_are_not_streamed_have_text_and_usage():
    node = fake_gateway.FakeGateway()
    node.events = [
        streams.CallerFrame(0, "x", None),
        streams.CallerFrame(1, "y", "length"),
        streams.StreamEnded(outcomes.Answered()),
    ]
    chat_call = {"model": "herder-7", "messages": [{"role": "user", "content": "hello"}]}
    async with serving(node) as session:
        async with session.post(
            "/v1/completions", json=MODEL_CALL, headers=ORGANISATION
        ) as response:
            completion = await response.json()
        async with session.post(
            "/v1/chat/completions", json=chat_call, headers={"Authorization": "Bearer andrade"}
        ) as response:
            chat_response = await response.json()
    assert completion["object"] == "text_completion"
    assert completion["choices"] == [{"index": 0, "finish_reason": "length", "text": "xy"}]
    assert completion["usage"] == {"prompt_tokens": 2, "completion_tokens": 2, "total_tokens": 4}
    assert chat_response["object"] == "chat.completion"
    assert chat_response["choices"][0]["message"] == {"role": "assistant", "content": "xy"}


@pytest.mark.asyncio
async def test_a_failure_before_any_token_has_its_http_status():
    node = fake_gateway.FakeGateway()
    failed = outcomes.Failed(outcomes.Reason.DEADLINE, "late", outcomes.Execution.MAY_HAVE_RUN, 1.0)
    node.events = [streams.StreamEnded(failed)]
    async with (
        serving(node) as session,
        session.post("/v1/completions", json=MODEL_CALL, headers=ORGANISATION) as response,
    ):
        assert response.status == 504
        assert (await response.json())["error"]["ran"] == "may_have_run"


@pytest.mark.asyncio
async def test_a_stream_resumes_after_the_last_event_id():
    node = fake_gateway.FakeGateway()
    node.events = [streams.StreamEnded(outcomes.Answered())]
    async with serving(node) as session:
        async with session.get("/v1/streams/t", headers={"Last-Event-ID": "7"}) as response:
            assert await response.read() == b"data: [DONE]\n\n"
        async with session.get("/v1/streams/t?last=3") as response:
            assert response.status == 200
        async with session.get("/v1/streams/t", headers={"Last-Event-ID": "x"}) as response:
            assert response.status == 400
    assert node.resumed == [("t", 8), ("t", 4)]


@pytest.mark.asyncio
async def test_a_service_call_forwards_method_path_query_headers_and_body():
    node = fake_gateway.FakeGateway()
    node.service_response = gateway.ServiceResponse(
        outcomes.Answered(201), 201, (("X-Made", "yes"), ("Connection", "close")), b"made"
    )
    headers = {**ORGANISATION, "Idempotency-Key": "1-abcdefgh", "X-Own": "v"}
    async with (
        serving(node) as session,
        session.post(
            "/v1/services/orders/postings/a?b=c", data=b"body", headers=headers
        ) as response,
    ):
        assert (response.status, await response.read()) == (201, b"made")
        assert response.headers["X-Made"] == "yes"
    call, passed, body = node.calls[0]
    assert (call.method, call.path, call.idempotency_key) == (
        "POST",
        "/postings/a?b=c",
        "1-abcdefgh",
    )
    assert not call.idempotent
    assert ("x-own", "v") in passed
    assert body == b"body"


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("path", "headers", "status", "code"),
    [
        ("/v1/services/orders/postings", ORGANISATION, 400, "key_missing"),
        ("/v1/services/none/postings", ORGANISATION, 404, "unknown_service"),
        ("/v1/services/orders/postings", {}, 403, "unknown_organisation"),
        ("/v1/services/orders/postings", {**ORGANISATION, "X-Urgency": "?"}, 400, "bad_request"),
    ],
)
async def test_invalid_service_calls_are_refused(path, headers, status, code):
    async with (
        serving(fake_gateway.FakeGateway()) as session,
        session.post(path, headers=headers) as response,
    ):
        assert response.status == status
        error = (await response.json())["error"]
    assert (error["code"], error["ran"]) == (code, "not_run")


@pytest.mark.asyncio
async def test_a_node_that_refuses_work_does_so_before_reading_the_body():
    node = fake_gateway.FakeGateway()
    node.refused = outcomes.Refused(outcomes.Reason.LEAVING, "stopping", 0.0, "127.0.0.1:9")
    async with serving(node) as session:
        for path in ("/v1/completions", "/v1/services/orders/postings"):
            async with session.post(path, data=b"{") as response:
                assert response.status == 503
                assert (await response.json())["error"]["address"] == "127.0.0.1:9"
