"""The node's socket towards the other nodes.

Datagrams neither hang on silent connections nor delay each other. Every message can be lost: reports
come again, requests are sent again, and what is not told in time is decided without it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import result

from dragonflycove.fleet import catalog
from dragonflycove.gateway import peer_codec
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import peer_messages

MAX_DATAGRAM_BYTES = 8_192
"""Longest datagram that is sent."""


class PeerLink(asyncio.DatagramProtocol):
    """Sends messages and hands received ones to whoever takes their type."""

    def __init__(self) -> None:
        """Create a link without a socket."""
        self._transport: asyncio.DatagramTransport | None = None
        self._handler_by_type: dict[type, Callable[[Any, catalog.Address], None]] = {}
        self.bytes_sent = 0
        """Bytes of datagrams sent."""

    async def listen(self, address: catalog.Address) -> None:
        """Open the socket.

        Args:
            address: Where to listen.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.ip, address.port))

    def register(self, kind: type, handler: Callable[[Any, catalog.Address], None]) -> None:
        """Choose what takes in a type of message.

        Args:
            kind: The type.
            handler: Called with the message and its sender.
        """
        self._handler_by_type[kind] = handler

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram could not be delivered; the next report tries again."""
        logs.event("datagram_error", why=str(exc))

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take in a message."""
        decoded = peer_codec.decode(data)
        if isinstance(decoded, result.Err):
            logs.warning("datagram_unreadable", sender=addr[0], why=decoded.err_value)
            return
        handler = self._handler_by_type.get(type(decoded.ok_value))
        if handler is not None:
            handler(decoded.ok_value, catalog.Address(str(addr[0]), int(addr[1])))

    def send(self, address: catalog.Address, message: peer_messages.Message) -> None:
        """Send a message, which may be lost.

        Args:
            address: The receiver.
            message: The message.
        """
        if self._transport is None or self._transport.is_closing():
            return
        data = peer_codec.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            logs.warning("datagram_too_long", kind=type(message).__name__, bytes=len(data))
            return
        self.bytes_sent += len(data)
        self._transport.sendto(data, (address.ip, address.port))
