"""Which parts of the handling of heavy load are in use on a deployment.

Each part answers one kind of load, described in `docs/design/heavy-load.md`. A part that is off
leaves all decisions as they are without it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

PRESSURE = "pressure"
"""Contract of deployments whose callers and servers may read slowly, and whose demand moves."""


class LoadParts(NamedTuple):
    """The parts in use; each is off by default."""

    learned_capacity: bool = False
    """Whether the speed and concurrency of servers are learned from their responses."""

    timely_queue: bool = False
    """Whether queued requests that would be late give way, and are refused at once."""

    organisation_shares: bool = False
    """Whether queued requests are placed by fair shares of their organisations."""

    booked_returns: bool = False
    """Whether callers refused for lack of capacity get a booked time; needs `timely_queue`."""

    host_loads: bool = False
    """Whether the directory names hosts by what they can take."""

    byte_account: bool = False
    """Whether the bytes held for responses are bounded with those of requests by the memory."""

    @classmethod
    def from_config(cls, contracts: Collection[str], choices: Mapping[str, bool]) -> LoadParts:
        """Return the parts that a deployment's settings ask for.

        Args:
            contracts: Parts of the platform's contract that are in force.
            choices: Parts that the operators switch on or off, by field name; the others follow
                the contracts. Unknown names are ignored.
        """
        has_pressure = PRESSURE in contracts
        parts = cls(
            learned_capacity=False,
            timely_queue=True,
            organisation_shares=True,
            booked_returns=True,
            host_loads=has_pressure,
            byte_account=has_pressure,
        )
        known = {name: chosen for name, chosen in choices.items() if name in cls._fields}
        return parts._replace(**known)


NO_PARTS = LoadParts()
"""No part is in use."""
