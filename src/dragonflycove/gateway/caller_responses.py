"""Writes the response to one request of a caller."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import h11

from dragonflycove.gateway import caller_outputs
from dragonflycove.platform import requests

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Sequence

    from dragonflycove.fleet import forwarding
    from dragonflycove.gateway import held_bytes

PROCESSING_STATUS = 102
"""Status of informational responses while a request is being served."""

_STATUSES_WITHOUT_BODY = frozenset({204, 304})
"""Statuses of responses that never have a body."""


class CallerResponse:
    """Writes the response to one request of a caller."""

    def __init__(
        self,
        parser: h11.Connection,
        writer: asyncio.StreamWriter,
        attempt_id: str,
        method: bytes,
        *,
        is_last: Callable[[], bool],
        held: held_bytes.HeldConnection | None = None,
        on_write: Callable[[int], None] = lambda _: None,
    ) -> None:
        """Create a response of which nothing is written.

        Args:
            parser: The connection's protocol state.
            writer: Writer of the connection.
            attempt_id: Id of the request; repeated in our own responses.
            method: Method of the request; responses to `HEAD` have no body.
            is_last: Returns whether the connection is closed after the response; asked when its
                head is written.
            held: What the connection holds; None if that is not accounted for.
            on_write: Called with the number of bytes of each write.
        """
        self._on_write = on_write
        self._parser = parser
        self._writer = writer
        self._attempt_id = attempt_id
        self._has_body = method != b"HEAD"
        self._is_last = is_last
        self.held = held
        """What the connection holds; None if that is not accounted for."""
        self._output: caller_outputs.Output = (
            caller_outputs.DirectOutput(writer)
            if held is None
            else caller_outputs.SpooledOutput(writer, held)
        )
        self.is_started = False
        """Whether the response head has been written."""
        self.is_aborted = False
        """Whether the connection was reset before the response was complete."""
        self.status = 0
        """Status code that was written; 0 before the head is written."""
        self.is_passed_on = False
        """Whether the request was sent to a server or to another node, and may have run."""
        self.refusal_header: bytes | None = None
        """Header with the reason of a refusal, for other nodes; None for callers."""
        self.informs = False
        """Whether the sender is a node that is told of the attempts while they are made."""

    @property
    def sender_ip(self) -> str:
        """IP address that the request came from; empty if the connection has ended."""
        return str(self._writer.get_extra_info("peername", ("",))[0])

    def write_informational(self, header: tuple[bytes, bytes]) -> None:
        """Write an informational response, unless the response has started.

        Args:
            header: Its header.
        """
        if self.is_started or self._writer.is_closing():
            return
        informational = h11.InformationalResponse(status_code=PROCESSING_STATUS, headers=[header])
        data = self._parser.send(informational) or b""
        self._on_write(len(data))
        self._writer.write(data)

    async def write_complete(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a complete response.

        Args:
            status: Status code.
            headers: Headers without framing; `Content-Length` is added.
            body: Complete body.
        """
        framed_headers = list(headers)
        if status not in _STATUSES_WITHOUT_BODY:
            framed_headers.append((b"Content-Length", str(len(body)).encode()))
        data = self._head(status, framed_headers) + self._body(body)
        data += self._parser.send(h11.EndOfMessage()) or b""
        await self._write(data, is_counted=True)

    async def write_refusal(self, final: forwarding.FinalResponse) -> None:
        """Write a response of the gateway itself, with the reason as JSON.

        Args:
            final: Status, reason and retry-after.
        """
        headers = requests.local_response_headers(self._attempt_id, final.retry_after_seconds)
        if self.refusal_header is not None:
            headers.append((self.refusal_header, final.reason.encode()))
        body = json.dumps({"reason": final.reason}).encode()
        await self.write_complete(final.status, headers, body)

    async def start_stream(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], data: bytes
    ) -> None:
        """Write the head of a stream and its first bytes.

        Args:
            status: Status code.
            headers: Headers without framing.
            data: The first bytes; may be empty.
        """
        head = self._head(status, headers)
        await self._write(head + self._body(data))

    async def write_stream(self, data: bytes) -> None:
        """Write further bytes of a stream.

        Args:
            data: The bytes.
        """
        await self._write(self._body(data))

    async def end_stream(self) -> None:
        """Write the end of a complete stream."""
        await self._write(self._parser.send(h11.EndOfMessage()) or b"")

    @property
    def is_written(self) -> bool:
        """Whether nothing that was written waits for the caller to read."""
        return self._output.is_written

    async def flush(self) -> None:
        """Wait until the caller has taken what was written, except for sockets' buffers.

        Raises:
            CallerGoneError: The caller disconnected or stopped reading.
        """
        await self._output.flush()

    def close(self) -> None:
        """End the response, written or not."""
        self._output.close()

    def abort(self) -> None:
        """Reset the connection, so that a partial response doesn't look complete."""
        self.is_aborted = True
        self._writer.transport.abort()

    def _head(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> bytes:
        self.status = status
        self._has_body = self._has_body and status not in _STATUSES_WITHOUT_BODY
        response_headers = list(headers)
        if self._is_last():
            response_headers.append((b"Connection", b"close"))
        return self._parser.send(h11.Response(status_code=status, headers=response_headers)) or b""

    def _body(self, data: bytes) -> bytes:
        return (self._parser.send(h11.Data(data=data)) or b"") if self._has_body else b""

    async def _write(self, data: bytes, *, is_counted: bool = False) -> None:
        if self._writer.is_closing():
            raise caller_outputs.CallerGoneError
        self.is_started = True
        self._on_write(len(data))
        await self._output.write(data, is_counted=is_counted)
