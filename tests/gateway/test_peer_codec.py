"""Messages between nodes, as datagrams that anything may have sent."""

from __future__ import annotations

import cbor2
import pytest
import result

from dragonflycove.fleet import peer_messages
from dragonflycove.gateway import peer_codec


def test_a_message_is_decoded_as_it_was_encoded() -> None:
    message = peer_messages.LeavingDigest(7)
    assert peer_codec.decode(peer_codec.encode(message)) == result.Ok(message)


@pytest.mark.parametrize("number", [-1, -2, 1_000, 1.5, True, "0", None])
def test_a_number_that_is_no_type_is_rejected(number: object) -> None:
    # -1 was decoded as the last type, whatever that is in this version.
    content = [7]
    data = cbor2.dumps([peer_codec.FORMAT_VERSION, number, content])
    assert isinstance(peer_codec.decode(data), result.Err)


def test_a_datagram_that_is_no_message_is_rejected() -> None:
    for data in (b"", b"\xff", cbor2.dumps([1]), cbor2.dumps({}), cbor2.dumps([2, 0, []])):
        assert isinstance(peer_codec.decode(data), result.Err)
