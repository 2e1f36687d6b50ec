"""Rate limits that backend servers state in their responses, as known to one node.

A limit that one node learns binds all of them. Nodes exchange single statements and keep the newest
of each server, so that order, repetition and delay don't matter.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

RETENTION_SECONDS = 600.0
"""Time after which a statement that no response has repeated is discarded."""

MAX_SERVERS = 2_000
"""Servers whose statements are kept at once; those with the oldest are discarded."""


class Statement(NamedTuple):
    """What a server stated of its limit."""

    instance: catalog.Instance
    """The server."""

    requests_per_second: float | None
    """Requests that it takes from all nodes together; None if it takes any number."""

    at: float
    """Loop time at which it held for certain, seconds.

    That of the response for a limit. That of the request for its end, since responses can overtake
    each other: a response without a limit says nothing of the time before its request was sent.
    """


class ServerLimits:
    """The newest statement of each server that has stated a limit."""

    def __init__(self) -> None:
        """Create without statements; a server without one takes any number of requests."""
        self._statement_by_instance: dict[catalog.Instance, Statement] = {}

    def __len__(self) -> int:
        """Return the number of servers with a limit."""
        return sum(
            one.requests_per_second is not None for one in self._statement_by_instance.values()
        )

    def add(self, statement: Statement) -> bool:
        """Add a statement, seen by this node or told by another.

        Args:
            statement: The statement; ignored if a newer one of its server is known.

        Returns:
            Whether it changed the server's limit.
        """
        known = self._statement_by_instance.get(statement.instance)
        if known is None and statement.requests_per_second is None:
            return False
        if known is not None and statement.at < known.at:
            return False
        self._statement_by_instance[statement.instance] = statement
        if len(self._statement_by_instance) > MAX_SERVERS:
            oldest = min(self._statement_by_instance.values(), key=lambda one: one.at)
            del self._statement_by_instance[oldest.instance]
        return known is None or known.requests_per_second != statement.requests_per_second

    def limit(self, instance: catalog.Instance) -> float | None:
        """Return the requests a second that a server takes from all nodes; None for any number.

        Args:
            instance: The server.
        """
        statement = self._statement_by_instance.get(instance)
        return None if statement is None else statement.requests_per_second

    def statements(self) -> list[Statement]:
        """Return the newest statement of each server, ended limits included."""
        return list(self._statement_by_instance.values())

    def digest(self) -> int:
        """Return a hash that is equal at nodes that know the same limits; 0 for none."""
        combined = 0
        for instance, _, _ in self._statement_by_instance.values():
            limit = self.limit(instance)
            if limit is not None:
                text = f"{instance.server_id} {instance.started_at_ms} {limit}"
                combined ^= xxhash.xxh3_64_intdigest(text.encode())
        return combined

    def discard_expired(self, now: float) -> None:
        """Discard statements older than `RETENTION_SECONDS`.

        Args:
            now: Loop time.
        """
        self._statement_by_instance = {
            instance: statement
            for instance, statement in self._statement_by_instance.items()
            if now - statement.at < RETENTION_SECONDS
        }
