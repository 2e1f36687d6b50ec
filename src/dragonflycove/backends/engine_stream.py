"""Token streams of a model engine, read as typed events."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, NamedTuple, TypedDict

import aiohttp
import msgspec
import yarl

from dragonflycove.transport import exchange, sessions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

DATA_PREFIX = b"data:"
"""Start of a line of a server-sent event that carries data."""

COMMENT_PREFIX = b":"
"""Start of a line that carries nothing but shows that the connection lives."""

MAX_LINE_BYTES = 262_144
"""Longest line that is not yet whole, bytes."""

REFUSAL_STATUSES = range(400, 500)
"""Statuses by which an engine refuses a request; 503 is one more."""

HTTP_UNAVAILABLE = 503
"""Status of an engine that is cold or loading."""


class BrokenKind(enum.Enum):
    """How a stream broke off."""

    UNREACHABLE = "unreachable"
    """No connection could be made, so nothing was sent."""

    CRASHED = "crashed"
    """The connection ended in the middle."""

    TIMEOUT = "silent"
    """The connection made no progress."""

    ERROR = "error"
    """The engine answered with an error or with what the interface does not allow."""


class Frame(NamedTuple):
    """One token of an attempt, perhaps of another attempt than the stream's own."""

    attempt: str
    """Identifier of the attempt that the token belongs to."""

    index: int  # type: ignore[assignment]
    """Its place in the attempt's answer, from 0."""

    token: str
    """Its text."""

    finish: str | None
    """Why the answer ends with it; `None` if more follows."""


class Heartbeat(NamedTuple):
    """The engine has nothing to send, and the connection lives."""


class Refused(NamedTuple):
    """The engine refused the request. Ends the stream."""

    status: int
    """HTTP status."""

    not_executed: bool
    """Whether the engine said that the request did not run."""

    retry_after_seconds: float | None
    """When the engine asked to come back, where it said so."""


class Broken(NamedTuple):
    """The stream broke off. Ends the stream."""

    kind: BrokenKind
    """How."""

    sent: bool
    """Whether the request, or part of it, may have reached the engine."""

    detail: str = ""
    """One sentence for logs."""


class Ended(NamedTuple):
    """The stream ended after the last frame of its own attempt. Ends the stream."""


StreamEvent = Frame | Heartbeat | Refused | Broken | Ended
"""What a stream gives."""


class StreamTimeouts(NamedTuple):
    """Bounds on a stream."""

    connect_seconds: float
    """Longest time to make the connection."""

    silence_seconds: float
    """Longest time without a byte."""

    total_seconds: float
    """Longest time in all; when it is over the stream counts as silent."""


class _WireFrame(TypedDict):
    """A frame as an engine sends it."""

    attempt: str
    index: int  # type: ignore[assignment]
    token: str
    finish: str | None


class _WireRefusal(TypedDict, total=False):
    """Body of an engine's refusal."""

    ran: str


class EngineStream:
    """One connection to an engine that carries the tokens of one attempt."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        request: exchange.Request,
        attempt: str,
        timeouts: StreamTimeouts,
    ) -> None:
        """Create the stream.

        Args:
            session: Where the connection comes from.
            request: The request that opens the stream.
            attempt: Identifier of the stream's own attempt.
            timeouts: Bounds.
        """
        self._session = session
        self._request = request
        self._attempt = attempt
        self._timeouts = timeouts
        self._ends_at = asyncio.get_running_loop().time() + timeouts.total_seconds
        self._finished = False
        self._partial_line = b""

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Send the request once and give the events; close the iterator to drop the connection.

        Yields:
            Frames and heartbeats, then one terminal event.
        """
        response = await self._open()
        if isinstance(response, Broken):
            yield response
            return
        try:
            if response.status != 200:
                yield await self._read_refusal(response)
                return
            while True:
                lines = await self._read_lines(response)
                if not isinstance(lines, list):
                    yield lines
                    return
                for line in lines:
                    event = self._parse_line(line)
                    if event is None:
                        continue
                    yield event
                    if isinstance(event, Broken):
                        return
        finally:
            response.close()

    async def _open(self) -> aiohttp.ClientResponse | Broken:
        """Send the request and wait for the status."""
        try:
            async with asyncio.timeout(self._silence_bound()):
                return await self._session.request(
                    self._request.method,
                    yarl.URL(self._request.url, encoded=True),
                    data=self._request.body,
                    headers=self._request.headers,
                    allow_redirects=False,
                    timeout=sessions.connect_timeout(self._timeouts.connect_seconds),
                    middlewares=(sessions.SendOnce(),),
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Broken(BrokenKind.UNREACHABLE, sent=False, detail=exchange.describe_error(error))
        except TimeoutError:
            return Broken(BrokenKind.TIMEOUT, sent=True, detail="no status in time")
        except (aiohttp.ClientError, OSError) as error:
            return Broken(BrokenKind.CRASHED, sent=True, detail=exchange.describe_error(error))
        except ValueError as error:
            return Broken(BrokenKind.ERROR, sent=True, detail=exchange.describe_error(error))

    async def _read_lines(self, response: aiohttp.ClientResponse) -> list[bytes] | Ended | Broken:
        """Read what has come, and return the lines that are whole."""
        try:
            async with asyncio.timeout(self._silence_bound()):
                chunk = await response.content.readany()
        except TimeoutError:
            return self._end_or(BrokenKind.TIMEOUT, "no byte in time")
        except (aiohttp.ClientError, OSError) as error:
            return self._end_or(BrokenKind.CRASHED, exchange.describe_error(error))
        if not chunk:
            return self._end_or(BrokenKind.CRASHED, "the stream ended before its last frame")
        lines = (self._partial_line + chunk).split(b"\n")
        self._partial_line = lines.pop()
        if len(self._partial_line) > MAX_LINE_BYTES:
            return Broken(BrokenKind.ERROR, sent=True, detail="a line is too long")
        return lines

    def _parse_line(self, line: bytes) -> StreamEvent | None:
        """Parse one line of a server-sent event stream; `None` for one that carries nothing."""
        if line.startswith(COMMENT_PREFIX):
            return Heartbeat()
        if not line.startswith(DATA_PREFIX):
            return None
        try:
            wire = msgspec.json.decode(line[len(DATA_PREFIX) :], type=_WireFrame)
        except msgspec.MsgspecError as error:
            return Broken(BrokenKind.ERROR, sent=True, detail=exchange.describe_error(error))
        frame = Frame(wire["attempt"], wire["index"], wire["token"], wire["finish"])
        if frame.attempt == self._attempt and frame.finish is not None:
            self._finished = True
        return frame

    async def _read_refusal(self, response: aiohttp.ClientResponse) -> Refused | Broken:
        """Read the body of an answer that is no stream."""
        status = response.status
        if status not in REFUSAL_STATUSES and status != HTTP_UNAVAILABLE:
            return Broken(BrokenKind.ERROR, sent=True, detail=f"status {status}")
        try:
            async with asyncio.timeout(self._silence_bound()):
                body = await response.read()
            ran = msgspec.json.decode(body, type=_WireRefusal).get("ran", "")
        except (TimeoutError, aiohttp.ClientError, OSError, msgspec.MsgspecError):
            ran = ""
        retry_after = exchange.parse_seconds(response.headers.get("Retry-After", ""))
        not_run = ran == "not_run" or status == 429
        return Refused(status, not_run, retry_after)

    def _end_or(self, kind: BrokenKind, detail: str) -> Ended | Broken:
        """Return the end if the last frame has come, else the break."""
        if self._finished:
            return Ended()
        return Broken(kind, sent=True, detail=detail)

    def _silence_bound(self) -> float:
        """Return how long the next event may take, seconds."""
        remaining = self._ends_at - asyncio.get_running_loop().time()
        return max(0.0, min(self._timeouts.silence_seconds, remaining))
