"""TCP proxy on loopback that injects delays, resets and loss in one or both directions."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

READ_BYTES = 65_536
"""Most bytes that are forwarded at a time."""


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, target: catalog.Address) -> None:
        """Create a proxy without faults.

        Args:
            target: Address to which connections are forwarded.
        """
        self._target = target
        self.delay_seconds = 0.0
        """Delay of each forwarded block of bytes."""
        self.drops_requests = False
        """Whether bytes to the target are discarded."""
        self.drops_responses = False
        """Whether bytes from the target are discarded."""
        self.silenced_ips: set[str] = set()
        """Callers' IP addresses whose bytes are discarded in both directions."""
        self._writers: set[asyncio.StreamWriter] = set()
        self._writers_by_ip: dict[str, set[asyncio.StreamWriter]] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, address: catalog.Address) -> None:
        """Start to accept connections.

        Args:
            address: Address to listen on.
        """
        self._server = await asyncio.start_server(self._on_connection, address.ip, address.port)

    def clear_faults(self) -> None:
        """Remove all faults; bytes that were discarded are not sent again."""
        self.delay_seconds = 0.0
        self.drops_requests = self.drops_responses = False

    def reset_all(self) -> None:
        """Reset all open connections."""
        self._reset(self._writers)

    def reset_from(self, ip: str) -> None:
        """Reset the open connections from an IP address."""
        self._reset(self._writers_by_ip.get(ip, set()))

    def _reset(self, writers: set[asyncio.StreamWriter]) -> None:
        for writer in writers:
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def stop_accepting(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip = str(writer.get_extra_info("peername")[0])
        try:
            # Connects from the caller's address, by which the server tells its callers apart.
            target_reader, target_writer = await asyncio.open_connection(
                *self._target, local_addr=(ip, 0)
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        self._writers_by_ip.setdefault(ip, set()).update(writers)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, ip, is_to_target=True),
                self._forward(target_reader, writer, ip, is_to_target=False),
            )
        except asyncio.CancelledError:
            # Cancelled at the end of the soak; asyncio would log the cancellation as an error.
            pass
        finally:
            self._writers -= writers
            self._writers_by_ip[ip] -= writers
            for one in writers:
                one.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        ip: str,
        *,
        is_to_target: bool,
    ) -> None:
        with contextlib.suppress(OSError):  # Either end may reset; then the other is closed.
            while data := await reader.read(READ_BYTES):
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                is_dropped = self.drops_requests if is_to_target else self.drops_responses
                if is_dropped or ip in self.silenced_ips:
                    continue
                writer.write(data)
                await writer.drain()
            if is_to_target:
                # Reset, so that the server notices at once that its caller has disconnected.
                writer.transport.abort()
                return
            writer.close()
