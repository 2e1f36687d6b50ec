"""What nodes tell each other about a relayed request."""

from __future__ import annotations

import pytest
import result

from dragonflycove.fleet import forwarding, relaying
from dragonflycove.gateway import relay_codec

RELAYED = relaying.RelayedRequest(
    host="n1",
    incarnation=7,
    configuration_version=3,
    service="svc",
    organisation=None,
    waited_seconds=0.25,
    has_started=True,
    attempt_ends=(forwarding.AttemptEnd.TIMEOUT, forwarding.AttemptEnd.NOT_EXECUTED),
    excluded=("s1",),
)


def test_the_header_decodes_to_what_was_encoded() -> None:
    assert relay_codec.decode([relay_codec.encode(RELAYED)]) == result.Ok(RELAYED)


@pytest.mark.parametrize(
    "value",
    [b"", b"{}", b'["n1"]', b'["n1",7,3,"svc",null,0,true,["nonsense"],[]]', b"\xff", b"[" * 2_000],
)
def test_what_is_no_such_header_is_an_error(value: bytes) -> None:
    assert isinstance(relay_codec.decode([(relay_codec.REQUEST_HEADER, value)]), result.Err)
    assert isinstance(relay_codec.decode([]), result.Err)


ATTEMPTS = (
    relaying.ServerAttempt("s1", forwarding.AttemptEnd.ERROR_STATUS),
    relaying.ServerAttempt("s2", None),
)


def test_the_header_with_attempts_decodes_to_what_was_encoded() -> None:
    for attempts in ((), ATTEMPTS):
        header = relay_codec.encode_attempts(attempts)
        assert relay_codec.decode_attempts([header]) == result.Ok(attempts)


def test_the_header_with_attempts_is_bounded_however_long_the_ids_are() -> None:
    attempts = [one._replace(server_id="s" * 10_000) for one in ATTEMPTS]
    header = relay_codec.encode_attempts(attempts)
    assert len(header[1]) <= relay_codec.MAX_ATTEMPTS_BYTES
    decoded = relay_codec.decode_attempts([header]).ok_value
    assert decoded == tuple(one._replace(server_id="") for one in ATTEMPTS)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}",
        b'[["s1"]]',
        b'[["s1","nonsense"]]',
        b"\xff",
        b"[" * 2_000,
        b"[" + b'["s1",null],' * 1_000 + b'["s1",null]]',
    ],
)
def test_what_is_no_header_with_attempts_is_an_error(value: bytes) -> None:
    assert isinstance(
        relay_codec.decode_attempts([(relay_codec.ATTEMPTS_HEADER, value)]), result.Err
    )
    assert isinstance(relay_codec.decode_attempts([]), result.Err)
