"""Stand-in for a plain service: executes calls and counts the executions of each key."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Any

import msgspec
from starlette import routing

from dragonflycove.standins import serving

if TYPE_CHECKING:
    from starlette import requests, responses

    from dragonflycove.standins import clock

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
"""HTTP methods that the service accepts on any path."""


class PlainParameters(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Parameters of a plain service."""

    service_seconds: float = 0.02
    """Execution time of a call."""

    concurrency: int = 64
    """Maximum number of calls executed concurrently; further calls wait."""

    load_lag_seconds: float = 0.5
    """Age of the reported load."""


class PlainService:
    """Executes calls, without deduplication: a repeated key is executed again and counted."""

    def __init__(self, parameters: PlainParameters, now: clock.Clock) -> None:
        """Create the service.

        Args:
            parameters: The service's parameters.
            now: Returns the time, seconds.
        """
        self._parameters = parameters
        self._now = now
        self._slots = asyncio.Semaphore(parameters.concurrency)
        self._running = 0
        self._running_history: collections.deque[tuple[float, int]] = collections.deque()
        self._runs_by_key: collections.Counter[str] = collections.Counter()
        self._runs_by_call: collections.Counter[str] = collections.Counter()

    async def run(self, call: str, key: str) -> int:
        """Execute a call.

        Args:
            call: Method and path.
            key: Idempotency key; empty for none.

        Returns:
            Number of executions of the key including this one; 1 for a call without a key.
        """
        self._change_running(1)
        try:
            async with self._slots:
                self._runs_by_call[call] += 1
                self._runs_by_key[key] += bool(key)
                runs = self._runs_by_key[key] if key else 1
                await asyncio.sleep(self._parameters.service_seconds)
                return runs
        finally:
            self._change_running(-1)

    def load(self) -> tuple[float, int]:
        """Return the time that the reported load describes and the number of calls at that time."""
        measured_at = self._now() - self._parameters.load_lag_seconds
        self._trim_history(measured_at)
        has_sample = self._running_history and self._running_history[0][0] <= measured_at
        return measured_at, self._running_history[0][1] if has_sample else 0

    def activity(self) -> dict[str, Any]:
        """Return the execution counts and the number of unfinished calls as values for JSON."""
        runs_by_key = {key: runs for key, runs in self._runs_by_key.items() if key}
        return {
            "executions_by_key": runs_by_key,
            "executions_by_call": dict(self._runs_by_call),
            "running": self._running,
        }

    def _change_running(self, change: int) -> None:
        """Change the number of running and waiting calls, and add it to the history."""
        self._running += change
        now = self._now()
        self._running_history.append((now, self._running))
        self._trim_history(now - self._parameters.load_lag_seconds)

    def _trim_history(self, measured_at: float) -> None:
        """Drop entries before a time, except the last one, which gives the number at that time."""
        history = self._running_history
        while len(history) > 1 and history[1][0] <= measured_at:
            history.popleft()


class PlainApp:
    """Serves a `PlainService` over HTTP."""

    def __init__(self, service: PlainService) -> None:
        """Create the HTTP interface of a plain service."""
        self._service = service

    def standin(self) -> serving.Standin:
        """Return the stand-in to be served."""
        routes: list[routing.BaseRoute] = [
            routing.Route("/v1/load", self._load, methods=["GET"]),
            routing.Route("/{path:path}", self._run, methods=METHODS),
        ]
        return serving.Standin(routes, self._service.activity)

    async def _load(self, _: requests.Request) -> responses.Response:
        """Return the load report, which is `load_lag_seconds` old."""
        measured_at, running = self._service.load()
        return serving.json_response({"measured_at": measured_at, "running": running})

    async def _run(self, request: requests.Request) -> responses.Response:
        """Execute the call and return a description of it with its execution count."""
        body = await request.body()
        key = request.headers.get("Idempotency-Key", "")
        path = request.url.path
        query = f"?{request.url.query}" if request.url.query else ""
        runs = await self._service.run(f"{request.method} {path}", key)
        description = {
            "method": request.method,
            "path": path + query,
            "key": key,
            "body_bytes": len(body),
            "execution": runs,
        }
        return serving.json_response(description)
