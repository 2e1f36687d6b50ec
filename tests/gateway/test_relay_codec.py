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
