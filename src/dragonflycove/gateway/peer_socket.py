"""The node's UDP socket for messages to other nodes.

Datagrams don't block on unresponsive nodes and don't delay each other. Every message can be lost:
reports are repeated, placement requests are resent, and every wait for a message has a timeout.
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
"""Maximum size of a datagram that is sent; a longer message is logged and dropped."""


class PeerSocket(asyncio.DatagramProtocol):
    """Sends messages and passes received ones to the handler of their type."""

    def __init__(self) -> None:
        """Create the object; `listen` opens the socket."""
        self._transport: asyncio.DatagramTransport | None = None
        self._handler_by_type: dict[type, Callable[[Any, catalog.Address], None]] = {}
        self.bytes_sent = 0
        """Bytes of datagrams sent so far."""

    async def listen(self, address: catalog.Address) -> None:
        """Open the socket.

        Args:
            address: Where to listen.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.ip, address.port))

    def register(self, kind: type, handler: Callable[[Any, catalog.Address], None]) -> None:
        """Set the handler of a message type; there is one per type.

        Args:
            kind: Type of the message.
            handler: Called with the message and its sender.
        """
        self._handler_by_type[kind] = handler

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio when the socket is open."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered; called by asyncio."""
        logs.event("datagram_error", why=str(exc))

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Decode a datagram and call its handler; called by asyncio."""
        decoded = peer_codec.decode(data)
        if isinstance(decoded, result.Err):
            logs.warning("datagram_unreadable", sender=addr[0], why=decoded.err_value)
            return
        handler = self._handler_by_type.get(type(decoded.ok_value))
        if handler is not None:
            handler(decoded.ok_value, catalog.Address(str(addr[0]), int(addr[1])))

    def send(self, address: catalog.Address, message: peer_messages.Message) -> None:
        """Send a message, which may be lost without notice.

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
