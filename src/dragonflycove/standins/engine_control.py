"""HTTP interface of the stand-in model engine: memory, KV cache transfer, state, reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import result
from starlette import routing

from dragonflycove.standins import engine_state, engine_streams, engine_wire, serving
from dragonflycove.transport import exchange, sessions

if TYPE_CHECKING:
    from starlette import requests, responses

    from dragonflycove.standins import engine_model

IMPORT_TIMEOUT_SECONDS = 5.0
"""Timeout of fetching an export from another engine; the simulated transfer time is extra."""


class EngineControl:
    """The endpoints of an engine that don't stream tokens."""

    def __init__(
        self, engine: engine_model.Engine, reconciler: engine_state.StateReconciler
    ) -> None:
        """Create the endpoints.

        Args:
            engine: The engine.
            reconciler: Holds the engine's desired and current state.
        """
        self._engine = engine
        self._reconciler = reconciler

    def routes(self) -> list[routing.BaseRoute]:
        """Return the routes of all these endpoints."""
        return [
            routing.Route("/v1/streams/{attempt:path}", self._cancel, methods=["DELETE"]),
            routing.Route("/v1/streams", self._list_streams, methods=["GET"]),
            routing.Route("/v1/load", self._load, methods=["GET"]),
            routing.Route("/v1/cache-events", self._cache_events, methods=["GET"]),
            routing.Route("/v1/reservations/{group:path}", self._reserve, methods=["PUT"]),
            routing.Route("/v1/reservations/{group:path}", self._unreserve, methods=["DELETE"]),
            routing.Route("/v1/exports/{attempt:path}", self._export, methods=["POST"]),
            routing.Route("/v1/exports/{export_id:path}", self._fetch_export, methods=["GET"]),
            routing.Route("/v1/exports/{export_id:path}", self._drop_export, methods=["DELETE"]),
            routing.Route("/v1/imports", self._import, methods=["POST"]),
            routing.Route("/v1/state", self._put_state, methods=["PUT"]),
            routing.Route("/v1/state", self._get_state, methods=["GET"]),
        ]

    async def _cancel(self, request: requests.Request) -> responses.Response:
        """Cancel the attempt in the path."""
        self._engine.cancel(request.path_params["attempt"])
        return serving.json_response({})

    async def _list_streams(self, _: requests.Request) -> responses.Response:
        """List the streams, exports and reservations, which occupy KV cache memory."""
        self._engine.expire()
        memory = self._engine.memory
        now = self._engine.now()
        streams = [
            {
                "attempt": stream.submission.attempt,
                "owner": stream.owner,
                "memory_tokens": memory.tokens_by_attempt.get(stream.submission.attempt, 0),
                "state": stream.state.value,
            }
            for stream in self._engine.table
        ]
        exports = [
            {
                "export_id": item.export_id,
                "attempt": item.submission.attempt,
                "owner": item.owner,
                "tokens": item.submission.memory_tokens,
            }
            for item in memory.exports_by_id.values()
        ]
        reservations = [
            {
                "group": item.group,
                "owner": item.owner,
                "tokens": item.tokens,
                "expires_in_seconds": item.expires_at - now,
            }
            for item in memory.reservations_by_group.values()
        ]
        body = {"start_id": self._engine.start_id, "streams": streams}
        return serving.json_response(body | {"exports": exports, "reservations": reservations})

    async def _load(self, _: requests.Request) -> responses.Response:
        """Return the load report, which is `load_lag_seconds` old."""
        measured_at, load = self._engine.load()
        return serving.json_response({"measured_at": measured_at} | load._asdict())

    async def _cache_events(self, request: requests.Request) -> responses.Response:
        """Return the cache events, starting at the sequence number in the query."""
        try:
            seq = int(request.query_params.get("from", "0"))
        except ValueError as error:
            return serving.json_response({"error": str(error)}, 400)
        page = self._engine.cache.events_from(seq)
        events = [
            {"seq": event.seq, "kind": event.kind, "hashes": event.hashes} for event in page.events
        ]
        body = {"first": page.first, "next": page.next_seq, "events": events}
        return serving.json_response(body)

    async def _reserve(self, request: requests.Request) -> responses.Response:
        """Reserve memory for the group in the path."""
        try:
            body = msgspec.json.decode(await request.body(), type=engine_wire.ReservationBody)
        except msgspec.MsgspecError as error:
            return serving.json_response({"error": str(error)}, 400)
        group = request.path_params["group"]
        status = self._engine.reserve(
            group, body["owner"], body["tokens"], body["expires_in_seconds"]
        )
        return serving.json_response({}, status)

    async def _unreserve(self, request: requests.Request) -> responses.Response:
        """Drop the reservation of the group in the path."""
        self._engine.unreserve(request.path_params["group"])
        return serving.json_response({})

    async def _export(self, request: requests.Request) -> responses.Response:
        """Export the KV cache of the attempt in the path."""
        attempt = request.path_params["attempt"]
        item = self._engine.export(attempt)
        if item is None:
            status = 409 if self._engine.find(attempt, None) else 404
            return serving.json_response({"error": "no such running attempt"}, status)
        body = {"export_id": item.export_id, "tokens": item.submission.memory_tokens}
        return serving.json_response(body)

    async def _fetch_export(self, request: requests.Request) -> responses.Response:
        """Return the export in the path to the engine that imports it."""
        self._engine.expire()
        exports_by_id = self._engine.memory.exports_by_id
        item = exports_by_id.get(request.path_params["export_id"])
        if item is None:
            return serving.json_response({"error": "no such export"}, 404)
        return serving.json_response(engine_wire.encode_export(item))

    async def _drop_export(self, request: requests.Request) -> responses.Response:
        """Drop the export in the path."""
        self._engine.drop_export(request.path_params["export_id"])
        return serving.json_response({})

    async def _import(self, request: requests.Request) -> responses.Response:
        """Fetch an export from another engine and continue its stream here."""
        try:
            body = msgspec.json.decode(await request.body(), type=engine_wire.ImportBody)
        except msgspec.MsgspecError as error:
            return serving.json_response({"error": str(error)}, 400)
        url = f"http://{body['source']}/v1/exports/{body['export_id']}"
        async with sessions.open_unpooled() as session:
            fetched = await exchange.exchange_json(
                session,
                exchange.Request("GET", url),
                engine_wire.ExportedCache,
                IMPORT_TIMEOUT_SECONDS,
            )
        if isinstance(fetched, result.Err):
            return serving.json_response({"error": fetched.err_value.reason}, 404)
        item = engine_wire.parse_export(body["export_id"], fetched.ok_value)
        rate = self._engine.parameters.import_tokens_per_second
        await asyncio.sleep(item.submission.memory_tokens / rate)
        owner = request.headers.get("X-Owner", item.owner)
        stream = self._engine.import_stream(item, body["attempt"], owner)
        if isinstance(stream, engine_streams.Rejection):
            return serving.json_response({"error": stream.reason}, stream.status)
        return serving.json_response({})

    async def _put_state(self, request: requests.Request) -> responses.Response:
        """Set the desired state, unless its fencing token is outdated."""
        try:
            body = msgspec.json.decode(await request.body(), type=engine_wire.StateBody)
        except msgspec.MsgspecError as error:
            return serving.json_response({"error": str(error)}, 400)
        desired = engine_state.EngineState(
            body["fencing"],
            tuple(body["models"]),
            tuple(body["adapters"]),
            body["versions"],
            body["role"],
        )
        if not self._reconciler.put(desired):
            return serving.json_response({"error": "outdated fencing token"}, 412)
        return serving.json_response({"applied": True})

    async def _get_state(self, _: requests.Request) -> responses.Response:
        """Return the current state."""
        return serving.json_response(self._reconciler.current._asdict())
