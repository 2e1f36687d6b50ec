"""Registry of a stand-in's open connections, to reset them or to stop sending on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from uvicorn.protocols.http import h11_impl

if TYPE_CHECKING:
    import asyncio

Client = tuple[str, int]
"""IP address and port of the client's end of a connection."""


class ConnectionRegistry:
    """Open connections by client."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._transports_by_client: dict[Client, asyncio.Transport] = {}
        self._silenced: set[Client] = set()

    def add(self, client: Client, transport: asyncio.Transport) -> None:
        """Add an accepted connection."""
        self._transports_by_client[client] = transport

    def remove(self, client: Client) -> None:
        """Remove a closed connection."""
        self._transports_by_client.pop(client, None)
        self._silenced.discard(client)

    def reset(self, client: Client) -> None:
        """Close a connection at once; data not sent yet is lost."""
        transport = self._transports_by_client.get(client)
        if transport is not None:
            transport.abort()

    def reset_all(self) -> None:
        """Close every open connection at once."""
        for client in list(self._transports_by_client):
            self.reset(client)

    def silence_all(self, except_client: Client | None = None) -> None:
        """Stop sending on all currently open connections, without closing them.

        Args:
            except_client: Client whose connection keeps working: the one that set the fault switch.
        """
        self._silenced.update(set(self._transports_by_client) - {except_client})

    def is_silenced(self, client: Client) -> bool:
        """Return whether sending on a connection was stopped by `silence_all`."""
        return client in self._silenced

    def protocol(self) -> type[h11_impl.H11Protocol]:
        """Return a protocol class for uvicorn that adds its connections to this registry."""
        connections = self

        class RecordingProtocol(h11_impl.H11Protocol):
            """HTTP/1.1 protocol that registers its connection while it is open."""

            def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
                """Register the connection."""
                super().connection_made(transport)
                if self.client is not None:
                    connections.add(self.client, transport)

            def connection_lost(self, exc: Exception | None) -> None:
                """Unregister the connection."""
                if self.client is not None:
                    connections.remove(self.client)
                super().connection_lost(exc)

        return RecordingProtocol
