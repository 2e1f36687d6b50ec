"""Transfers store records between nodes, for a node that the store does not respond to."""

from __future__ import annotations

import asyncio
import struct
import zlib
from typing import TYPE_CHECKING, NamedTuple, TypeVar

import cbor2
import msgspec
import result

# Messages between nodes are decoded by this type at run time.
from dragonflycove.platform import store  # noqa: TC001
from dragonflycove.telemetry import logs
from dragonflycove.transport import http1

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog
    from dragonflycove.gateway import store_follower, topic_position

TRANSFER_TIMEOUT_SECONDS = 1.0
"""Timeout of a complete transfer; a configuration of some hundred routes takes milliseconds."""

MAX_MESSAGE_BYTES = 33_554_432
"""Maximum size of a message, compressed or not; a configuration has at most a few megabytes."""

MAX_REQUEST_BYTES = 4_096
"""The same of a request, which has a few numbers; anyone may connect."""

COMPRESSION_LEVEL = 1
"""zlib's fastest level; configurations shrink to about a tenth, and hosts have little bandwidth."""

LISTEN_BACKLOG = 256
"""Connections that wait to be accepted; all nodes may connect at once after a change."""

_LENGTH = struct.Struct(">I")

_T = TypeVar("_T")


class TopicRequest(NamedTuple):
    """Request for the new records of one topic."""

    after: int
    """Offset up to which the requesting node knows all records.

    -1 requests the newest records of all keys; the requesting node takes missing keys as deleted.
    """


class TopicResponse(NamedTuple):
    """New records of one topic."""

    records: tuple[store.Record, ...]
    """Newest record of each key whose offset is above the requested one."""

    next_offset: int | None
    """Offset that the sender reads next.

    None if it has never listed the topic, or doesn't know all deletions after the requested offset.
    """

    age_seconds: float
    """Time since the sender last knew that the topic held nothing newer."""


class Request(NamedTuple):
    """Request for the new records of both topics."""

    operators: TopicRequest
    """Part for the operators' topic."""

    servers: TopicRequest
    """Part for the servers' topic."""


class Response(NamedTuple):
    """New records of both topics."""

    operators: TopicResponse
    """Part for the operators' topic."""

    servers: TopicResponse
    """Part for the servers' topic."""


class TransferServer:
    """Serves this node's records to other nodes."""

    def __init__(self, follower: store_follower.StoreFollower, max_connections: int) -> None:
        """Create a server that does not listen yet.

        Args:
            follower: Store records of this node.
            max_connections: Connections that are served at once; others are closed.
        """
        self._follower = follower
        self._max_connections = max_connections
        self._connections = 0
        self._server: asyncio.Server | None = None

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def listen(self, address: catalog.Address) -> None:
        """Begin to accept connections.

        Args:
            address: Where to listen.
        """
        self._server = await asyncio.start_server(
            self._on_connection, address.ip, address.port, backlog=LISTEN_BACKLOG
        )

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        try:
            if self._connections > self._max_connections:
                raise OSError("too many connections")
            async with asyncio.timeout(TRANSFER_TIMEOUT_SECONDS):
                request = await _read(reader, Request, MAX_REQUEST_BYTES)
                writer.write(_frame(self._respond(request)))
                await writer.drain()
        except (OSError, TimeoutError, EOFError, ValueError, zlib.error) as error:
            logs.warning("transfer_failed", side="server", why=repr(error))
        finally:
            self._connections -= 1
            writer.close()

    def _respond(self, request: Request) -> Response:
        return Response(
            build_topic_response(self._follower.operators, request.operators),
            build_topic_response(self._follower.servers, request.servers),
        )


def build_topic_response(
    position: topic_position.TopicPosition, request: TopicRequest
) -> TopicResponse:
    """Respond to a request for the new records of a topic.

    Args:
        position: What this node knows of the topic.
        request: The request.

    Returns:
        The newest record of each key whose offset is above the requested one.
    """
    newer = [record for record in position.record_by_key.values() if record.offset > request.after]
    age = asyncio.get_running_loop().time() - position.fresh_as_of
    next_offset = position.next_offset if position.covers(request.after) else None
    return TopicResponse(tuple(newer), next_offset, age)


async def fetch(address: catalog.Address, request: Request) -> result.Result[Response, str]:
    """Fetch new records from another node.

    Args:
        address: The node.
        request: Offsets that this node already has.

    Returns:
        The new records, or the error that ended the transfer.
    """
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(TRANSFER_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            http1.set_socket_options(writer)
            writer.write(_frame(request))
            return result.Ok(await _read(reader, Response, MAX_MESSAGE_BYTES))
    except (OSError, TimeoutError, EOFError, ValueError, zlib.error) as error:
        return result.Err(repr(error))
    finally:
        if writer is not None:
            writer.close()


def _frame(message: Request | Response) -> bytes:
    encoded = cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    compressed = zlib.compress(encoded, COMPRESSION_LEVEL)
    return _LENGTH.pack(len(compressed)) + compressed


async def _read(reader: asyncio.StreamReader, kind: type[_T], max_bytes: int) -> _T:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > max_bytes:
        raise ValueError(f"message of {length} bytes")
    decompressor = zlib.decompressobj()
    encoded = decompressor.decompress(await reader.readexactly(length), max_bytes)
    return msgspec.convert(cbor2.loads(encoded), type=kind)
