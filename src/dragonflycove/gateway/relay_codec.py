"""Encodes what nodes tell each other about a relayed request, as headers of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import result

# Headers between nodes are decoded by this type at run time.
from dragonflycove.fleet import relaying  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.fleet import forwarding

REQUEST_HEADER = b"dragonflycove-relayed"
"""Header of a relayed request, with a JSON array of the fields of `RelayedRequest`."""

REFUSAL_HEADER = b"dragonflycove-refusal"
"""Header of a response that the serving node made itself; its value is the reason."""

ATTEMPTS_HEADER = b"dragonflycove-attempts"
"""Header of an informational response, with a JSON array of the serving node's attempts."""

MAX_ATTEMPTS_BYTES = 2_048
"""Maximum size of the value of `ATTEMPTS_HEADER`."""

MAX_HEADER_BYTES = 4_096
"""Maximum size of `REQUEST_HEADER`, which is added to the callers' limit."""


def encode(relayed: relaying.RelayedRequest) -> tuple[bytes, bytes]:
    """Encode a relayed request's data as a header.

    Args:
        relayed: The data.
    """
    return REQUEST_HEADER, msgspec.json.encode(relayed)


def decode(
    headers: Sequence[tuple[bytes, bytes]],
) -> result.Result[relaying.RelayedRequest, str]:
    """Decode a relayed request's data.

    Args:
        headers: Headers of the request; names in lower case.

    Returns:
        The data, or why it can't be decoded.
    """
    for name, value in headers:
        if name == REQUEST_HEADER:
            try:
                return result.Ok(msgspec.json.decode(value, type=relaying.RelayedRequest))
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                return result.Err(f"header can't be decoded: {error}")
    return result.Err("header is missing")


def encode_attempts(attempts: Sequence[relaying.ServerAttempt]) -> tuple[bytes, bytes]:
    """Encode the attempts that the serving node has made, as a header.

    Args:
        attempts: The attempts in order.
    """
    value = msgspec.json.encode(attempts)
    if len(value) > MAX_ATTEMPTS_BYTES:
        value = msgspec.json.encode([one._replace(server_id="") for one in attempts])
    return ATTEMPTS_HEADER, value


def decode_attempts(
    headers: Sequence[tuple[bytes, bytes]],
) -> result.Result[tuple[relaying.ServerAttempt, ...], str]:
    """Decode the attempts that the serving node has made.

    Args:
        headers: Headers of an informational response; names in lower case.

    Returns:
        The attempts, or why they can't be decoded.
    """
    for name, value in headers:
        if name == ATTEMPTS_HEADER:
            if len(value) > MAX_ATTEMPTS_BYTES:
                return result.Err(f"header has {len(value)} bytes")
            try:
                attempts = msgspec.json.decode(value, type=tuple[relaying.ServerAttempt, ...])
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                return result.Err(f"header can't be decoded: {error}")
            return result.Ok(attempts)
    return result.Err("header is missing")


def without_header(request: forwarding.CallerRequest) -> forwarding.CallerRequest:
    """Return a request without the header of `encode`.

    Args:
        request: The request as received from the other node.
    """
    return request._replace(
        headers=tuple(one for one in request.headers if one[0] != REQUEST_HEADER)
    )


def refusal_reason(head: forwarding.ResponseHead) -> str | None:
    """Return the reason of a response that the serving node made itself; None for a server's.

    Servers sign their responses, so that none of their headers is taken for a node's.

    Args:
        head: Head of the response.
    """
    if head.is_signed:
        return None
    for name, value in head.headers:
        if name == REFUSAL_HEADER:
            return value.decode("latin-1")
    return None
