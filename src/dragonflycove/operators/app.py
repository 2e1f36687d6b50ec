"""HTTP routes of the operators' API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette import responses, routing

from dragonflycove.configuration import edits
from dragonflycove.operators import status

if TYPE_CHECKING:
    from starlette import requests as http_requests


def build_routes(source: status.StatusSource) -> list[routing.Route]:
    """Build the routes for status and configuration of a node.

    Args:
        source: Source of the node's state.

    Returns:
        Routes for `GET` requests, with JSON responses.
    """

    async def show_status(request: http_requests.Request) -> responses.Response:
        return responses.JSONResponse(status.to_value(source.describe()))

    async def show_configuration(request: http_requests.Request) -> responses.Response:
        state = source.acceptance_state()
        snapshot = state.snapshot
        fields = {
            "version": snapshot.version,
            "rule": snapshot.rule,
            "next_offset": snapshot.next_offset,
            "anchored": state.anchored,
            "ignored_records": state.ignored_records,
            "zones_out": list(snapshot.zones_out),
            "text": edits.render_text(snapshot),
            "operations": [outcome._asdict() for outcome in snapshot.outcomes],
        }
        return responses.JSONResponse(fields)

    return [
        routing.Route("/v1/operator/status", show_status, methods=["GET"]),
        routing.Route("/v1/operator/configuration", show_configuration, methods=["GET"]),
    ]
