"""HTTP interface of the stand-in model engine: prompts and token streams."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec
import result
from starlette import responses, routing

from dragonflycove.infrastructure import weight_store_client
from dragonflycove.standins import (
    engine_control,
    engine_frames,
    engine_model,
    engine_parameters,
    engine_state,
    engine_streams,
    engine_wire,
    serving,
)
from dragonflycove.transport import sessions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp
    from starlette import requests

    from dragonflycove.standins import clock, connections, faults

WEIGHT_FETCH_TIMEOUT_SECONDS = 5.0
"""Timeout of one read of the weight store."""


class EngineApp:
    """Serves an `Engine` over HTTP."""

    def __init__(self, parameters: engine_parameters.EngineParameters, now: clock.Clock) -> None:
        """Create an engine and its HTTP interface.

        Args:
            parameters: The engine's parameters.
            now: Returns the time, seconds.
        """
        self.engine = engine_model.Engine(parameters, now)
        self._switches = engine_parameters.EngineSwitches()
        self._session: aiohttp.ClientSession | None = None
        self.reconciler = engine_state.StateReconciler(self.engine, self._fetch)
        control = engine_control.EngineControl(self.engine, self.reconciler)
        routes: list[routing.BaseRoute] = [
            routing.Route("/v1/completions", self._complete, methods=["POST"]),
            routing.Route("/v1/streams/{attempt:path}", self._resume, methods=["GET"]),
            *control.routes(),
        ]
        self._standin = serving.Standin(
            routes,
            self.engine.activity_to_json,
            engine_parameters.EngineSwitches,
            self._apply,
            self._run,
            lambda: self.engine.down_seconds,
        )
        self.engine.on_crash = self._standin.went_down.set

    def standin(self) -> serving.Standin:
        """Return the stand-in to be served."""
        return self._standin

    @contextlib.asynccontextmanager
    async def _run(self) -> AsyncIterator[None]:
        """Run the engine's steps and load weights while the context is open."""
        async with sessions.open_pooled() as session:
            self._session = session
            tasks = [
                asyncio.create_task(self.engine.run()),
                asyncio.create_task(self.reconciler.run()),
            ]
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    async def _fetch(self, name: str) -> engine_state.FetchedWeights | engine_state.FetchFailed:
        """Read weights from the store; without a store's address, they have size 0."""
        address = self.engine.parameters.weight_store
        if not address:
            return engine_state.FetchedWeights(0)
        assert self._session is not None
        client = weight_store_client.WeightStoreClient(self._session, address)
        fetched = await client.fetch(name, WEIGHT_FETCH_TIMEOUT_SECONDS)
        if isinstance(fetched, result.Ok):
            return engine_state.FetchedWeights(fetched.ok_value.units)
        return engine_state.FetchFailed(getattr(fetched.err_value, "retry_after_seconds", None))

    def _apply(self, switches: faults.Switches) -> None:
        """Apply the switches that only engines have."""
        if not isinstance(switches, engine_parameters.EngineSwitches):
            return
        self._switches = switches
        if switches.crash:
            self.engine.crash("switched")
        if switches.turn_cold:
            self.engine.turn_cold()

    async def _complete(self, request: requests.Request) -> responses.Response:
        """Submit the prompt in the body and stream its output."""
        attempt = request.headers.get("X-Attempt-Id", "")
        owner = request.headers.get("X-Owner", "")
        try:
            body = msgspec.json.decode(await request.body(), type=engine_wire.CompletionBody)
        except msgspec.MsgspecError as error:
            return _refuse(engine_streams.Rejection(400, str(error)))
        if not attempt or not owner or body["max_tokens"] < 1:
            return _refuse(
                engine_streams.Rejection(
                    400, "attempt or owner is missing, or max_tokens is below 1"
                )
            )
        marker = self.engine.parameters.crash_marker
        submission = engine_wire.parse_completion(body, attempt, owner, marker)
        stream = self.engine.submit(submission)
        if isinstance(stream, engine_streams.Rejection):
            return _refuse(stream)
        return self._stream(request, stream, 0)

    async def _resume(self, request: requests.Request) -> responses.Response:
        """Stream an attempt's output, starting at the token index in the query."""
        owner = request.headers.get("X-Owner")
        stream = self.engine.find(request.path_params["attempt"], owner)
        if stream is None:
            return _refuse(engine_streams.Rejection(404, "unknown attempt", ran="unknown"))
        try:
            from_index = int(request.query_params.get("from", "0"))
        except ValueError as error:
            return _refuse(engine_streams.Rejection(400, str(error), ran="unknown"))
        return self._stream(request, stream, from_index)

    def _stream(
        self, request: requests.Request, stream: engine_streams.Stream, from_index: int
    ) -> responses.Response:
        """Return the streaming response; reset the connection if the stream is already lost."""
        client = request.scope["client"]
        if stream.lost:
            self._standin.connections.reset(client)
        frames = self._frames(client, stream, from_index)
        return responses.StreamingResponse(frames, media_type="text/event-stream")

    async def _frames(
        self, client: connections.Client, stream: engine_streams.Stream, from_index: int
    ) -> AsyncIterator[bytes]:
        """Yield encoded frames and heartbeats; reset the connection if the stream is lost."""
        frame_faults = engine_frames.FrameFaults(self._switches)
        heartbeat_seconds = self.engine.parameters.heartbeat_seconds
        async for event in stream.follow(from_index, heartbeat_seconds):
            if isinstance(event, engine_streams.Lost):
                self._standin.connections.reset(client)
                return
            if isinstance(event, engine_streams.Idle):
                yield engine_frames.HEARTBEAT
                continue
            for token in frame_faults.apply(event):
                yield engine_frames.encode(token)
        self.engine.on_delivered(stream)


def _refuse(rejection: engine_streams.Rejection) -> responses.Response:
    """Return the response to a rejected request."""
    headers = {}
    if rejection.retry_after_seconds is not None:
        headers["Retry-After"] = f"{rejection.retry_after_seconds:g}"
    body = {"ran": rejection.ran, "error": rejection.reason}
    return serving.json_response(body, rejection.status, headers)
