"""Member records of the system's own nodes, kept in a topic of the platform's store."""

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
    """Client of the member records: writes this node's record, reads those of all nodes."""

    def __init__(self, address: catalog.Address) -> None:
        """Create a client.

        Args:
            address: Address of the store.
        """
        self._client = store.StoreClient(address)

    @property
    def calls(self) -> int:
        """Calls made to the store since the client was created."""
        return self._client.calls

    async def announce(self, member: roster.Member) -> result.Result[int, store.Failure]:
        """Write this node's record.

        Args:
            member: This node's record; stored under its host name.

        Returns:
            Offset of the record, or why it is not known to be stored.
        """
        value = cbor2.dumps(msgspec.to_builtins(member))
        return await self._client.append(TOPIC, member.host, value)

    async def withdraw(self, host: str) -> result.Result[int, store.Failure]:
        """Delete this node's record.

        Args:
            host: Name of this node's host.

        Returns:
            Offset of the deletion, or why it is not known to be stored.
        """
        return await self._client.append(TOPIC, host, b"")

    async def read(self) -> result.Result[list[roster.Member], store.Failure]:
        """Read all nodes' records.

        Returns:
            The records that can be decoded, or why the read failed.
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
            # Written by another release; that node is discovered by the reports it sends.
            continue
    return members
