"""Fake node for tests of the real HTTP interface."""

from __future__ import annotations

import asyncio

import result

from dragonflycove.callers import gateway, streams
from dragonflycove.configuration import schema
from dragonflycove.values import outcomes

CONFIGURATION = schema.EMPTY._replace(
    version=1,
    services_by_name={
        "advice": schema.Service("advice", schema.ServiceKind.MODEL, (), ("herder-7",), ()),
        "orders": schema.Service(
            "orders",
            schema.ServiceKind.PLAIN,
            (),
            (),
            (schema.CallRule("GET", "/stock/*", True),),
        ),
    },
    organisations_by_name={"andrade": schema.Organisation("andrade", 1.0, 0.0)},
)


class FakeGateway:
    """Returns the events and outcomes that a test sets, and records the calls."""

    def __init__(self) -> None:
        self.configuration = CONFIGURATION
        self.refused: outcomes.Refused | None = None
        self.submit_refused: outcomes.Refused | None = None
        self.events: list[streams.CallerEvent] = []
        self.submitted = []
        self.resumed = []
        self.gone = []
        self.calls = []
        self.service_response = gateway.ServiceResponse(outcomes.Answered(200), 200, (), b"")
        self.where = gateway.LookupResult((), 1.0)

    def refusal(self):
        return self.refused

    def now(self):
        return asyncio.get_running_loop().time()

    async def submit(self, request, prompt):
        self.submitted.append((request, prompt))
        if self.submit_refused is not None:
            return result.Err(self.submit_refused)
        return result.Ok(self._open())

    def resume(self, token, from_index, model, prompt, deadline):
        self.resumed.append((token, from_index))
        return result.Ok(self._open())

    def _open(self):
        stream = streams.CallerStream()
        for event in self.events:
            stream.post(event)
        return gateway.OpenStream("request-1", stream)

    def on_caller_gone(self, opened):
        self.gone.append(opened.request_id)

    async def call_service(self, call, headers, body):
        self.calls.append((call, headers, body))
        return self.service_response

    def lookup(self, zone):
        self.where_zone = zone
        return self.where
