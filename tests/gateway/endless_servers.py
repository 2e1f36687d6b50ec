"""Backend servers and a store that send bytes without end, each in one place of their responses."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING, NamedTuple

import h11

from dragonflycove.standins.platform import server as platform_server
from dragonflycove.standins.platform import store as platform_store

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import forwarding
    from dragonflycove.gateway import caller_responses

BLOCK_BYTES = 65_536
"""Bytes written at once, at the least."""

PAGE_ENTRIES = 500
"""Records in each page of a list without end."""

SILENCE_POLL_SECONDS = 0.05
"""Interval at which a silent server checks whether its connection is closed."""


class Endless(NamedTuple):
    """A response that doesn't end."""

    start: bytes
    """Its first bytes; `%ID` stands for the id of the request."""

    repeated: bytes
    """The bytes that follow again and again; empty for silence."""


STAMP = b"X-Server-Stamp: 3e1b.07.5a2.e\r\nX-Attempt-Id: %ID\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + STAMP
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
NUMBERED = b"".join(b"h%x:\r\n" % number for number in range(8_000))

HEADS = {
    "head_line": Endless(b"", b"x"),
    "head_line_in_header": Endless(OK + b"X-Long: ", b"x"),
    "header_lines": Endless(OK, b"a:\r\n"),
    "folded_lines": Endless(OK + b"X-Long: a\r\n", b" \r\n"),
    "blank_lines": Endless(b"", b"\r\n"),
    "informational": Endless(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "long_informational": Endless(b"", b"HTTP/1.1 102 P\r\nX-Long: " + b"x" * 60_000 + b"\r\n\r\n"),
    "many_headers": Endless(OK + NUMBERED + b"Transfer-Encoding: chunked\r\n\r\n", b""),
    "many_headers_and_a_byte": Endless(OK + NUMBERED + b"Content-Length: 9\r\n\r\nx", b""),
}
"""Responses that don't end in their head, or have much in it; any call may get them."""

BODIES = {
    "body_with_length": Endless(OK + b"Content-Length: 99999999999\r\n\r\n", b"x"),
    "body_without_length": Endless(OK + b"\r\n", b"x"),
    "chunks": Endless(CHUNKED, b"8000\r\n" + b"x" * 0x8000 + b"\r\n"),
    "small_chunks": Endless(CHUNKED, b"1\r\nx\r\n"),
    "chunk_size": Endless(CHUNKED, b"0"),
    "chunk_extension": Endless(CHUNKED + b"1;a=", b"x"),
    "trailer_line": Endless(CHUNKED + b"0\r\nX-Long: ", b"x"),
    "trailer_lines": Endless(CHUNKED + b"0\r\n", b"a:\r\n"),
    "failure": Endless(OK.replace(b"200 OK", b"500 Failed") + b"\r\n", b"x"),
    "refusal": Endless(OK.replace(b"200 OK", b"503 Full") + b"X-Not-Executed: 1\r\n\r\n", b"x"),
    "crossed": Endless(CHUNKED.replace(b"%ID", b"other"), b"8000\r\n" + b"x" * 0x8000 + b"\r\n"),
    "crossed_whole": Endless(
        b"", (OK.replace(b"%ID", b"other") + b"Content-Length: 9\r\n\r\n" + b"x" * 9)
    ),
}
"""Responses that don't end in their body or after it; any call may get them."""

STREAMS = {
    "event": Endless(CHUNKED + b"4000000\r\ndata: ", b"x"),
    "event_in_small_chunks": Endless(CHUNKED, b"1\r\nx\r\n"),
    "empty_events": Endless(OK + b"\r\n", b"\n"),
    "comments": Endless(OK + b"\r\n", b":\n\n"),
    "empty_events_then_silence": Endless(OK + b"\r\n" + b"\n" * 250_000, b""),
    "events": Endless(OK + b"\r\n", b"data: x\n\n"),
}
"""Responses whose events don't end."""


async def write(
    endless: Endless, request_id: str, writer: asyncio.StreamWriter, on_sent: Callable[[int], None]
) -> None:
    """Write a response until its connection is closed; counts the bytes as they are sent."""
    writer.write(endless.start.replace(b"%ID", request_id.encode()))
    on_sent(len(endless.start))
    block = endless.repeated * -(-BLOCK_BYTES // max(1, len(endless.repeated)))
    while not writer.is_closing():
        writer.write(block)
        await writer.drain()
        on_sent(len(block))
        await asyncio.sleep(0 if block else SILENCE_POLL_SECONDS)


class EndlessServer(platform_server.PlatformServer):
    """A backend server that is sound until it is told to send without end."""

    endless: Endless | None = None
    """Sent in response to requests, load reports and orders; None for proper responses."""

    surplus: Endless | None = None
    """Sent after the next proper responses; None for nothing."""

    sent_bytes = 0
    """Bytes sent without end so far."""

    async def _serve_one(
        self,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self.endless is None:
            is_usable = await super()._serve_one(parser, reader, writer)
            if self.surplus is None or not is_usable:
                return is_usable
            await writer.drain()
            await asyncio.sleep(0.05)
            await write(self.surplus, "", writer, self._count_sent)
            return False
        request_id = ""
        while not isinstance(
            event := await platform_server._next_event(parser, reader),  # noqa: SLF001
            h11.EndOfMessage,
        ):
            if isinstance(event, h11.Request):
                ids = [value for name, value in event.headers if name == b"x-attempt-id"]
                request_id = ids[0].decode() if ids else ""
            elif not isinstance(event, h11.Data):
                return False
        await write(self.endless, request_id, writer, self._count_sent)
        return False

    def _count_sent(self, size: int) -> None:
        self.sent_bytes += size


class EndlessStore:
    """Lets a stand-in store send without end, once it is told to."""

    endless: Endless | None = None
    """Sent in response to calls; None for proper responses."""

    sent_bytes = 0
    """Bytes sent without end so far."""

    has_endless_list = False
    """Whether lists of the newest records have no last page."""

    def __init__(self) -> None:
        """Replace how the handlers of all stores serve calls; `restore` ends it."""
        self._serve = platform_store._StoreHandler.serve  # noqa: SLF001
        self._listed = 0
        state = self

        async def serve(
            handler: platform_store._StoreHandler,  # noqa: SLF001
            request: forwarding.CallerRequest,
            response: caller_responses.CallerResponse,
        ) -> None:
            if state.has_endless_list and request.path == "/log-newest":
                await state._list(request, response)
                return
            if state.endless is None:
                await state._serve(handler, request, response)
                return
            writer = response._writer  # noqa: SLF001
            await write(state.endless, "", writer, state.count_sent)

        platform_store._StoreHandler.serve = serve  # type: ignore[method-assign]  # noqa: SLF001

    def count_sent(self, size: int) -> None:
        """Count bytes that were sent without end."""
        self.sent_bytes += size

    async def _list(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        self._listed += PAGE_ENTRIES
        value = base64.b64encode(b"x" * 1_500).decode()
        entries = [
            {"key": f"k{self._listed + number:012}", "value": value, "offset": number}
            for number in range(PAGE_ENTRIES)
        ]
        page = {"entries": entries, "has_more": True, "end": PAGE_ENTRIES}
        await response.write_complete(200, [], json.dumps(page).encode())

    def restore(self) -> None:
        """Let handlers serve calls as before."""
        platform_store._StoreHandler.serve = self._serve  # type: ignore[method-assign]  # noqa: SLF001
