"""Listening sockets of the stand-ins: two stand-ins that share a port unnoticed."""

from __future__ import annotations

import pytest

from dragonflycove.standins import builders, clock, serving


@pytest.mark.asyncio
async def test_a_stand_in_cannot_listen_on_the_port_of_another():
    first = builders.build_hosts({}, clock.unix_clock())
    second = builders.build_hosts({}, clock.unix_clock())
    async with serving.serve(first, "127.0.0.1:0", 1) as address:
        with pytest.raises(OSError, match="in use"):
            async with serving.serve(second, address, 1):
                pass
