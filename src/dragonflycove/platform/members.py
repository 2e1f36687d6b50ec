"""Keeps the list of the system's own nodes in a topic of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2
import msgspec

from dragonflycove.fleet import roster
from dragonflycove.platform import store

if TYPE_CHECKING:
    import result

    from dragonflycove.fleet import catalog

TOPIC = "keyed.members"
"""Topic with the newest record of each host."""


class MemberList:
    """The record of this node, and those of the others."""

    def __init__(self, address: catalog.Address) -> None:
        """Create a client.

        Args:
            address: Address of the store.
        """
        self._client = store.StoreClient(address)

    @property
    def calls(self) -> int:
        """Calls made to the store."""
        return self._client.calls

    async def announce(self, member: roster.Member) -> result.Result[int, store.Failure]:
        """Write this node's record.

        Args:
            member: This node.

        Returns:
            Offset of the record, or why it is not known to be stored.
        """
        value = cbor2.dumps(msgspec.to_builtins(member))
        return await self._client.append(TOPIC, member.host, value)

    async def withdraw(self, host: str) -> result.Result[int, store.Failure]:
        """Drop this node's record.

        Args:
            host: This host.

        Returns:
            Offset of the record, or why it is not known to be stored.
        """
        return await self._client.append(TOPIC, host, b"")

    async def read(self) -> result.Result[list[roster.Member], store.Failure]:
        """Read all nodes' records.

        Returns:
            The nodes whose records can be read, or why there are none.
        """
        listed = await self._client.read_newest(TOPIC)
        return listed.map(lambda listing: _decode_all(listing.records))


def _decode_all(listed: tuple[store.Record, ...]) -> list[roster.Member]:
    members = []
    for record in listed:
        if record.value is None:
            continue
        try:
            members.append(msgspec.convert(cbor2.loads(record.value), type=roster.Member))
        except (ValueError, TypeError, EOFError, cbor2.CBORDecodeError):
            # A record of another release; its node makes itself known by reporting.
            continue
    return members
