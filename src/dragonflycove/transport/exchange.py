"""HTTP requests that are sent at most once; errors state whether the request took effect."""

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
"""Type of a decoded response body."""


class Cause(enum.Enum):
    """Why an exchange returned no usable response."""

    UNREACHABLE = "unreachable"
    """The connection could not be opened, so nothing was sent."""

    BROKEN = "broken"
    """The connection was closed or reset before the response was complete."""

    TIMEOUT = "silent"
    """The response was not complete within the timeout."""

    STATUS = "status"
    """The response has a status other than 2xx."""

    MALFORMED = "malformed"
    """The request or response violates the protocol, or its body can't be decoded."""


class NotExecuted(NamedTuple):
    """The request certainly did not take effect."""

    cause: Cause
    """Why the exchange failed."""

    reason: str
    """One sentence for logs."""

    retry_after_seconds: float | None = None
    """The response's `Retry-After` in seconds; None if not given."""

    status: int = 0
    """HTTP status; 0 if no response was received."""


class OutcomeUnknown(NamedTuple):
    """The request may have taken effect."""

    cause: Cause
    """Why the exchange failed."""

    reason: str
    """One sentence for logs."""

    status: int = 0
    """HTTP status; 0 if no response was received."""


ExchangeError = NotExecuted | OutcomeUnknown
"""Why an exchange returned no response."""


class Response(NamedTuple):
    """A complete response of any status."""

    status: int
    """HTTP status code."""

    headers: tuple[tuple[str, str], ...]
    """Headers in the order in which they were received."""

    body: bytes
    """The body, still encoded if it has a `Content-Encoding`."""

    @property
    def retry_after_seconds(self) -> float | None:
        """`Retry-After` in seconds; None if it is missing or not a number."""
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
    """The body; None for a request without one."""

    headers: tuple[tuple[str, str], ...] = ()
    """Headers in the order in which they are sent."""

    @classmethod
    def from_json(
        cls, method: str, url: str, value: Any, headers: Mapping[str, str] | None = None
    ) -> Request:
        """Build a request with a JSON body.

        Args:
            method: HTTP method.
            url: Absolute URL.
            value: Value to encode as the JSON body.
            headers: Headers to send after `Content-Type`.

        Returns:
            The request.
        """
        content_type = ("Content-Type", "application/json")
        extra_headers = tuple((headers or {}).items())
        return cls(method, url, msgspec.json.encode(value), (content_type, *extra_headers))


async def exchange(
    session: aiohttp.ClientSession, request: Request, timeout_seconds: float
) -> result.Result[Response, ExchangeError]:
    """Send a request once and read the complete response.

    Args:
        session: Session that provides the connection.
        request: The request.
        timeout_seconds: Timeout of the complete exchange; half of it is the timeout for connecting.

    Returns:
        The response of any status, or why no complete response was received.
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
            return result.Ok(Response(response.status, tuple(response.headers.items()), body))
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return result.Err(NotExecuted(Cause.UNREACHABLE, describe_error(error)))
    except TimeoutError:
        return result.Err(
            OutcomeUnknown(Cause.TIMEOUT, f"no complete response within {timeout_seconds} s")
        )
    except (aiohttp.ClientError, OSError) as error:
        return result.Err(OutcomeUnknown(Cause.BROKEN, describe_error(error)))
    except ValueError as error:
        return result.Err(OutcomeUnknown(Cause.MALFORMED, describe_error(error)))


def check_status(response: Response) -> result.Result[Response, ExchangeError]:
    """Turn a response with a status other than 2xx into an error.

    Args:
        response: The response.

    Returns:
        The response if its status is 2xx; `NotExecuted` for 4xx and 503, `OutcomeUnknown` for
        all others.
    """
    if 200 <= response.status < 300:
        return result.Ok(response)
    reason = f"status {response.status}: {response.body[:200].decode(errors='replace')}"
    if 400 <= response.status < 500 or response.status == 503:
        retry_after = response.retry_after_seconds
        return result.Err(NotExecuted(Cause.STATUS, reason, retry_after, response.status))
    return result.Err(OutcomeUnknown(Cause.STATUS, reason, response.status))


async def exchange_json(
    session: aiohttp.ClientSession, request: Request, body_type: type[T], timeout_seconds: float
) -> result.Result[T, ExchangeError]:
    """Send a request once and decode the JSON body of a 2xx response.

    Args:
        session: Session that provides the connection.
        request: The request.
        body_type: Type to decode the body to.
        timeout_seconds: Timeout of the complete exchange.

    Returns:
        The decoded body, or why the exchange failed.
    """
    response = await exchange(session, request, timeout_seconds)
    successful = response.and_then(check_status)
    return successful.and_then(lambda success: decode(success.body, body_type))


def decode(body: bytes, body_type: type[T]) -> result.Result[T, ExchangeError]:
    """Decode a JSON body.

    Args:
        body: The body of a response.
        body_type: Type to decode to.

    Returns:
        The value; `OutcomeUnknown` if the body is not JSON of that type.
    """
    try:
        return result.Ok(msgspec.json.decode(body, type=body_type))
    except msgspec.MsgspecError as error:
        return result.Err(OutcomeUnknown(Cause.MALFORMED, describe_error(error)))


def parse_seconds(text: str) -> float | None:
    """Parse the seconds of a header such as `Retry-After`.

    Args:
        text: Value of the header.

    Returns:
        The seconds; None if the text is not a finite number of at least 0.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 <= seconds < float("inf") else None


def describe_error(error: BaseException) -> str:
    """Return an exception's type and message for a log line."""
    return f"{type(error).__name__}: {error}"
