"""Routes of the HTTP interface for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette import responses, routing

from dragonflycove.callers import model_api, service_api

if TYPE_CHECKING:
    from starlette import requests as http_requests

    from dragonflycove.callers import gateway

SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
"""HTTP methods forwarded to plain services."""


def build_routes(
    node: gateway.Gateway, default_deadline_seconds: float, heartbeat_seconds: float
) -> list[routing.Route]:
    """Build the routes of the callers' interface.

    Args:
        node: The node that serves the requests.
        default_deadline_seconds: Deadline of a request without `X-Deadline-Seconds`, seconds.
        heartbeat_seconds: Interval of heartbeats in an idle stream, seconds.

    Returns:
        The routes for the node's HTTP application.
    """
    models = model_api.ModelApi(node, default_deadline_seconds, heartbeat_seconds)
    services = service_api.ServiceApi(node, default_deadline_seconds)

    async def look_up_addresses(request: http_requests.Request) -> responses.Response:
        found = node.lookup(request.query_params.get("zone", ""))
        addresses = [address._asdict() for address in found.addresses]
        return responses.JSONResponse({"addresses": addresses, "ttl_seconds": found.ttl_seconds})

    async def list_models(request: http_requests.Request) -> responses.Response:
        names = {
            model
            for service in node.configuration.services_by_name.values()
            for model in service.models
        }
        entries = [{"id": name, "object": "model"} for name in sorted(names)]
        return responses.JSONResponse({"object": "list", "data": entries})

    return [
        routing.Route("/v1/where", look_up_addresses, methods=["GET"]),
        routing.Route("/v1/models", list_models, methods=["GET"]),
        routing.Route("/v1/completions", models.completions, methods=["POST"]),
        routing.Route("/v1/chat/completions", models.chat_completions, methods=["POST"]),
        routing.Route("/v1/streams/{token}", models.resume, methods=["GET"]),
        routing.Route("/v1/services/{service}/{path:path}", services.call, methods=SERVICE_METHODS),
    ]
