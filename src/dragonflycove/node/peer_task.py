"""Owns the connections to the other nodes and passes their messages to the tasks' handlers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import result
import websockets
from websockets.asyncio import server as ws_server

from dragonflycove.peering import codec, link, messages, relaying
from dragonflycove.telemetry import logs
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from websockets.asyncio import connection as ws_connection

    from dragonflycove.telemetry import metrics as node_metrics

MessageT = TypeVar("MessageT")
"""Type of the message that a handler takes."""

MAX_INBOUND_CONNECTIONS = 512
"""Maximum number of open connections in both directions; then inbound ones are refused."""

REFUSED_CLOSE_CODE = 1008
"""WebSocket close code (policy violation) after data that is not a valid frame."""


class PeerTask:
    """Sends messages to other nodes and calls the handler registered for each received type."""

    def __init__(
        self,
        identity: identifiers.NodeIdentity,
        listen_address: str,
        rng: random.Random,
        metrics: node_metrics.Metrics,
        make_header: Callable[[str], messages.Header],
    ) -> None:
        """Create the task; sockets are opened by `run` and `send`.

        Args:
            identity: Host name and incarnation of this process.
            listen_address: Address at which to listen for other nodes, `a.b.c.d:port`.
            rng: Generator of identifiers and random choices.
            metrics: The node's metrics.
            make_header: Returns the header for a frame, given the sender as `host/incarnation`.
        """
        self.registry = codec.new_registry()
        """Message types that this node can decode; tasks add their own before `run`."""
        self._identity = identity
        self._listen_address = listen_address
        self._rng = rng
        self._metrics = metrics
        self._make_header = make_header
        self._relay = relaying.Relay(rng)
        self._handlers_by_type: dict[type[Any], Callable[[identifiers.NodeIdentity, Any], None]]
        self._handlers_by_type = {relaying.Relayed: self._on_relayed}
        self._headers_by_host: dict[str, messages.Header] = {}
        self._header_observers: list[Callable[[messages.Header], None]] = []
        self._addresses_by_host: dict[str, str] = {}
        self._live_hosts: tuple[str, ...] = ()
        self._links_by_host: dict[str, link.PeerLink] = {}
        self._runners_by_host: dict[str, asyncio.Task[None]] = {}
        self._readers: set[asyncio.Task[None]] = set()

    def register(self, name: str, version: int, message_type: type[Any]) -> None:
        """Register a message type of another task.

        Args:
            name: Name of the message type on the wire.
            version: Version of the message type on the wire.
            message_type: A `NamedTuple` of values that CBOR can encode.
        """
        self.registry.register(name, version, message_type)

    def handle(
        self,
        message_type: type[MessageT],
        handler: Callable[[identifiers.NodeIdentity, MessageT], None],
    ) -> None:
        """Set the handler of a message type.

        Args:
            message_type: A registered type.
            handler: Called in the event loop with the sender and the message; must not block.
        """
        self._handlers_by_type[message_type] = handler

    def observe_headers(self, observer: Callable[[messages.Header], None]) -> None:
        """Add a callable that gets the header of every received frame.

        Args:
            observer: Called in the event loop before the message's handler; must not block.
        """
        self._header_observers.append(observer)

    def header_of(self, host: str) -> messages.Header | None:
        """Return the header of the last frame from a host; `None` if there was no frame.

        In a handler this is the header of the frame being handled.

        Args:
            host: Name of the host.
        """
        return self._headers_by_host.get(host)

    def on_hosts(self, addresses_by_host: Mapping[str, str]) -> None:
        """Update the addresses of the other nodes and close links to other addresses.

        Args:
            addresses_by_host: Peer addresses by host; an entry for this host is ignored.
        """
        self._addresses_by_host = {
            host: address
            for host, address in addresses_by_host.items()
            if host != self._identity.host
        }
        for host in self._headers_by_host.keys() - self._addresses_by_host.keys():
            del self._headers_by_host[host]
        for host, known in list(self._links_by_host.items()):
            if self._addresses_by_host.get(host) != known.address:
                self._close_link(host)

    def on_live_hosts(self, live_hosts: tuple[str, ...]) -> None:
        """Set the hosts to which broadcasts are sent.

        Args:
            live_hosts: Names of the other hosts that are alive.
        """
        self._live_hosts = live_hosts

    def send(self, host: str, message: object) -> bool:
        """Queue a message for a host; it may arrive more than once or get lost.

        Args:
            host: Name of the host.
            message: A message of a registered type; handling it twice must be harmless.

        Returns:
            Whether it was queued: the host's address is known and the frame is not too large.
        """
        header = self._make_header(str(self._identity))
        encoded = self.registry.encode(header, message)
        if isinstance(encoded, result.Err):
            logs.warning("peer_frame_too_large", host=host, reason=encoded.err_value.reason)
            self._metrics.count("peer_frame_too_large")
            return False
        peer_link = self._link_to(host)
        if peer_link is None:
            self._metrics.count("peer_address_unknown")
            return False
        peer_link.post(encoded.ok_value)
        return True

    def broadcast(self, message: object, fan_out: int = relaying.FAN_OUT_HOSTS) -> None:
        """Send a message to all live nodes; each forwards it to a bounded number of others.

        Args:
            message: A message of a registered type; some nodes may not receive it.
            fan_out: Number of hosts to which this node sends it.
        """
        message_id = identifiers.new_id(self._rng, "relay")
        self._relay.add_if_new(message_id)
        packed = self.registry.pack(message)
        relayed = relaying.Relayed(message_id, relaying.MAX_HOPS, str(self._identity), *packed)
        for host in self._relay.choose(self._live_hosts, fan_out):
            self.send(host, relayed)

    async def run(self) -> None:
        """Listen for other nodes until cancelled, then close all links."""
        address, _, port = self._listen_address.rpartition(":")
        try:
            async with ws_server.serve(
                self._serve,
                address,
                int(port),
                max_size=messages.MAX_FRAME_BYTES,
                compression=None,
                close_timeout=link.CONFIRMATION_TIMEOUT_SECONDS,
            ):
                await asyncio.get_running_loop().create_future()
        finally:
            for host in list(self._links_by_host):
                self._close_link(host)
            for reader in self._readers:
                reader.cancel()

    async def _serve(self, connection: ws_server.ServerConnection) -> None:
        if len(self._readers) >= MAX_INBOUND_CONNECTIONS:
            self._metrics.count("peer_connection_refused")
            await connection.close(1013, "too many connections")
            return
        reader = asyncio.current_task()
        assert reader is not None
        self._readers.add(reader)
        try:
            await self._read(connection, is_inbound=True)
        finally:
            self._readers.discard(reader)

    def _start_reader(self, connection: ws_connection.Connection) -> None:
        reader = asyncio.create_task(self._read(connection, is_inbound=False))
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)

    async def _read(self, connection: ws_connection.Connection, *, is_inbound: bool) -> None:
        try:
            async for data in connection:
                frame = self.registry.decode(data if isinstance(data, bytes) else data.encode())
                if isinstance(frame, messages.BadFrame):
                    self._metrics.count("peer_frame_refused")
                    logs.warning("peer_frame_refused", reason=frame.reason)
                    await connection.close(REFUSED_CLOSE_CODE, frame.reason[:120])
                    return
                sender = identifiers.NodeIdentity.parse(frame.header.sender)
                if is_inbound:
                    self._use_inbound(sender.host, connection)
                self._receive(sender, frame)
        except websockets.ConnectionClosed:
            return

    def _use_inbound(self, host: str, connection: ws_connection.Connection) -> None:
        peer_link = self._link_to(host)
        if peer_link is not None:
            peer_link.use_inbound(connection)

    def _receive(
        self, sender: identifiers.NodeIdentity, frame: messages.Frame | messages.UnknownFrame
    ) -> None:
        self._headers_by_host[sender.host] = frame.header
        for observer in self._header_observers:
            observer(frame.header)
        if isinstance(frame, messages.UnknownFrame):
            self._metrics.count("peer_message_unknown")
            return
        self._call_handler(sender, frame.message)

    def _call_handler(self, sender: identifiers.NodeIdentity, message: object) -> None:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            self._metrics.count("peer_message_unhandled")
            return
        handler(sender, message)

    def _on_relayed(self, sender: identifiers.NodeIdentity, message: relaying.Relayed) -> None:
        if not self._relay.add_if_new(message.message_id):
            return
        if message.hops_left > 0:
            forwarded = message._replace(hops_left=message.hops_left - 1)
            for host in self._relay.choose(self._live_hosts):
                self.send(host, forwarded)
        packed = messages.PackedMessage(message.kind, message.kind_version, message.body)
        inner = self.registry.unpack(packed)
        if inner is None:
            self._metrics.count("peer_message_unknown")
            return
        self._call_handler(identifiers.NodeIdentity.parse(message.origin), inner)

    def _link_to(self, host: str) -> link.PeerLink | None:
        peer_link = self._links_by_host.get(host)
        if peer_link is not None:
            return peer_link
        address = self._addresses_by_host.get(host)
        if address is None:
            return None
        new_link = link.PeerLink(address, self._start_reader, self._count)
        self._links_by_host[host] = new_link
        self._runners_by_host[host] = asyncio.create_task(new_link.run())
        return new_link

    def _close_link(self, host: str) -> None:
        del self._links_by_host[host]
        self._runners_by_host.pop(host).cancel()

    def _count(self, counts: link.LinkCounts) -> None:
        self._metrics.count("peer_frames_delivered", counts.delivered)
        self._metrics.count("peer_frames_lost", counts.lost)
        self._metrics.count("peer_connections_renewed", counts.reconnections)
