"""Records the requests that a node turns away as wrong, and the check that found them so."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import xxhash

from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    import h11

MAX_REASON_CHARACTERS = 120
"""Length to which the parser's reason is cut in the log; it may quote the caller's bytes."""


class Check(enum.Enum):
    """What found a request to be wrong."""

    SYNTAX = "syntax"
    """The bytes are no HTTP request."""

    HEAD_SIZE = "head_size"
    """The head exceeds the limit on heads."""

    BODY_SIZE = "body_size"
    """The body exceeds the limit on bodies."""

    INCOMPLETE = "incomplete"
    """The request did not arrive in time."""

    ROUTE = "route"
    """No route of the configuration in force has its host and path."""

    KEY = "key"
    """Its key belongs to no organisation of the configuration in force."""


_CHECK_BY_PARSER_STATUS = {
    408: Check.INCOMPLETE,
    413: Check.BODY_SIZE,
    431: Check.HEAD_SIZE,
}
"""Checks by the status that the parser suggests; any other one is a matter of syntax."""


def log_by_configuration(
    request_id: str,
    status: int,
    check: Check,
    version: int,
    age_seconds: float,
    subject: str,
) -> None:
    """Log that a request doesn't fit the configuration in force.

    Args:
        request_id: Id of the request.
        status: Status of the response.
        check: What found it to be wrong.
        version: Version of the configuration in force.
        age_seconds: Time for which newer versions may exist that this node doesn't know.
        subject: Host or key that was looked up; its fingerprint is logged.
    """
    logs.event(
        "denied",
        request=request_id,
        status=status,
        check=check.value,
        version=version,
        age=age_seconds,
        subject=fingerprint(subject),
    )


def log_by_parser(
    request_id: str,
    error: h11.RemoteProtocolError,
    *,
    version: int,
    served_requests: int,
    read_bytes: int,
) -> None:
    """Log that the bytes on a connection are no request that can be served.

    Args:
        request_id: Id of the request; empty if its head has not been read.
        error: What the parser, or the limit on bodies, found.
        version: Version of the configuration whose limits were in force; 0 before the first one.
        served_requests: Requests that were served on the connection before.
        read_bytes: Bytes of the request that had been read from the connection.
    """
    status = error.error_status_hint
    logs.warning(
        "denied",
        request=request_id,
        status=status,
        check=_CHECK_BY_PARSER_STATUS.get(status, Check.SYNTAX).value,
        why=str(error)[:MAX_REASON_CHARACTERS],
        version=version,
        served=served_requests,
        read=read_bytes,
    )


def fingerprint(text: str) -> str:
    """Return what tells a text from others in a log, without showing it.

    Args:
        text: The text, such as an API key.

    Returns:
        Eight hexadecimal digits; the same at all nodes.
    """
    return f"{xxhash.xxh3_64_intdigest(text.encode()) & 0xFFFFFFFF:08x}"
