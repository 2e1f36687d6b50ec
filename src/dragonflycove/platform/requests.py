"""Decodes callers' requests and servers' answers, and encodes what is sent in their place."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from dragonflycove.fleet import catalog, forwarding
from dragonflycove.telemetry import logs
from dragonflycove.transport import http1

if TYPE_CHECKING:
    from collections.abc import Iterable


_ATTEMPT_ID = b"x-attempt-id"
_DEADLINE = b"x-deadline-ms"
_KEY = b"x-api-key"
_ORGANISATION = b"x-tenant"
_EXPECTED_SERVER = b"x-expect-instance"
_PRIORITY = b"x-request-priority"
_HELPERS = b"x-helpers"
_TOKENS = b"x-token-counts"
_LENGTH_HINT = b"x-length-hint"
_LAST_EVENT = b"last-event-id"
_STAMP = b"x-server-stamp"
_NOT_RUN = b"x-not-executed"
_SERVER_ID = b"x-instance-id"
_FAULTY_SERVER = b"at-server"

_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Headers that concern one connection or the framing on it."""

_OWN_HEADERS = frozenset(
    {
        _DEADLINE,
        _KEY,
        _ORGANISATION,
        _EXPECTED_SERVER,
        _PRIORITY,
        _HELPERS,
        _LAST_EVENT,
        b"x-expect-version",
    }
)
"""Headers that this system sets itself, whatever the caller sent."""

_STATUSES_NOT_RUN = frozenset({421})
"""Statuses that alone say that the request did not run."""


def decode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> forwarding.CallerRequest:
    """Decode a caller's request.

    Args:
        method: Method.
        target: Path and query.
        headers: Headers; names in lower case.
        body: Body.

    Returns:
        The request.
    """
    listed = tuple(headers)
    first_by_name: dict[bytes, bytes] = {}
    for name, value in listed:
        first_by_name.setdefault(name, value)
    prompt_tokens, output_tokens = _token_counts(first_by_name.get(_TOKENS))
    hint = _number(first_by_name.get(_LENGTH_HINT))
    deadline_ms = _number(first_by_name.get(_DEADLINE))
    last_event = _number(first_by_name.get(_LAST_EVENT))
    key = first_by_name.get(_KEY)
    path = target.partition(b"?")[0]
    return forwarding.CallerRequest(
        method=method,
        target=target,
        path=path.decode("latin-1"),
        host=first_by_name.get(b"host", b"").decode("latin-1").lower(),
        headers=listed,
        body=body,
        attempt_id=first_by_name.get(_ATTEMPT_ID, b"").decode("latin-1"),
        deadline_seconds=None if deadline_ms is None else deadline_ms / 1000,
        key=None if key is None else key.decode("latin-1"),
        prompt_tokens=prompt_tokens,
        output_tokens=min(output_tokens, int(hint)) if hint else output_tokens,
        last_event_number=None if last_event is None else int(last_event),
        content_hash=xxhash.xxh3_64_intdigest(target + b"\0" + body),
    )


def _number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return float(value)
    except ValueError:
        return None


def _token_counts(value: bytes | None) -> tuple[int, int]:
    """Return prompt tokens and the most output tokens; the header holds them in this order."""
    if value is None:
        return 0, 0
    try:
        prompt, _, output = value.partition(b",")
        return int(prompt), int(output or 0)
    except ValueError:
        return 0, 0


class Send(NamedTuple):
    """What one send to a server says beside the caller's request."""

    server: catalog.BackendServer
    """The server."""

    seconds_left: float
    """Time that is left for the answer."""

    organisation: str | None
    """Organisation that holds the caller's key; None if it sent none."""

    priority: int
    """Rank at the engine; 0 goes first."""

    helpers: tuple[str, ...]
    """Engines that help to read the prompt, with their reservations."""

    last_event_number: int | None
    """Number of the last event that the caller has; None if it has none."""


def encode_for_server(request: forwarding.CallerRequest, send: Send) -> http1.Request:
    """Encode a request for a server.

    Args:
        request: The caller's request.
        send: What this send says beside it.

    Returns:
        The request to write.
    """
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in _CONNECTION_HEADERS and name not in _OWN_HEADERS
    ]
    headers.append((_DEADLINE, str(max(1, int(send.seconds_left * 1000))).encode()))
    headers.append((_EXPECTED_SERVER, send.server.instance.server_id.encode()))
    if send.organisation is not None:
        headers.append((_ORGANISATION, send.organisation.encode()))
    if request.prompt_tokens:
        headers.append((_PRIORITY, str(min(9, max(0, send.priority))).encode()))
    if send.helpers:
        headers.append((_HELPERS, ",".join(send.helpers).encode()))
    if send.last_event_number is not None:
        headers.append((_LAST_EVENT, str(send.last_event_number).encode()))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    return http1.Request(request.method, request.target, tuple(headers), request.body)


def helper(address: catalog.Address, reservation: str) -> str:
    """Encode an engine that helps to read a prompt.

    Args:
        address: The engine.
        reservation: Id of the memory reserved there; empty for none.
    """
    return f"{address}/{reservation}" if reservation else str(address)


def decode_answer(head: http1.Head) -> forwarding.ResponseHead:
    """Decode the head of a server's answer.

    Args:
        head: Status line and headers.

    Returns:
        What it says.
    """
    first_by_name: dict[bytes, bytes] = {}
    for name, value in head.headers:
        first_by_name.setdefault(name, value)
    attempt_id = first_by_name.get(_ATTEMPT_ID)
    says_not_run = _NOT_RUN in first_by_name or head.status in _STATUSES_NOT_RUN
    keep_alive = first_by_name.get(b"keep-alive", b"")
    return forwarding.ResponseHead(
        status=head.status,
        headers=tuple(
            (name, value)
            for name, value in head.headers
            if name not in _CONNECTION_HEADERS and name != _NOT_RUN
        ),
        attempt_id=None if attempt_id is None else attempt_id.decode("latin-1"),
        is_signed=_STAMP in first_by_name,
        is_not_run=says_not_run,
        is_encoded=b"content-encoding" in first_by_name,
        closes=b"close" in first_by_name.get(b"connection", b"").lower(),
        idle_seconds=_keep_alive_seconds(keep_alive),
        faulty_address=_faulty_address(first_by_name.get(_FAULTY_SERVER)),
    )


def _faulty_address(value: bytes | None) -> catalog.Address | None:
    """Decode the address of a server at fault; despite the header's name it holds no id."""
    if value is None:
        return None
    try:
        return catalog.parse_address(value.decode("latin-1").strip())
    except ValueError:
        logs.warning("faulty_address_unreadable", value=value)
        return None


def _keep_alive_seconds(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _number(seconds)
    return None


def own_headers(attempt_id: str, retry_after_seconds: float | None) -> list[tuple[bytes, bytes]]:
    """Encode the headers of an answer that this system gives itself.

    Args:
        attempt_id: Id of the caller's request; empty if it sent none.
        retry_after_seconds: When to come back; None to say nothing.
    """
    headers = [(b"Content-Type", b"application/json")]
    if attempt_id:
        headers.append((b"X-Attempt-Id", attempt_id.encode("latin-1")))
    if retry_after_seconds is not None:
        headers.append((b"Retry-After", f"{retry_after_seconds:.2f}".encode()))
    return headers
