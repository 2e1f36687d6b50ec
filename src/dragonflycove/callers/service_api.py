"""Calls to plain services, passed through."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
from starlette import responses

from dragonflycove.callers import error_responses, parsing
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from starlette import requests as http_requests

    from dragonflycove.callers import gateway

HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-encoding",
        "accept-encoding",
    }
)
"""Headers that belong to one connection and are not passed through."""


class ServiceApi:
    """Handler of `/v1/services/{service}/{path}`."""

    def __init__(self, node: gateway.Gateway, default_deadline_seconds: float) -> None:
        """Create the handler.

        Args:
            node: The node behind it.
            default_deadline_seconds: Time for a call that names none, seconds.
        """
        self._node = node
        self._default_deadline_seconds = default_deadline_seconds

    async def call(self, request: http_requests.Request) -> responses.Response:
        """Handle a call to a plain service."""
        refusal = self._node.refusal()
        if refusal is not None:
            return error_responses.to_response(refusal)
        headers = parsing.read_headers(request.headers, self._default_deadline_seconds)
        if isinstance(headers, result.Err):
            return error_responses.to_response(headers.err_value)
        body = await request.body()
        call = parsing.read_service_call(
            request.method,
            _path_and_query(request),
            request.path_params["service"],
            body,
            request.headers.get("idempotency-key", ""),
            headers.ok_value,
            self._node.configuration,
            "",
            self._node.now(),
        )
        if isinstance(call, result.Err):
            return error_responses.to_response(call.err_value)
        passed = _passed_on(request.headers.items())
        answer = await self._node.call_service(call.ok_value, passed, body)
        if not isinstance(answer.outcome, outcomes.Answered):
            return error_responses.to_response(answer.outcome)
        response = responses.Response(answer.body, answer.status)
        for name, value in _passed_on(answer.headers):
            response.headers.append(name, value)
        return response


def _passed_on(headers: object) -> tuple[tuple[str, str], ...]:
    """Leave out the headers that belong to one connection."""
    pairs = tuple(headers)  # type: ignore[arg-type,var-annotated]
    return tuple((name, value) for name, value in pairs if name.lower() not in HOP_HEADERS)


def _path_and_query(request: http_requests.Request) -> str:
    path = "/" + request.path_params["path"]
    return f"{path}?{request.url.query}" if request.url.query else path
