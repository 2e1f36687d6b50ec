"""Which digests go along with a message: the news first, then some at random."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from dragonflycove.membership import digests

MAX_DIGESTS = 8
"""Most digests in one message, besides the sender's own."""

MAX_NEWS = 5
"""Most of them that are news, so that the others are refreshed as well."""

REPEATS_FACTOR = 3.0
"""Times the logarithm of the count of members, that one piece of news is told by one node."""


class Dissemination:
    """Keeps what is news, and how often it was told."""

    def __init__(self, rng: random.Random) -> None:
        """Create the keeper, without news.

        Args:
            rng: Where the choice of other digests comes from.
        """
        self._rng = rng
        self._told_by_host: dict[str, int] = {}

    def add(self, host: str) -> None:
        """Make what is known of a host news.

        Args:
            host: Name of the host.
        """
        self._told_by_host[host] = 0

    def drop(self, host: str) -> None:
        """Forget a host.

        Args:
            host: Name of the host.
        """
        self._told_by_host.pop(host, None)

    def pick(
        self, digests_by_host: Mapping[str, digests.Digest], exclude: str
    ) -> list[digests.Digest]:
        """Choose digests for a message.

        Args:
            digests_by_host: What is known.
            exclude: Host whose digest goes along anyway.

        Returns:
            The digests, at most `MAX_DIGESTS`.
        """
        limit = math.ceil(REPEATS_FACTOR * math.log2(len(digests_by_host) + 1))
        known = [host for host in self._told_by_host if host in digests_by_host]
        news = sorted(known, key=lambda host: (self._told_by_host[host], host))[:MAX_NEWS]
        for host in news:
            self._told_by_host[host] += 1
            if self._told_by_host[host] >= limit:
                del self._told_by_host[host]
        chosen = [host for host in news if host != exclude]
        names = list(digests_by_host)
        others = self._rng.sample(names, min(MAX_DIGESTS, len(names)))
        chosen.extend(host for host in others if host not in chosen and host != exclude)
        return [digests_by_host[host] for host in chosen[:MAX_DIGESTS]]
