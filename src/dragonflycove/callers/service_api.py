"""Handler of calls to plain services, which are forwarded unchanged."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
from starlette import responses

from dragonflycove.callers import error_responses, parsing
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from starlette import requests as http_requests

    from dragonflycove.callers import gateway

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers of a single connection or of the body's encoding, which are not forwarded."""


class ServiceApi:
    """Handler of `/v1/services/{service}/{path}`."""

    def __init__(self, node: gateway.Gateway, default_deadline_seconds: float) -> None:
        """Create the handler of one node.

        Args:
            node: The node that serves the calls.
            default_deadline_seconds: Deadline of a call without `X-Deadline-Seconds`, seconds.
        """
        self._node = node
        self._default_deadline_seconds = default_deadline_seconds

    async def call(self, request: http_requests.Request) -> responses.Response:
        """Handle a call and return the service's response, whatever its status."""
        refusal = self._node.refusal()
        if refusal is not None:
            return error_responses.to_response(refusal)
        headers = parsing.parse_headers(request.headers, self._default_deadline_seconds)
        if isinstance(headers, result.Err):
            return error_responses.to_response(headers.err_value)
        body = await request.body()
        call = parsing.parse_service_call(
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
        forwarded_headers = _end_to_end_headers(request.headers.items())
        called = await self._node.call_service(call.ok_value, forwarded_headers, body)
        if not isinstance(called.outcome, outcomes.Answered):
            return error_responses.to_response(called.outcome)
        response = responses.Response(called.body, called.status)
        for name, value in _end_to_end_headers(called.headers):
            response.headers.append(name, value)
        return response


def _end_to_end_headers(headers: object) -> tuple[tuple[str, str], ...]:
    """Return the headers without those in `HOP_BY_HOP_HEADERS`."""
    pairs = tuple(headers)  # type: ignore[arg-type,var-annotated]
    return tuple((name, value) for name, value in pairs if name.lower() not in HOP_BY_HOP_HEADERS)


def _path_and_query(request: http_requests.Request) -> str:
    path = "/" + request.path_params["path"]
    return f"{path}?{request.url.query}" if request.url.query else path
