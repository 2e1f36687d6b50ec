"""Owns the connections to the other nodes and hands messages to the tasks."""

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
"""Type of a message."""

MAX_INBOUND = 512
"""Most connections from other nodes at once."""

REFUSED_CLOSE_CODE = 1008
"""Code with which a connection is closed after bytes that are no frame of ours."""


class PeerTask:
    """Sends and takes messages; who handles them registers for their type."""

    def __init__(
        self,
        identity: identifiers.NodeIdentity,
        listen_address: str,
        rng: random.Random,
        metrics: node_metrics.Metrics,
        make_header: Callable[[str], messages.Header],
    ) -> None:
        """Create the task without sockets.

        Args:
            identity: This process.
            listen_address: Where other nodes connect, `a.b.c.d:port`.
            rng: Where identifiers and choices come from.
            metrics: The node's metrics.
            make_header: Gives the header of a frame, for this process as `host/incarnation`.
        """
        self.registry = codec.new_registry()
        """The message types that this node understands; tasks add their own before `run`."""
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
        """Add a message type of another task.

        Args:
            name: Name of the kind on the wire.
            version: Version of the kind.
            message_type: A `NamedTuple` of values that CBOR carries.
        """
        self.registry.register(name, version, message_type)

    def handle(
        self,
        message_type: type[MessageT],
        handler: Callable[[identifiers.NodeIdentity, MessageT], None],
    ) -> None:
        """Set who takes the messages of a type.

        Args:
            message_type: A registered type.
            handler: Called on the loop with the sender; it must not block.
        """
        self._handlers_by_type[message_type] = handler

    def observe_headers(self, observer: Callable[[messages.Header], None]) -> None:
        """Hand the header of every frame to a callable.

        Args:
            observer: Called on the loop; it must not block.
        """
        self._header_observers.append(observer)

    def header_of(self, host: str) -> messages.Header | None:
        """Return the header of the last frame from a host; in a handler, of the frame at hand.

        Args:
            host: Name of the host.
        """
        return self._headers_by_host.get(host)

    def on_hosts(self, addresses_by_host: Mapping[str, str]) -> None:
        """Take note of where the other nodes are.

        Args:
            addresses_by_host: Peer addresses by host; this host may be among them.
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
        """Take note of which other hosts are alive, for messages to all.

        Args:
            live_hosts: Names of the hosts.
        """
        self._live_hosts = live_hosts

    def send(self, host: str, message: object) -> bool:
        """Send a message to a host, at least once or not at all.

        Args:
            host: Name of the host.
            message: A message of a registered type; it has to bear repetition.

        Returns:
            Whether there is a way to it; the message may still get lost.
        """
        header = self._make_header(str(self._identity))
        encoded = self.registry.encode(header, message)
        if isinstance(encoded, result.Err):
            logs.warning("peer_frame_too_large", host=host, reason=encoded.err_value.reason)
            self._metrics.count("peer_frame_too_large")
            return False
        found = self._link_to(host)
        if found is None:
            self._metrics.count("peer_address_unknown")
            return False
        found.post(encoded.ok_value)
        return True

    def broadcast(self, message: object, fan_out: int = relaying.FAN_OUT_HOSTS) -> None:
        """Send a message to all live nodes; each passes it on to a bounded number of others.

        Args:
            message: A message of a registered type; a few nodes may miss it.
            fan_out: Hosts to which this node sends it.
        """
        message_id = identifiers.new_id(self._rng, "relay")
        self._relay.add_if_new(message_id)
        packed = self.registry.pack(message)
        relayed = relaying.Relayed(message_id, relaying.MAX_HOPS, str(self._identity), *packed)
        for host in self._relay.choose(self._live_hosts, fan_out):
            self.send(host, relayed)

    async def run(self) -> None:
        """Listen and send until cancelled."""
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
        if len(self._readers) >= MAX_INBOUND:
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

    def _adopt(self, connection: ws_connection.Connection) -> None:
        reader = asyncio.create_task(self._read(connection, is_inbound=False))
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)

    async def _read(self, connection: ws_connection.Connection, *, is_inbound: bool) -> None:
        try:
            async for data in connection:
                taken = self.registry.decode(data if isinstance(data, bytes) else data.encode())
                if isinstance(taken, messages.BadFrame):
                    self._metrics.count("peer_frame_refused")
                    logs.warning("peer_frame_refused", reason=taken.reason)
                    await connection.close(REFUSED_CLOSE_CODE, taken.reason[:120])
                    return
                sender = identifiers.NodeIdentity.parse(taken.header.sender)
                if is_inbound:
                    self._offer_inbound(sender.host, connection)
                self._take(sender, taken)
        except websockets.ConnectionClosed:
            return

    def _offer_inbound(self, host: str, connection: ws_connection.Connection) -> None:
        found = self._link_to(host)
        if found is not None:
            found.use_inbound(connection)

    def _take(
        self, sender: identifiers.NodeIdentity, taken: messages.Frame | messages.UnknownFrame
    ) -> None:
        self._headers_by_host[sender.host] = taken.header
        for observer in self._header_observers:
            observer(taken.header)
        if isinstance(taken, messages.UnknownFrame):
            self._metrics.count("peer_message_unknown")
            return
        self._hand_over(sender, taken.message)

    def _hand_over(self, sender: identifiers.NodeIdentity, message: object) -> None:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            self._metrics.count("peer_message_unhandled")
            return
        handler(sender, message)

    def _on_relayed(self, sender: identifiers.NodeIdentity, message: relaying.Relayed) -> None:
        if not self._relay.add_if_new(message.message_id):
            return
        if message.hops_left > 0:
            passed_on = message._replace(hops_left=message.hops_left - 1)
            for host in self._relay.choose(self._live_hosts):
                self.send(host, passed_on)
        packed = messages.PackedMessage(message.kind, message.kind_version, message.body)
        inner = self.registry.unpack(packed)
        if inner is None:
            self._metrics.count("peer_message_unknown")
            return
        self._hand_over(identifiers.NodeIdentity.parse(message.origin), inner)

    def _link_to(self, host: str) -> link.PeerLink | None:
        found = self._links_by_host.get(host)
        if found is not None:
            return found
        address = self._addresses_by_host.get(host)
        if address is None:
            return None
        made = link.PeerLink(address, self._adopt, self._count)
        self._links_by_host[host] = made
        self._runners_by_host[host] = asyncio.create_task(made.run())
        return made

    def _close_link(self, host: str) -> None:
        del self._links_by_host[host]
        self._runners_by_host.pop(host).cancel()

    def _count(self, counts: link.LinkCounts) -> None:
        self._metrics.count("peer_frames_delivered", counts.delivered)
        self._metrics.count("peer_frames_lost", counts.lost)
        self._metrics.count("peer_connections_renewed", counts.reconnections)
