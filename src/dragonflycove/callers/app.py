"""The callers' HTTP application."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette import responses, routing

from dragonflycove.callers import model_api, service_api

if TYPE_CHECKING:
    from starlette import requests as http_requests

    from dragonflycove.callers import gateway

SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
"""Methods that are passed through to plain services."""


def build_routes(
    node: gateway.Gateway, default_deadline_seconds: float, heartbeat_seconds: float
) -> list[routing.Route]:
    """Build the routes for callers.

    Args:
        node: The node behind them.
        default_deadline_seconds: Time for a request that names none, seconds.
        heartbeat_seconds: Time between heartbeats, seconds.

    Returns:
        The routes.
    """
    models = model_api.ModelApi(node, default_deadline_seconds, heartbeat_seconds)
    services = service_api.ServiceApi(node, default_deadline_seconds)

    async def where(request: http_requests.Request) -> responses.Response:
        answer = node.lookup(request.query_params.get("zone", ""))
        addresses = [address._asdict() for address in answer.addresses]
        return responses.JSONResponse({"addresses": addresses, "ttl_seconds": answer.ttl_seconds})

    async def list_models(request: http_requests.Request) -> responses.Response:
        names = {
            model
            for service in node.configuration.services_by_name.values()
            for model in service.models
        }
        entries = [{"id": name, "object": "model"} for name in sorted(names)]
        return responses.JSONResponse({"object": "list", "data": entries})

    return [
        routing.Route("/v1/where", where, methods=["GET"]),
        routing.Route("/v1/models", list_models, methods=["GET"]),
        routing.Route("/v1/completions", models.completions, methods=["POST"]),
        routing.Route("/v1/chat/completions", models.chat_completions, methods=["POST"]),
        routing.Route("/v1/streams/{token}", models.resume, methods=["GET"]),
        routing.Route("/v1/services/{service}/{path:path}", services.call, methods=SERVICE_METHODS),
    ]
