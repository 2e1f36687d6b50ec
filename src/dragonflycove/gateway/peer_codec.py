"""Encodes messages between nodes as CBOR arrays, the message's number first.

Arrays follow the fields of the types; a message of another form version is refused as a whole.
"""

from __future__ import annotations

import typing

import cbor2
import msgspec
import result

from dragonflycove.fleet import peer_messages

FORM = 1
"""Version of the messages' form; nodes of another form don't understand each other's."""

_TYPES = typing.get_args(peer_messages.Message)

_NUMBER_BY_TYPE = {kind: number for number, kind in enumerate(_TYPES)}


def encode(message: peer_messages.Message) -> bytes:
    """Encode a message.

    Args:
        message: The message.
    """
    content = msgspec.to_builtins(message)
    return cbor2.dumps([FORM, _NUMBER_BY_TYPE[type(message)], content])


def decode(data: bytes) -> result.Result[peer_messages.Message, str]:
    """Decode a message.

    Args:
        data: What was received.

    Returns:
        The message, or why it can't be read.
    """
    try:
        form, number, content = cbor2.loads(data)
        if form != FORM:
            return result.Err(f"form {form} is not understood")
        return result.Ok(msgspec.convert(content, type=_TYPES[number]))
    except (ValueError, TypeError, IndexError, EOFError, cbor2.CBORDecodeError) as error:
        return result.Err(f"message can't be read: {error!r}")
