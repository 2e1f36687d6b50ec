"""One HTTP request, sent at most once, with what is known of its effect."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

import aiohttp
import msgspec
import result
import yarl

from dragonflycove.transport import sessions

if TYPE_CHECKING:
    from collections.abc import Mapping


T = TypeVar("T")
"""Type of a decoded answer."""


class Cause(enum.Enum):
    """Why an exchange gave no usable answer."""

    UNREACHABLE = "unreachable"
    """No connection could be made, so nothing was sent."""

    BROKEN = "broken"
    """The connection ended before the whole answer had come."""

    TIMEOUT = "silent"
    """The answer did not come in time."""

    STATUS = "status"
    """The other end answered with a status that is no success."""

    MALFORMED = "malformed"
    """The answer does not have the form that the interface states."""


class NotExecuted(NamedTuple):
    """The request has certainly not taken effect."""

    cause: Cause
    """Kind of the failure."""

    reason: str
    """One sentence for logs."""

    retry_after_seconds: float | None = None
    """When the other end asked to come back, where it said so."""

    status: int = 0
    """HTTP status; 0 where there was none."""


class OutcomeUnknown(NamedTuple):
    """The request may have taken effect."""

    cause: Cause
    """Kind of the failure."""

    reason: str
    """One sentence for logs."""

    status: int = 0
    """HTTP status; 0 where there was none."""


ExchangeError = NotExecuted | OutcomeUnknown
"""Why an exchange gave no answer."""


class Reply(NamedTuple):
    """An answer of any status, read whole."""

    status: int
    """HTTP status."""

    headers: tuple[tuple[str, str], ...]
    """Headers in the order in which they came."""

    body: bytes
    """The body."""

    @property
    def retry_after_seconds(self) -> float | None:
        """The `Retry-After` header in seconds, where there is one."""
        for name, value in self.headers:
            if name.lower() == "retry-after":
                return parse_seconds(value)
        return None


class Request(NamedTuple):
    """A request to send."""

    method: str
    """HTTP method."""

    url: str
    """Absolute URL."""

    body: bytes | None = None
    """The body; `None` for none."""

    headers: tuple[tuple[str, str], ...] = ()
    """Headers."""

    @classmethod
    def from_json(
        cls, method: str, url: str, value: Any, headers: Mapping[str, str] | None = None
    ) -> Request:
        """Build a request with a JSON body.

        Args:
            method: HTTP method.
            url: Absolute URL.
            value: What to encode.
            headers: Further headers.

        Returns:
            The request.
        """
        content_type = ("Content-Type", "application/json")
        further = tuple((headers or {}).items())
        return cls(method, url, msgspec.json.encode(value), (content_type, *further))


async def exchange(
    session: aiohttp.ClientSession, request: Request, timeout_seconds: float
) -> result.Result[Reply, ExchangeError]:
    """Send a request once and read its whole answer.

    Args:
        session: Where connections come from.
        request: The request.
        timeout_seconds: Bound on the whole exchange.

    Returns:
        The answer whatever its status, or why there is none.
    """
    connect_seconds = timeout_seconds / 2
    try:
        async with (
            asyncio.timeout(timeout_seconds),
            session.request(
                request.method,
                yarl.URL(request.url, encoded=True),
                data=request.body,
                headers=request.headers,
                allow_redirects=False,
                timeout=sessions.connect_timeout(connect_seconds),
                middlewares=(sessions.SendOnce(),),
            ) as response,
        ):
            body = await response.read()
            return result.Ok(Reply(response.status, tuple(response.headers.items()), body))
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return result.Err(NotExecuted(Cause.UNREACHABLE, describe_error(error)))
    except TimeoutError:
        return result.Err(OutcomeUnknown(Cause.TIMEOUT, f"no whole answer in {timeout_seconds} s"))
    except (aiohttp.ClientError, OSError) as error:
        return result.Err(OutcomeUnknown(Cause.BROKEN, describe_error(error)))
    except ValueError as error:
        return result.Err(OutcomeUnknown(Cause.MALFORMED, describe_error(error)))


def check_status(reply: Reply) -> result.Result[Reply, ExchangeError]:
    """Sort an answer of the platform by its status.

    Args:
        reply: The answer.

    Returns:
        The answer if it is a success; `NotExecuted` for a 4xx status and 503, `OutcomeUnknown` for others.
    """
    if 200 <= reply.status < 300:
        return result.Ok(reply)
    reason = f"status {reply.status}: {reply.body[:200].decode(errors='replace')}"
    if 400 <= reply.status < 500 or reply.status == 503:
        retry_after = reply.retry_after_seconds
        return result.Err(NotExecuted(Cause.STATUS, reason, retry_after, reply.status))
    return result.Err(OutcomeUnknown(Cause.STATUS, reason, reply.status))


async def exchange_json(
    session: aiohttp.ClientSession, request: Request, shape: type[T], timeout_seconds: float
) -> result.Result[T, ExchangeError]:
    """Send a request once and decode the JSON of a success.

    Args:
        session: Where connections come from.
        request: The request.
        shape: Type of the answer.
        timeout_seconds: Bound on the whole exchange.

    Returns:
        The decoded answer, or why there is none.
    """
    answer = await exchange(session, request, timeout_seconds)
    judged = answer.and_then(check_status)
    return judged.and_then(lambda reply: decode(reply.body, shape))


def decode(body: bytes, shape: type[T]) -> result.Result[T, ExchangeError]:
    """Decode a JSON body.

    Args:
        body: The body.
        shape: Type to decode to.

    Returns:
        The value; `OutcomeUnknown` if the body does not have the shape.
    """
    try:
        return result.Ok(msgspec.json.decode(body, type=shape))
    except msgspec.MsgspecError as error:
        return result.Err(OutcomeUnknown(Cause.MALFORMED, describe_error(error)))


def parse_seconds(text: str) -> float | None:
    """Parse a number of seconds.

    Args:
        text: Text of a header.

    Returns:
        The seconds, or `None` if the text is no number of 0 or more.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 <= seconds < float("inf") else None


def describe_error(error: BaseException) -> str:
    """Return an exception's type and text."""
    return f"{type(error).__name__}: {error}"
