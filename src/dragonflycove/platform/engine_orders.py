"""Encodes reservation orders to engines and decodes their load reports."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.platform import numbers
from dragonflycove.transport import http1

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

OK_STATUS = 200
"""HTTP status of an order that the engine has carried out."""


class LoadReport(NamedTuple):
    """Load report of an engine."""

    waiting: int
    """Requests in the engine's queue."""

    running: int
    """Requests that occupy a slot."""

    used_kv_cache_tokens: int
    """KV cache tokens that can't be freed without aborting a request."""

    slowdown: float
    """Factor by which the engine is slower than its configured speed; 1 if not given."""

    reservation_ids: tuple[str, ...]
    """Ids of the KV cache reservations that the engine holds."""

    started_at_ms: int
    """Unix milliseconds of the engine's start; 0 if not given."""


def reserve(
    address: catalog.Address, reservation_id: str, tokens: int, expiry_seconds: float
) -> http1.Request:
    """Encode an order that reserves KV cache, or renews an existing reservation with this id.

    Args:
        address: The engine.
        reservation_id: Id of the reservation.
        tokens: KV cache tokens to reserve.
        expiry_seconds: Time without renewal after which the engine frees the reservation.
    """
    return _order(
        address,
        {
            "operation": "reserve",
            "id": reservation_id,
            "token_count": tokens,
            "hold_ms": int(expiry_seconds * 1000),
            "wait": False,
        },
    )


def release(address: catalog.Address, reservation_id: str) -> http1.Request:
    """Encode an order that releases reserved KV cache.

    Args:
        address: The engine.
        reservation_id: Id of the reservation.
    """
    return _order(address, {"operation": "release", "id": reservation_id})


def _order(address: catalog.Address, fields: dict[str, object]) -> http1.Request:
    body = json.dumps(fields).encode()
    headers = (
        (b"host", str(address).encode()),
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    )
    return http1.Request(b"POST", b"/order", headers, body)


def report_request(address: catalog.Address) -> http1.Request:
    """Encode a request for an engine's load report.

    Args:
        address: The engine.
    """
    return http1.Request(b"GET", b"/report", ((b"host", str(address).encode()),), b"")


def decode_report(body: bytes) -> LoadReport | None:
    """Decode an engine's load report.

    Args:
        body: Body of the response.

    Returns:
        The report; None if the body is malformed.
    """
    try:
        fields = numbers.load_json(body)
        return LoadReport(
            waiting=numbers.count(fields["waiting"]),
            running=numbers.count(fields["running"]),
            used_kv_cache_tokens=numbers.count(fields["kv_used"]),
            slowdown=numbers.quantity(fields.get("pace", 1.0)),
            reservation_ids=tuple(str(entry["id"]) for entry in fields.get("tickets") or ()),
            started_at_ms=numbers.identifier(fields.get("born") or 0),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError):
        return None
