"""Encodes orders to engines and decodes their answers and reports."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.transport import http1

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

OK_STATUS = 200
"""Status of an order that is done."""


class EngineReport(NamedTuple):
    """What an engine says of its load."""

    waiting: int
    """Requests in its queue."""

    running: int
    """Requests that hold a slot."""

    memory_tokens: int
    """Memory that can't be freed without cutting a request."""

    pace: float
    """How many times slower than stated the engine works."""

    reservation_ids: tuple[str, ...]
    """Memory set aside, by id."""


def reserve(
    address: catalog.Address, reservation_id: str, tokens: int, hold_seconds: float
) -> http1.Request:
    """Encode an order that sets memory aside, or keeps it set aside.

    Args:
        address: The engine.
        reservation_id: Id of the reservation.
        tokens: Tokens of memory.
        hold_seconds: Time after which the engine takes it back.
    """
    return _order(
        address,
        {
            "operation": "reserve",
            "id": reservation_id,
            "token_count": tokens,
            "hold_ms": int(hold_seconds * 1000),
            "wait": False,
        },
    )


def release(address: catalog.Address, reservation_id: str) -> http1.Request:
    """Encode an order that gives memory back.

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
    """Encode a question for an engine's report.

    Args:
        address: The engine.
    """
    return http1.Request(b"GET", b"/report", ((b"host", str(address).encode()),), b"")


def decode_report(body: bytes) -> EngineReport | None:
    """Decode an engine's report.

    Args:
        body: The answer's body.

    Returns:
        The report; None if it can't be read.
    """
    try:
        fields = json.loads(body)
        return EngineReport(
            waiting=int(fields["waiting"]),
            running=int(fields["running"]),
            memory_tokens=int(fields["kv_used"]),
            pace=float(fields.get("pace", 1.0)),
            reservation_ids=tuple(str(entry["id"]) for entry in fields.get("tickets") or ()),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
