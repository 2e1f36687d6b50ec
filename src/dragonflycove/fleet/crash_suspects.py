"""Finds requests that crash the servers that run them, across callers' tries and nodes."""

from __future__ import annotations

MOST_CRASHES = 2
"""Lost servers after which a request is refused; the users bear three and a few more."""

MEMORY_SECONDS = 60.0
"""Time for which a request is remembered; its callers come again within seconds."""

MOST_REMEMBERED = 2_000
"""Requests remembered at once; bounds the memory when many servers are lost."""


class CrashSuspects:
    """How many servers were lost while they ran a request, by the request's fingerprint."""

    def __init__(self) -> None:
        """Create an empty memory."""
        self._losses_by_fingerprint: dict[int, tuple[int, float]] = {}

    def on_lost_server(self, fingerprint: int, now: float) -> int:
        """Count a server that was lost before the request's first answer.

        Args:
            fingerprint: The request's fingerprint.
            now: Loop time.

        Returns:
            Servers lost so far.
        """
        count = self.lost_server_count(fingerprint, now) + 1
        self._losses_by_fingerprint.pop(fingerprint, None)
        self._losses_by_fingerprint[fingerprint] = (count, now)
        while len(self._losses_by_fingerprint) > MOST_REMEMBERED:
            self._losses_by_fingerprint.pop(next(iter(self._losses_by_fingerprint)))
        return count

    def merge(self, fingerprint: int, count: int, now: float) -> None:
        """Take in what another node has counted.

        Args:
            fingerprint: The request's fingerprint.
            count: Servers lost there.
            now: Loop time.
        """
        if count > self.lost_server_count(fingerprint, now):
            self._losses_by_fingerprint.pop(fingerprint, None)
            self._losses_by_fingerprint[fingerprint] = (count, now)

    def lost_server_count(self, fingerprint: int, now: float) -> int:
        """Return how many servers were lost with a request.

        Args:
            fingerprint: The request's fingerprint.
            now: Loop time.
        """
        count, at = self._losses_by_fingerprint.get(fingerprint, (0, now))
        return count if now - at < MEMORY_SECONDS else 0

    def is_refused(self, fingerprint: int, now: float) -> bool:
        """Whether a request is sent to no further server.

        Args:
            fingerprint: The request's fingerprint.
            now: Loop time.
        """
        return self.lost_server_count(fingerprint, now) > MOST_CRASHES

    def clear(self, fingerprint: int) -> None:
        """Clear a request that a server answered.

        Args:
            fingerprint: The request's fingerprint.
        """
        self._losses_by_fingerprint.pop(fingerprint, None)
