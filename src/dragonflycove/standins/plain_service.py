"""Stand-in for a plain service: runs calls and counts the runs of each key."""

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
"""HTTP methods that it takes."""


class PlainParameters(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Parameters of a plain service."""

    service_seconds: float = 0.02
    """How long a call runs."""

    concurrency: int = 64
    """Calls that run at once; more wait."""

    load_lag_seconds: float = 0.5
    """Age of the load that it reports."""


class PlainService:
    """The calls that have run; it runs a key again each time it is asked to."""

    def __init__(self, parameters: PlainParameters, now: clock.Clock) -> None:
        """Create the service.

        Args:
            parameters: Its parameters.
            now: The clock.
        """
        self._parameters = parameters
        self._now = now
        self._slots = asyncio.Semaphore(parameters.concurrency)
        self._running = 0
        self._running_history: collections.deque[tuple[float, int]] = collections.deque()
        self._runs_by_key: collections.Counter[str] = collections.Counter()
        self._runs_by_call: collections.Counter[str] = collections.Counter()

    async def run(self, call: str, key: str) -> int:
        """Run a call.

        Args:
            call: Method and path.
            key: Idempotency key; empty for none.

        Returns:
            How often the key has run, this run included; 1 for a call without one.
        """
        self._note_running(1)
        try:
            async with self._slots:
                self._runs_by_call[call] += 1
                self._runs_by_key[key] += bool(key)
                runs = self._runs_by_key[key] if key else 1
                await asyncio.sleep(self._parameters.service_seconds)
                return runs
        finally:
            self._note_running(-1)

    def load(self) -> tuple[float, int]:
        """Return the time of the reported load and the calls running then."""
        measured_at = self._now() - self._parameters.load_lag_seconds
        self._trim_history(measured_at)
        known = self._running_history and self._running_history[0][0] <= measured_at
        return measured_at, self._running_history[0][1] if known else 0

    def activity(self) -> dict[str, Any]:
        """Return what the service has run, as what JSON can hold."""
        runs_by_key = {key: runs for key, runs in self._runs_by_key.items() if key}
        return {
            "executions_by_key": runs_by_key,
            "executions_by_call": dict(self._runs_by_call),
            "running": self._running,
        }

    def _note_running(self, change: int) -> None:
        """Change the number of running calls."""
        self._running += change
        now = self._now()
        self._running_history.append((now, self._running))
        self._trim_history(now - self._parameters.load_lag_seconds)

    def _trim_history(self, measured_at: float) -> None:
        """Drop what no report shows any more, but the last entry before the time."""
        history = self._running_history
        while len(history) > 1 and history[1][0] <= measured_at:
            history.popleft()


class PlainApp:
    """Translates between HTTP and a plain service."""

    def __init__(self, service: PlainService) -> None:
        """Create the interface of a plain service."""
        self._service = service

    def standin(self) -> serving.Standin:
        """Return the stand-in."""
        routes: list[routing.BaseRoute] = [
            routing.Route("/v1/load", self._load, methods=["GET"]),
            routing.Route("/{path:path}", self._run, methods=METHODS),
        ]
        return serving.Standin(routes, self._service.activity)

    async def _load(self, _: requests.Request) -> responses.Response:
        """Give the load."""
        measured_at, running = self._service.load()
        return serving.json_response({"measured_at": measured_at, "running": running})

    async def _run(self, request: requests.Request) -> responses.Response:
        """Run the call and give back what it was."""
        body = await request.body()
        key = request.headers.get("Idempotency-Key", "")
        path = request.url.path
        query = f"?{request.url.query}" if request.url.query else ""
        runs = await self._service.run(f"{request.method} {path}", key)
        answer = {
            "method": request.method,
            "path": path + query,
            "key": key,
            "body_bytes": len(body),
            "execution": runs,
        }
        return serving.json_response(answer)
