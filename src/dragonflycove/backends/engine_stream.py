"""Server-sent token streams of a model engine, decoded into typed events."""

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
"""Prefix of an SSE data line."""

COMMENT_PREFIX = b":"
"""Prefix of an SSE comment line, which engines send as a heartbeat."""

MAX_LINE_BYTES = 262_144
"""Maximum size of a line still being received, bytes."""

REFUSAL_STATUSES = range(400, 500)
"""HTTP statuses with which an engine refuses a request, besides 503."""

HTTP_UNAVAILABLE = 503
"""HTTP status of an engine that is cold or still loading."""


class StreamFailureKind(enum.Enum):
    """Why a stream failed."""

    UNREACHABLE = "unreachable"
    """No connection could be made, so nothing was sent."""

    CRASHED = "crashed"
    """The connection ended before the last frame."""

    TIMEOUT = "silent"
    """No data arrived within the timeout."""

    ERROR = "error"
    """The engine sent an error status or malformed data."""


class Frame(NamedTuple):
    """One output token; a faulty engine may send one of another attempt."""

    attempt: str
    """Identifier of the attempt that the token belongs to."""

    index: int  # type: ignore[assignment]
    """Position in the attempt's output, from 0."""

    token: str
    """Text of the token."""

    finish: str | None
    """Finish reason if this is the last token, else `None`."""


class Heartbeat(NamedTuple):
    """A comment line: the engine has no token yet, but the connection is alive."""


class Refused(NamedTuple):
    """The engine refused the request. Last event of the stream."""

    status: int
    """HTTP status of the refusal."""

    not_executed: bool
    """Whether the request certainly did not run, by the response body or status 429."""

    retry_after_seconds: float | None
    """Value of the `Retry-After` header; `None` without one."""


class StreamFailed(NamedTuple):
    """The stream failed before the attempt's last frame. Last event of the stream."""

    kind: StreamFailureKind
    """Why it failed."""

    sent: bool
    """Whether the request, or part of it, may have reached the engine."""

    detail: str = ""
    """Description for logs."""


class Ended(NamedTuple):
    """The connection ended after the attempt's last frame. Last event of the stream."""


StreamEvent = Frame | Heartbeat | Refused | StreamFailed | Ended
"""Event of a stream; `Refused`, `StreamFailed` and `Ended` are terminal."""


class StreamTimeouts(NamedTuple):
    """Timeouts of a stream, seconds."""

    connect_seconds: float
    """Timeout for opening the connection."""

    idle_seconds: float
    """Maximum time without a byte from the engine."""

    total_seconds: float
    """Maximum duration of the stream; exceeding it gives `StreamFailureKind.TIMEOUT`."""


class _WireFrame(TypedDict):
    """JSON object of a frame."""

    attempt: str
    index: int  # type: ignore[assignment]
    token: str
    finish: str | None


class _WireRefusal(TypedDict, total=False):
    """JSON body of a refusal."""

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
        """Create the stream; its total timeout starts now.

        Args:
            session: Session that opens the connection.
            request: The request that opens the stream.
            attempt: Identifier of the attempt whose last frame ends the stream.
            timeouts: Timeouts of the stream.
        """
        self._session = session
        self._request = request
        self._attempt = attempt
        self._timeouts = timeouts
        self._ends_at = asyncio.get_running_loop().time() + timeouts.total_seconds
        self._finished = False
        self._partial_line = b""

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Send the request once and yield the events; closing the iterator closes the connection.

        Yields:
            Frames and heartbeats, then one terminal event.
        """
        response = await self._open()
        if isinstance(response, StreamFailed):
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
                    if isinstance(event, StreamFailed):
                        return
        finally:
            response.close()

    async def _open(self) -> aiohttp.ClientResponse | StreamFailed:
        """Send the request and wait for the response head."""
        try:
            async with asyncio.timeout(self._read_timeout_seconds()):
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
            return StreamFailed(
                StreamFailureKind.UNREACHABLE, sent=False, detail=exchange.describe_error(error)
            )
        except TimeoutError:
            return StreamFailed(
                StreamFailureKind.TIMEOUT, sent=True, detail="no response head within the timeout"
            )
        except (aiohttp.ClientError, OSError) as error:
            return StreamFailed(
                StreamFailureKind.CRASHED, sent=True, detail=exchange.describe_error(error)
            )
        except ValueError as error:
            return StreamFailed(
                StreamFailureKind.ERROR, sent=True, detail=exchange.describe_error(error)
            )

    async def _read_lines(
        self, response: aiohttp.ClientResponse
    ) -> list[bytes] | Ended | StreamFailed:
        """Read the next bytes and return the lines that they complete."""
        try:
            async with asyncio.timeout(self._read_timeout_seconds()):
                chunk = await response.content.readany()
        except TimeoutError:
            return self._ended_or_failed(StreamFailureKind.TIMEOUT, "no byte within the timeout")
        except (aiohttp.ClientError, OSError) as error:
            return self._ended_or_failed(StreamFailureKind.CRASHED, exchange.describe_error(error))
        if not chunk:
            return self._ended_or_failed(
                StreamFailureKind.CRASHED, "the stream ended before its last frame"
            )
        lines = (self._partial_line + chunk).split(b"\n")
        self._partial_line = lines.pop()
        if len(self._partial_line) > MAX_LINE_BYTES:
            return StreamFailed(
                StreamFailureKind.ERROR, sent=True, detail="a line exceeds the size limit"
            )
        return lines

    def _parse_line(self, line: bytes) -> StreamEvent | None:
        """Parse one SSE line; `None` if it is neither data nor a comment."""
        if line.startswith(COMMENT_PREFIX):
            return Heartbeat()
        if not line.startswith(DATA_PREFIX):
            return None
        try:
            wire = msgspec.json.decode(line[len(DATA_PREFIX) :], type=_WireFrame)
        except msgspec.MsgspecError as error:
            return StreamFailed(
                StreamFailureKind.ERROR, sent=True, detail=exchange.describe_error(error)
            )
        frame = Frame(wire["attempt"], wire["index"], wire["token"], wire["finish"])
        if frame.attempt == self._attempt and frame.finish is not None:
            self._finished = True
        return frame

    async def _read_refusal(self, response: aiohttp.ClientResponse) -> Refused | StreamFailed:
        """Turn a response with another status than 200 into the terminal event."""
        status = response.status
        if status not in REFUSAL_STATUSES and status != HTTP_UNAVAILABLE:
            return StreamFailed(StreamFailureKind.ERROR, sent=True, detail=f"status {status}")
        try:
            async with asyncio.timeout(self._read_timeout_seconds()):
                body = await response.read()
            ran = msgspec.json.decode(body, type=_WireRefusal).get("ran", "")
        except (TimeoutError, aiohttp.ClientError, OSError, msgspec.MsgspecError):
            ran = ""
        retry_after = exchange.parse_seconds(response.headers.get("Retry-After", ""))
        not_run = ran == "not_run" or status == 429
        return Refused(status, not_run, retry_after)

    def _ended_or_failed(self, kind: StreamFailureKind, detail: str) -> Ended | StreamFailed:
        """Return `Ended` if the attempt's last frame has arrived, else `StreamFailed`."""
        if self._finished:
            return Ended()
        return StreamFailed(kind, sent=True, detail=detail)

    def _read_timeout_seconds(self) -> float:
        """Return the timeout of the next read, limited by the total timeout, seconds."""
        remaining = self._ends_at - asyncio.get_running_loop().time()
        return max(0.0, min(self._timeouts.idle_seconds, remaining))
