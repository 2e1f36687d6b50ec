"""Encodes messages between nodes as CBOR arrays: format version, number of the type, fields.

Fields are encoded by position. A message of another format version is rejected.
"""

from __future__ import annotations

import typing

import cbor2
import msgspec
import result

from dragonflycove.fleet import peer_messages

FORMAT_VERSION = 1
"""Version of the message format; nodes of different versions can't read each other's messages."""

_TYPES = typing.get_args(peer_messages.Message)

_NUMBER_BY_TYPE = {kind: type_number for type_number, kind in enumerate(_TYPES)}


def encode(message: peer_messages.Message) -> bytes:
    """Encode a message.

    Args:
        message: The message.
    """
    content = msgspec.to_builtins(message)
    return cbor2.dumps([FORMAT_VERSION, _NUMBER_BY_TYPE[type(message)], content])


def decode(data: bytes) -> result.Result[peer_messages.Message, str]:
    """Decode a message.

    Args:
        data: Content of one datagram.

    Returns:
        The message, or why it can't be decoded.
    """
    try:
        version, type_number, content = cbor2.loads(data)
        if version != FORMAT_VERSION:
            return result.Err(f"format version {version} is not supported")
        # `True` is an `int` as well, and a number below zero would count from the end.
        if type(type_number) is not int or not 0 <= type_number < len(_TYPES):
            return result.Err(f"type {type_number!r} is not known")
        return result.Ok(msgspec.convert(content, type=_TYPES[type_number]))
    except (ValueError, TypeError, EOFError, cbor2.CBORDecodeError) as error:
        return result.Err(f"message can't be decoded: {error!r}")
