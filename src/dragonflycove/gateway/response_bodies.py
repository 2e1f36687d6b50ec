"""Reads complete responses of servers, within a bound on all that are buffered."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from dragonflycove.fleet.memory import byte_account
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog
    from dragonflycove.gateway import held_bytes
    from dragonflycove.transport import http1

MAX_RESPONSE_BYTES = 16_777_216
"""Maximum size of a buffered response; the specification's plain responses have a few kilobytes."""

MAX_BUFFERED_BYTES = 33_554_432
"""Maximum size of all responses that are buffered at once; small hosts have 200 MB.

Replaced by the account of held bytes where that is in use.
"""


class ResponseBodies:
    """Reads bodies, and knows how many bytes are being read at present."""

    def __init__(self) -> None:
        """Create without bodies."""
        self._buffered_bytes = 0

    async def read(
        self,
        connection: http1.Connection,
        held: held_bytes.HeldConnection | None,
        request_id: str,
        address: catalog.Address,
    ) -> result.Result[bytes, object]:
        """Read the rest of a response.

        Its bytes stay in the account until the request ends.

        Args:
            connection: Connection on which the response arrives.
            held: What the caller's connection holds; None if that is not accounted for.
            request_id: Id of the request, for the log.
            address: The server, for the log.

        Returns:
            The body, or why it was not read to its end.
        """
        body = bytearray()
        counted = 0
        is_complete = False
        try:
            while (chunk := await connection.read_body_chunk()) is not None:
                if isinstance(chunk, result.Err):
                    return chunk
                size = len(chunk.ok_value)
                body += chunk.ok_value
                if len(body) > MAX_RESPONSE_BYTES or not await self._count(held, size):
                    logs.event(
                        "answer_too_long",
                        request=request_id,
                        address=address,
                        bytes=len(body),
                        buffered=self._buffered_bytes + size,
                    )
                    return result.Err("answer_too_long")
                counted += size
            is_complete = True
            return result.Ok(bytes(body))
        finally:
            if held is None:
                self._buffered_bytes -= counted
            elif not is_complete:
                held.release(counted)

    async def _count(self, held: held_bytes.HeldConnection | None, size: int) -> bool:
        """Count bytes of a body; returns whether they may be kept."""
        if held is not None:
            return await held.take(size, byte_account.Use.RESPONSE)
        if self._buffered_bytes + size > MAX_BUFFERED_BYTES:
            return False
        self._buffered_bytes += size
        return True
