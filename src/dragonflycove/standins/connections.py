"""Open connections of a stand-in, so that it can cut one or let it go silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from uvicorn.protocols.http import h11_impl

if TYPE_CHECKING:
    import asyncio

Client = tuple[str, int]
"""Address and port of the other end."""


class ConnectionRegistry:
    """The open connections by their other end."""

    def __init__(self) -> None:
        """Create the registry without connections."""
        self._transports_by_client: dict[Client, asyncio.Transport] = {}
        self._silenced: set[Client] = set()

    def add(self, client: Client, transport: asyncio.Transport) -> None:
        """Note an open connection."""
        self._transports_by_client[client] = transport

    def remove(self, client: Client) -> None:
        """Forget a connection that has ended."""
        self._transports_by_client.pop(client, None)
        self._silenced.discard(client)

    def reset(self, client: Client) -> None:
        """Reset a connection; what was written and not yet sent is lost."""
        transport = self._transports_by_client.get(client)
        if transport is not None:
            transport.abort()

    def reset_all(self) -> None:
        """Reset every connection."""
        for client in list(self._transports_by_client):
            self.reset(client)

    def silence_all(self, except_client: Client | None = None) -> None:
        """Let all connections that are open now carry nothing any more.

        Args:
            spared: The one that goes on, such as the one that carries this order.
        """
        self._silenced.update(set(self._transports_by_client) - {except_client})

    def is_silenced(self, client: Client) -> bool:
        """Tell whether a connection carries nothing any more."""
        return client in self._silenced

    def protocol(self) -> type[h11_impl.H11Protocol]:
        """Return a protocol class for uvicorn that keeps this registry."""
        connections = self

        class RecordingProtocol(h11_impl.H11Protocol):
            """HTTP/1.1 protocol that notes its connection in the registry."""

            def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
                """Note the connection."""
                super().connection_made(transport)
                if self.client is not None:
                    connections.add(self.client, transport)

            def connection_lost(self, exc: Exception | None) -> None:
                """Forget the connection."""
                if self.client is not None:
                    connections.remove(self.client)
                super().connection_lost(exc)

        return RecordingProtocol
