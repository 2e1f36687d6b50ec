"""Handlers of model calls; the response is an SSE stream or one JSON object."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
import result
from starlette import responses

from dragonflycove.callers import error_responses, parsing, streams
from dragonflycove.values import outcomes, requests

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette import requests as http_requests

    from dragonflycove.callers import gateway


class ModelApi:
    """Handlers of `/v1/completions`, `/v1/chat/completions` and `/v1/streams`."""

    def __init__(
        self, node: gateway.Gateway, default_deadline_seconds: float, heartbeat_seconds: float
    ) -> None:
        """Create the handlers of one node.

        Args:
            node: The node that serves the requests.
            default_deadline_seconds: Deadline of a request without `X-Deadline-Seconds`, seconds.
            heartbeat_seconds: Interval of heartbeats in an idle stream, seconds.
        """
        self._node = node
        self._default_deadline_seconds = default_deadline_seconds
        self._heartbeat_seconds = heartbeat_seconds

    async def completions(self, request: http_requests.Request) -> responses.Response:
        """Handle `POST /v1/completions`."""
        return await self._generate(request, is_chat=False)

    async def chat_completions(self, request: http_requests.Request) -> responses.Response:
        """Handle `POST /v1/chat/completions`."""
        return await self._generate(request, is_chat=True)

    async def resume(self, request: http_requests.Request) -> responses.Response:
        """Handle `GET /v1/streams/{token}`, also for streams that another node started."""
        headers = parsing.parse_headers(request.headers, self._default_deadline_seconds)
        if isinstance(headers, result.Err):
            return error_responses.to_response(headers.err_value)
        last_event_id = request.headers.get("last-event-id") or request.query_params.get(
            "last", "-1"
        )
        if not last_event_id.lstrip("-").isdigit():
            refused = outcomes.Refused(outcomes.Reason.BAD_REQUEST, "Last-Event-ID is not a number")
            return error_responses.to_response(refused)
        deadline = self._node.now() + headers.ok_value.deadline_seconds
        model = request.query_params.get("model", "")
        opened = self._node.resume(
            request.path_params["token"], int(last_event_id) + 1, model, "", deadline
        )
        if isinstance(opened, result.Err):
            return error_responses.to_response(opened.err_value)
        is_chat = request.query_params.get("format") == "chat"
        encoder = _ResponseEncoder(opened.ok_value.request_id, model, is_chat)
        return self._respond_with_stream(opened.ok_value, encoder)

    async def _generate(self, request: http_requests.Request, is_chat: bool) -> responses.Response:
        refusal = self._node.refusal()
        if refusal is not None:
            return error_responses.to_response(refusal)
        headers = parsing.parse_headers(request.headers, self._default_deadline_seconds)
        if isinstance(headers, result.Err):
            return error_responses.to_response(headers.err_value)
        body = await request.body()
        call = parsing.parse_model_call(
            body, is_chat, headers.ok_value, self._node.configuration, "", self._node.now()
        )
        if isinstance(call, result.Err):
            return error_responses.to_response(call.err_value)
        model_call = call.ok_value
        opened = await self._node.submit(model_call.request, model_call.prompt)
        if isinstance(opened, result.Err):
            return error_responses.to_response(opened.err_value)
        encoder = _ResponseEncoder(opened.ok_value.request_id, model_call.request.model, is_chat)
        if model_call.stream:
            return self._respond_with_stream(opened.ok_value, encoder)
        return await self._respond_when_complete(opened.ok_value, encoder, model_call.request)

    def _respond_with_stream(
        self, opened: gateway.OpenStream, encoder: _ResponseEncoder
    ) -> responses.Response:
        headers = {"X-Request-Id": opened.request_id, "Cache-Control": "no-store"}
        return responses.StreamingResponse(
            self._encode_events(opened, encoder), media_type="text/event-stream", headers=headers
        )

    async def _encode_events(
        self, opened: gateway.OpenStream, encoder: _ResponseEncoder
    ) -> AsyncIterator[bytes]:
        try:
            while True:
                event = await opened.stream.next_event(self._heartbeat_seconds)
                yield encoder.encode_event(event)
                if isinstance(event, streams.StreamEnded | streams.HandedOver):
                    return
        finally:
            self._node.on_caller_gone(opened)

    async def _respond_when_complete(
        self, opened: gateway.OpenStream, encoder: _ResponseEncoder, request: requests.ModelRequest
    ) -> responses.Response:
        tokens: list[str] = []
        finish = "stop"
        headers = {"X-Request-Id": opened.request_id}
        try:
            while True:
                event = await opened.stream.next_event(self._heartbeat_seconds)
                if isinstance(event, streams.CallerFrame):
                    tokens.append(event.token)
                    finish = event.finish or finish
                if isinstance(event, streams.StreamEnded):
                    break
        finally:
            self._node.on_caller_gone(opened)
        if not isinstance(event.outcome, outcomes.Answered):
            return error_responses.to_response(event.outcome)
        body = encoder.encode_full_response(tokens, finish, request.prompt_tokens)
        return responses.Response(body, 200, headers, "application/json")


class _ResponseEncoder:
    """Encodes the events of one response in the OpenAI-compatible format."""

    def __init__(self, request_id: str, model: str, is_chat: bool) -> None:
        self._request_id = request_id
        self._model = model
        self._is_chat = is_chat

    def encode_event(self, event: streams.CallerEvent | None) -> bytes:
        """Encode one event as a server-sent event; `None` becomes a heartbeat comment."""
        if event is None:
            return b": heartbeat\n\n"
        if isinstance(event, streams.CallerFrame):
            return b"id: %d\ndata: %s\n\n" % (event.frame_index, self._encode_chunk(event))
        if isinstance(event, streams.ResumeTokenChanged):
            return b"event: resume\ndata: %s\n\n" % msgspec.json.encode({"token": event.token})
        if isinstance(event, streams.HandedOver):
            return b"event: handover\ndata: %s\n\n" % msgspec.json.encode(event._asdict())
        if isinstance(event.outcome, outcomes.Answered):
            return b"data: [DONE]\n\n"
        body = msgspec.json.encode(error_responses.error_body(event.outcome))
        return b"data: %s\n\n" % body

    def _encode_chunk(self, frame: streams.CallerFrame) -> bytes:
        choice: dict[str, object] = {"index": 0, "finish_reason": frame.finish}
        if self._is_chat:
            choice["delta"] = {"role": "assistant", "content": frame.token}
        else:
            choice["text"] = frame.token
        object_type = "chat.completion.chunk" if self._is_chat else "text_completion"
        return msgspec.json.encode(self._envelope(object_type, choice))

    def encode_full_response(self, tokens: list[str], finish: str, prompt_tokens: int) -> bytes:
        """Encode the body of a response that is not streamed."""
        text = "".join(tokens)
        choice: dict[str, object] = {"index": 0, "finish_reason": finish}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        object_type = "chat.completion" if self._is_chat else "text_completion"
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(tokens),
            "total_tokens": prompt_tokens + len(tokens),
        }
        return msgspec.json.encode({**self._envelope(object_type, choice), "usage": usage})

    def _envelope(self, object_type: str, choice: dict[str, object]) -> dict[str, object]:
        return {
            "id": self._request_id,
            "object": object_type,
            "created": int(time.time()),
            "model": self._model,
            "choices": [choice],
        }
