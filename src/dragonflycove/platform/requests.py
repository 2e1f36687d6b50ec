"""Decodes callers' requests and server responses, and encodes what is forwarded for them."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from dragonflycove.fleet import catalog, event_stream, forwarding
from dragonflycove.platform import header_numbers
from dragonflycove.telemetry import logs
from dragonflycove.transport import http1

if TYPE_CHECKING:
    from collections.abc import Iterable


_ATTEMPT_ID = b"x-attempt-id"
_DEADLINE = b"x-deadline-ms"
_API_KEY = b"x-api-key"
_ORGANISATION = b"x-tenant"
_EXPECTED_SERVER = b"x-expect-instance"
_PRIORITY = b"x-request-priority"
_HELPERS = b"x-helpers"
_TOKEN_COUNTS = b"x-token-counts"
_PROMPT_PARTS = b"x-prompt-prefix"
_LENGTH_HINT = b"x-length-hint"
_LAST_EVENT_ID = b"last-event-id"
_SERVER_STAMP = b"x-server-stamp"
_NOT_EXECUTED = b"x-not-executed"
_SERVER_ID = b"x-instance-id"
_FAULTY_SERVER = b"at-server"
_RATE_LIMIT = b"server-limit"
_RETRY_AFTER = b"retry-after"
_LEAVING = b"server-leaving"

_DECIMAL = re.compile(rb"\d+(\.\d*)?|\.\d+")
"""A decimal number without sign or exponent."""

_HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that apply to a single connection or its framing and are not forwarded."""

_REPLACED_HEADERS = frozenset(
    {
        _DEADLINE,
        _API_KEY,
        _ORGANISATION,
        _EXPECTED_SERVER,
        _PRIORITY,
        _HELPERS,
        _LAST_EVENT_ID,
        b"x-expect-version",
    }
)
"""Headers that are dropped from the caller's request; this system sets its own values."""

_NOT_EXECUTED_STATUSES = frozenset({421})
"""Statuses that mean "not executed" also without the header `x-not-executed`."""


MAX_SHARED_PARTS = 64
"""Parts of one prompt that are told apart when it crashes servers; the others are only passed on."""


def decode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> forwarding.CallerRequest:
    """Decode a caller's request.

    Args:
        method: HTTP method.
        target: Path and query as sent.
        headers: Headers; names in lower case.
        body: The complete body; empty if there is no body.

    Returns:
        The request; a numeric header whose value is no finite number, or a negative count, counts
        as missing. Greater ones than `header_numbers` reads count as its limits.
    """
    listed = tuple(headers)
    first_by_name: dict[bytes, bytes] = {}
    for name, value in listed:
        first_by_name.setdefault(name, value)
    prompt_tokens, output_tokens = header_numbers.read_token_counts(first_by_name, _TOKEN_COUNTS)
    length_hint = header_numbers.read_tokens(first_by_name, _LENGTH_HINT)
    last_event_id = first_by_name.get(_LAST_EVENT_ID) or None
    if last_event_id is not None and event_stream.read_number(last_event_id) is None:
        logs.warning(
            "event_id_unreadable", source="caller", value=last_event_id[: logs.MAX_VALUE_BYTES]
        )
    deadline_ms = header_numbers.read_number(first_by_name, _DEADLINE)
    api_key = first_by_name.get(_API_KEY)
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
        key=None if api_key is None else api_key.decode("latin-1"),
        prompt_tokens=prompt_tokens,
        output_tokens=min(output_tokens, length_hint) if length_hint else output_tokens,
        last_event_id=last_event_id,
        content_hash=xxhash.xxh3_64_intdigest(target + b"\0" + body),
        shared_parts=_shared_parts(first_by_name.get(_PROMPT_PARTS, b"")),
    )


def read_key(headers: Iterable[tuple[bytes, bytes]]) -> str | None:
    """Return the API key of a request.

    Args:
        headers: Its headers; names in lower case.

    Returns:
        The key; None if there is none.
    """
    return _read_first(headers, _API_KEY)


def read_attempt_id(headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return the attempt id of a request.

    Args:
        headers: Its headers; names in lower case.

    Returns:
        The id; empty if there is none.
    """
    return _read_first(headers, _ATTEMPT_ID) or ""


def _read_first(headers: Iterable[tuple[bytes, bytes]], wanted: bytes) -> str | None:
    """Return the value of the first header with a name; None if there is none."""
    return next((value.decode("latin-1") for name, value in headers if name == wanted), None)


def _shared_parts(value: bytes) -> tuple[str, ...]:
    """Return the ids of a prompt's parts without the last, which belongs to the request alone."""
    ids = [part.partition(b":")[0].strip().lower() for part in value.split(b",")[:-1]]
    distinct = tuple(dict.fromkeys(one.decode("latin-1") for one in ids if one))
    if len(distinct) > MAX_SHARED_PARTS:
        logs.event("prompt_parts_ignored", parts=len(distinct) - MAX_SHARED_PARTS)
    return distinct[:MAX_SHARED_PARTS]


class AttemptParameters(NamedTuple):
    """Values of one attempt that are sent to the server along with the caller's request."""

    server: catalog.BackendServer
    """The backend server that the attempt goes to."""

    seconds_left: float
    """Time that remains for the response; sent as `x-deadline-ms`."""

    organisation: str | None
    """Organisation that the caller's key belongs to; None if the request has no key."""

    priority: int
    """Priority in the engine's queue; 0 is served first."""

    helpers: tuple[str, ...]
    """Helper engines that share the prefill, each from `encode_helper`."""

    last_event_id: bytes | None
    """Id of the last event that the caller received, as it was sent; None if it received none."""


def encode_for_server(
    request: forwarding.CallerRequest, attempt: AttemptParameters
) -> http1.Request:
    """Encode a caller's request for an attempt at a backend server.

    Args:
        request: The caller's request.
        attempt: Values of this attempt.

    Returns:
        The request with the hop-by-hop headers removed and this system's headers added.
    """
    headers = _forwarded_headers(request, attempt.seconds_left, attempt.last_event_id)
    headers.append((_EXPECTED_SERVER, attempt.server.instance.server_id.encode()))
    if attempt.organisation is not None:
        headers.append((_ORGANISATION, attempt.organisation.encode()))
    if request.prompt_tokens:
        headers.append((_PRIORITY, str(min(9, max(0, attempt.priority))).encode()))
    if attempt.helpers:
        headers.append((_HELPERS, ",".join(attempt.helpers).encode()))
    return http1.Request(request.method, request.target, tuple(headers), request.body)


def _forwarded_headers(
    request: forwarding.CallerRequest, seconds_left: float, last_event_id: bytes | None
) -> list[tuple[bytes, bytes]]:
    """Return the caller's headers that are passed on, with deadline, position and length."""
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in _HOP_BY_HOP_HEADERS and name not in _REPLACED_HEADERS
    ]
    headers.append((_DEADLINE, str(max(1, int(seconds_left * 1000))).encode()))
    if last_event_id is not None:
        headers.append((_LAST_EVENT_ID, last_event_id))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def encode_for_node(
    request: forwarding.CallerRequest,
    seconds_left: float,
    last_event_id: bytes | None,
    added_header: tuple[bytes, bytes],
) -> http1.Request:
    """Encode a caller's request for another node that serves it; the caller's key is left out.

    Args:
        request: The caller's request.
        seconds_left: Time that remains for the response.
        last_event_id: Id of the last event that the caller received; None for none.
        added_header: Header with what the node needs to know beside the request.
    """
    # A caller's header of the same name would be taken for this node's.
    headers = [
        one
        for one in _forwarded_headers(request, seconds_left, last_event_id)
        if one[0] != added_header[0]
    ]
    headers.append(added_header)
    return http1.Request(request.method, request.target, tuple(headers), request.body)


def encode_helper(address: catalog.Address, reservation: str) -> str:
    """Encode a helper engine for `AttemptParameters.helpers`.

    Args:
        address: The helper engine.
        reservation: Id of the KV cache reservation on it; empty if nothing is reserved.
    """
    return f"{address}/{reservation}" if reservation else str(address)


def decode_response_head(head: http1.Head) -> forwarding.ResponseHead:
    """Decode the head of a server's response.

    Args:
        head: Status and headers of the response.

    Returns:
        The decoded head; its headers are those to pass on to the caller.
    """
    first_by_name: dict[bytes, bytes] = {}
    for name, value in head.headers:
        first_by_name.setdefault(name, value)
    attempt_id = first_by_name.get(_ATTEMPT_ID)
    not_executed = _NOT_EXECUTED in first_by_name or head.status in _NOT_EXECUTED_STATUSES
    keep_alive = first_by_name.get(b"keep-alive", b"")
    return forwarding.ResponseHead(
        status=head.status,
        headers=tuple(
            (name, value)
            for name, value in head.headers
            if name not in _HOP_BY_HOP_HEADERS and name != _NOT_EXECUTED
        ),
        attempt_id=None if attempt_id is None else attempt_id.decode("latin-1"),
        is_signed=_SERVER_STAMP in first_by_name,
        is_not_executed=not_executed,
        is_encoded=b"content-encoding" in first_by_name,
        closes=b"close" in first_by_name.get(b"connection", b"").lower(),
        idle_seconds=_keep_alive_seconds(keep_alive),
        faulty_address=_faulty_address(first_by_name.get(_FAULTY_SERVER)),
        rate_limit=_rate_limit(first_by_name.get(_RATE_LIMIT)),
        retry_after_seconds=_retry_after(first_by_name.get(_RETRY_AFTER)),
        is_leaving=first_by_name.get(_LEAVING, b"").strip() == b"1",
    )


def _retry_after(value: bytes | None) -> float | None:
    """Decode `retry-after` in seconds, which may have a fraction; dates are not in use."""
    if value is None:
        return None
    if not _DECIMAL.fullmatch(value.strip()):
        logs.warning("retry_after_unreadable", value=value[: logs.MAX_VALUE_BYTES])
        return None
    return header_numbers.decode(value)


def _faulty_address(value: bytes | None) -> catalog.Address | None:
    """Decode the address of a faulty server; `at-server` holds an address, not a server id."""
    if value is None:
        return None
    try:
        return catalog.parse_address(value.decode("latin-1").strip())
    except ValueError:
        logs.warning("faulty_address_unreadable", value=value[: logs.MAX_VALUE_BYTES])
        return None


def _rate_limit(value: bytes | None) -> forwarding.RateLimit:
    """Decode the requests a second that a server takes from all nodes together."""
    if value is None:
        return forwarding.NO_RATE_LIMIT
    if not _DECIMAL.fullmatch(value.strip()):
        logs.warning("rate_limit_unreadable", value=value[: logs.MAX_VALUE_BYTES])
        return forwarding.UNREADABLE_RATE_LIMIT
    return forwarding.RateLimit(header_numbers.decode(value))


def _keep_alive_seconds(value: bytes) -> float | None:
    """Return the idle timeout of a `Keep-Alive` header in seconds; None if not given."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            idle_seconds = header_numbers.decode(seconds)
            if idle_seconds is None:
                header_numbers.log_unreadable(b"keep-alive", value)
            return idle_seconds
    return None


def local_response_headers(
    attempt_id: str, retry_after_seconds: float | None
) -> list[tuple[bytes, bytes]]:
    """Encode the headers of a response that this node generates itself.

    Args:
        attempt_id: The caller's attempt id; empty if not given.
        retry_after_seconds: Value of `Retry-After`; None to omit the header.
    """
    headers = [(b"Content-Type", b"application/json")]
    if attempt_id:
        headers.append((b"X-Attempt-Id", attempt_id.encode("latin-1")))
    if retry_after_seconds is not None:
        headers.append((b"Retry-After", f"{retry_after_seconds:.2f}".encode()))
    return headers
