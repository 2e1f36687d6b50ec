"""Detects requests that crash the servers that run them, across callers' resends and nodes."""

from __future__ import annotations

MAX_LOST_SERVERS = 2
"""A request that lost more servers than this is refused.

The platform's specification tolerates the loss of three servers and a few more by one request.
"""

RETENTION_SECONDS = 60.0
"""Time for which a fingerprint is kept after its last lost server; callers resend in seconds."""

MAX_FINGERPRINTS = 2_000
"""Fingerprints kept at once; bounds the process's memory when many servers are lost."""


class CrashSuspects:
    """Number of servers that were lost while they ran a request, by the request's fingerprint."""

    def __init__(self) -> None:
        """Create without lost servers."""
        self._losses_by_fingerprint: dict[int, tuple[int, float]] = {}

    def __len__(self) -> int:
        """Return the number of fingerprints with a lost server."""
        return len(self._losses_by_fingerprint)

    def on_lost_server(self, fingerprint: int, now: float) -> int:
        """Count a server that closed or reset the connection while it ran the request.

        Args:
            fingerprint: The request's fingerprint.
            now: Loop time.

        Returns:
            Servers lost with this request so far.
        """
        count = self.lost_server_count(fingerprint, now) + 1
        self._losses_by_fingerprint.pop(fingerprint, None)
        self._losses_by_fingerprint[fingerprint] = (count, now)
        while len(self._losses_by_fingerprint) > MAX_FINGERPRINTS:
            self._losses_by_fingerprint.pop(next(iter(self._losses_by_fingerprint)))
        return count

    def merge(self, fingerprint: int, count: int, now: float) -> None:
        """Adopt another node's count if it is higher.

        Args:
            fingerprint: The request's fingerprint.
            count: Lost servers that the other node has counted.
            now: Loop time.
        """
        if count > self.lost_server_count(fingerprint, now):
            self._losses_by_fingerprint.pop(fingerprint, None)
            self._losses_by_fingerprint[fingerprint] = (count, now)

    def lost_server_count(self, fingerprint: int, now: float) -> int:
        """Return how many servers a request has lost within the retention time.

        Args:
            fingerprint: The request's fingerprint.
            now: Loop time.
        """
        count, at = self._losses_by_fingerprint.get(fingerprint, (0, now))
        return count if now - at < RETENTION_SECONDS else 0

    def is_refused(self, fingerprint: int, now: float) -> bool:
        """Whether a request has lost too many servers to be sent to another.

        Args:
            fingerprint: The request's fingerprint.
            now: Loop time.
        """
        return self.lost_server_count(fingerprint, now) > MAX_LOST_SERVERS

    def clear(self, fingerprint: int) -> None:
        """Reset the count of a request to which a server has responded completely.

        Args:
            fingerprint: The request's fingerprint.
        """
        self._losses_by_fingerprint.pop(fingerprint, None)
