"""Choice of the digests that a message carries: recent updates first, then random members."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from dragonflycove.membership import digests

MAX_DIGESTS = 8
"""Maximum number of digests in one message, besides the sender's own."""

MAX_UPDATES = 5
"""Maximum number of updates among the digests of a message, so that it refreshes others as well."""

REPEATS_FACTOR = 3.0
"""Messages in which one node sends an update, as a multiple of log2(number of members + 1)."""


class Dissemination:
    """Tracks which hosts have an update to disseminate, and how often each was sent."""

    def __init__(self, rng: random.Random) -> None:
        """Create a tracker without updates.

        Args:
            rng: Random generator for the choice of other digests.
        """
        self._rng = rng
        self._sent_count_by_host: dict[str, int] = {}

    def add(self, host: str) -> None:
        """Disseminate a host's digest as an update.

        Args:
            host: Name of the host.
        """
        self._sent_count_by_host[host] = 0

    def drop(self, host: str) -> None:
        """Stop disseminating a host's digest.

        Args:
            host: Name of the host.
        """
        self._sent_count_by_host.pop(host, None)

    def choose(
        self, digests_by_host: Mapping[str, digests.Digest], exclude: str
    ) -> list[digests.Digest]:
        """Choose the digests for a message and count them as sent.

        Args:
            digests_by_host: All known digests.
            exclude: Host whose digest the message carries anyway.

        Returns:
            The digests, at most `MAX_DIGESTS`.
        """
        limit = math.ceil(REPEATS_FACTOR * math.log2(len(digests_by_host) + 1))
        known = [host for host in self._sent_count_by_host if host in digests_by_host]
        updates = sorted(known, key=lambda host: (self._sent_count_by_host[host], host))[
            :MAX_UPDATES
        ]
        for host in updates:
            self._sent_count_by_host[host] += 1
            if self._sent_count_by_host[host] >= limit:
                del self._sent_count_by_host[host]
        chosen = [host for host in updates if host != exclude]
        names = list(digests_by_host)
        others = self._rng.sample(names, min(MAX_DIGESTS, len(names)))
        chosen.extend(host for host in others if host not in chosen and host != exclude)
        return [digests_by_host[host] for host in chosen[:MAX_DIGESTS]]
