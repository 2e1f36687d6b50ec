"""Registry of the message types between nodes, and encoding of frames with a message."""

from __future__ import annotations

from typing import Any, NamedTuple

import cbor2
import msgspec
import result

PROTOCOL_VERSION = 1
"""Version of the frame layout; frames of another version are rejected."""

MAX_FRAME_BYTES = 131_072
"""Maximum size of a frame sent or accepted, bytes."""


class Header(NamedTuple):
    """State of the sender, which every frame carries."""

    sender: str
    """Identity of the sending process, `host/incarnation`."""

    version: int
    """Configuration version in force at the sender."""

    next_offset: int
    """Offset of the first record of the configuration stream that the sender has not applied."""

    log_age_seconds: float
    """Age of the latest read of the log that the sender knows of; -1 if it knows of no read."""


class Frame(NamedTuple):
    """A decoded frame: a message with its header."""

    header: Header
    """State of the sender."""

    message: Any
    """Message of a registered type."""


class UnknownFrame(NamedTuple):
    """A valid frame with a message kind unknown to this release; the connection stays open."""

    header: Header
    """State of the sender."""

    kind: str
    """Kind of the message."""

    kind_version: int
    """Version of the kind."""


class BadFrame(NamedTuple):
    """Bytes that are not a valid frame; the connection is closed."""

    reason: str
    """Description of the error."""


class PackedMessage(NamedTuple):
    """An encoded message without a frame, for embedding in another message."""

    kind: str
    """Kind of the message."""

    kind_version: int
    """Version of the kind."""

    body: bytes
    """Fields of the message, encoded as CBOR."""


class _Kind(NamedTuple):
    """Name and version that identify a message type in a frame."""

    name: str
    version: int


class Registry:
    """Message types that a node can encode and decode."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._type_by_kind: dict[_Kind, type[Any]] = {}
        self._kind_by_type: dict[type[Any], _Kind] = {}

    def register(self, name: str, version: int, message_type: type[Any]) -> None:
        """Add a message type.

        Args:
            name: Name of the kind in frames.
            version: Version of the kind; must change whenever the fields change.
            message_type: A `NamedTuple` of values that CBOR can encode.

        Raises:
            ValueError: The name and version are registered already.
        """
        kind = _Kind(name, version)
        if kind in self._type_by_kind:
            raise ValueError(f"{name} version {version} is registered already")
        self._type_by_kind[kind] = message_type
        self._kind_by_type[message_type] = kind

    def encode(self, header: Header, message: Any) -> result.Result[bytes, BadFrame]:
        """Encode a frame.

        Args:
            header: State of this node.
            message: A message of a registered type.

        Returns:
            The bytes, or an error if they exceed `MAX_FRAME_BYTES`.
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
            data: Received bytes, which may be malformed.

        Returns:
            The frame, or why there is no known message in it.
        """
        if len(data) > MAX_FRAME_BYTES:
            return BadFrame(f"{len(data)} bytes exceed the limit")
        try:
            layout = cbor2.loads(data)
        except Exception as error:  # noqa: BLE001 - the decoder raises many types on bad bytes
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
            The encoded message.
        """
        kind = self._kind_by_type[type(message)]
        body = msgspec.to_builtins(message, builtin_types=(bytes,))
        return PackedMessage(kind.name, kind.version, cbor2.dumps(body))

    def unpack(self, packed: PackedMessage) -> Any | None:
        """Decode a message without a frame.

        Args:
            packed: Encoded message, which may be malformed.

        Returns:
            The message; `None` if its kind is unknown or its fields are malformed.
        """
        message_type = self._type_by_kind.get(_Kind(packed.kind, packed.kind_version))
        if message_type is None:
            return None
        try:
            return msgspec.convert(cbor2.loads(packed.body), message_type)
        except Exception:  # noqa: BLE001 - the decoder raises many types on bad bytes
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
