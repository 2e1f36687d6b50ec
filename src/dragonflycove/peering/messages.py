"""Messages between nodes: the registry of their types, and the frames that carry them."""

from __future__ import annotations

from typing import Any, NamedTuple

import cbor2
import msgspec
import result

PROTOCOL_VERSION = 1
"""Version of the frame's own layout."""

MAX_FRAME_BYTES = 131_072
"""Largest frame that is sent or taken, bytes."""


class Header(NamedTuple):
    """What every frame tells about its sender."""

    sender: str
    """The sending process, `host/incarnation`."""

    version: int
    """Configuration version in force at the sender."""

    next_offset: int
    """Offset of the first record of the configuration stream that it has not applied."""

    log_age_seconds: float
    """Age of the last reading of the log that it knows of; -1 if it knows of none."""


class Frame(NamedTuple):
    """One message with its header."""

    header: Header
    """About the sender."""

    message: Any
    """A message of a registered type."""


class UnknownFrame(NamedTuple):
    """A well-formed frame whose message this release does not know; the connection is kept."""

    header: Header
    """About the sender."""

    kind: str
    """Kind of the message."""

    kind_version: int
    """Version of that kind."""


class BadFrame(NamedTuple):
    """Bytes that are no frame of ours; the connection is closed."""

    reason: str
    """What is wrong."""


class PackedMessage(NamedTuple):
    """A message without a frame."""

    kind: str
    """Kind of the message."""

    kind_version: int
    """Version of that kind."""

    body: bytes
    """Its fields in CBOR."""


class _Kind(NamedTuple):
    """Name and version of a message type on the wire."""

    name: str
    version: int


class Registry:
    """The message types that a node understands."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._type_by_kind: dict[_Kind, type[Any]] = {}
        self._kind_by_type: dict[type[Any], _Kind] = {}

    def register(self, name: str, version: int, message_type: type[Any]) -> None:
        """Add a message type.

        Args:
            name: Name of the kind on the wire.
            version: Version of the kind; a change of the fields takes a new one.
            message_type: A `NamedTuple` of values that CBOR carries.

        Raises:
            ValueError: The kind is taken.
        """
        kind = _Kind(name, version)
        if kind in self._type_by_kind:
            raise ValueError(f"{name} version {version} is registered already")
        self._type_by_kind[kind] = message_type
        self._kind_by_type[message_type] = kind

    def encode(self, header: Header, message: Any) -> result.Result[bytes, BadFrame]:
        """Encode a frame.

        Args:
            header: About this node.
            message: A message of a registered type.

        Returns:
            The bytes, or that they would be too many.
        """
        kind = self._kind_by_type[type(message)]
        body = msgspec.to_builtins(message, builtin_types=(bytes,))
        data = cbor2.dumps([PROTOCOL_VERSION, list(header), kind.name, kind.version, body])
        if len(data) > MAX_FRAME_BYTES:
            return result.Err(BadFrame(f"{kind.name} takes {len(data)} bytes"))
        return result.Ok(data)

    def decode(self, data: bytes) -> Frame | UnknownFrame | BadFrame:
        """Decode a frame.

        Args:
            data: The bytes.

        Returns:
            The frame, or what can be said of bytes that are none.
        """
        if len(data) > MAX_FRAME_BYTES:
            return BadFrame(f"{len(data)} bytes are too many")
        try:
            layout = cbor2.loads(data)
        except Exception as error:  # noqa: BLE001 - the decoder raises many kinds on hostile bytes
            return BadFrame(f"not CBOR: {type(error).__name__}")
        if not isinstance(layout, list) or len(layout) != 5:
            return BadFrame("not a frame")
        if layout[0] != PROTOCOL_VERSION:
            return BadFrame(f"protocol version {layout[0]!r} is not {PROTOCOL_VERSION}")
        return self._decode_layout(layout)

    def pack(self, message: Any) -> PackedMessage:
        """Encode a message without a frame.

        Args:
            message: A message of a registered type.

        Returns:
            The message, encoded.
        """
        kind = self._kind_by_type[type(message)]
        body = msgspec.to_builtins(message, builtin_types=(bytes,))
        return PackedMessage(kind.name, kind.version, cbor2.dumps(body))

    def unpack(self, packed: PackedMessage) -> Any | None:
        """Decode a message without a frame.

        Args:
            packed: The message, encoded.

        Returns:
            The message; `None` if this release does not know it or it is malformed.
        """
        message_type = self._type_by_kind.get(_Kind(packed.kind, packed.kind_version))
        if message_type is None:
            return None
        try:
            return msgspec.convert(cbor2.loads(packed.body), message_type)
        except Exception:  # noqa: BLE001 - the decoder raises many kinds on hostile bytes
            return None

    def _decode_layout(self, layout: list[Any]) -> Frame | UnknownFrame | BadFrame:
        try:
            header = msgspec.convert(layout[1], Header)
            kind = msgspec.convert(layout[2:4], _Kind)
        except msgspec.ValidationError as error:
            return BadFrame(f"bad header: {error}")
        message_type = self._type_by_kind.get(kind)
        if message_type is None:
            return UnknownFrame(header, kind.name, kind.version)
        try:
            return Frame(header, msgspec.convert(layout[4], message_type))
        except msgspec.ValidationError as error:
            return BadFrame(f"bad {kind.name}: {error}")
