"""Builds servers, configurations and requests for the tests of admission and routing."""

from __future__ import annotations

from dragonflycove.configuration import schema
from dragonflycove.values import requests

MODEL = "m"


def make_server(server_id: str, **changes: object) -> schema.Server:
    server = schema.Server(
        server_id, "answers", "z1", "127.0.0.1:1", (MODEL,), 100_000, 10_000.0, 4, 1, 5, True, False
    )
    return server._replace(**changes)


def make_configuration(*servers: schema.Server, weights: dict[str, float] | None = None, **changes):
    organisations_by_name = {
        name: schema.Organisation(name, weight, 0.0)
        for name, weight in (weights or {"a": 1, "b": 1}).items()
    }
    service = schema.Service("answers", schema.ServiceKind.MODEL, (), (MODEL,), ())
    configuration = schema.Configuration(
        1,
        {"answers": service},
        ("z1", "z2"),
        {server.server_id: server for server in servers},
        organisations_by_name,
        frozenset(),
    )
    return configuration._replace(**changes)


def make_request(request_id: str, tokens: int = 1_000, **changes: object) -> requests.ModelRequest:
    request = requests.ModelRequest(
        request_id, "a", "answers", MODEL, tokens, 30, (), requests.Urgency.INTERACTIVE, 60.0
    )
    return request._replace(**changes)
