"""Bounds the tokens that each organisation may have admitted in a second."""

from __future__ import annotations

BURST_SECONDS = 10.0
"""Time of unused limit that an organisation can save up."""

BUCKETS_LIMIT = 4_096
"""Organisations with a bucket above which full buckets are dropped."""


class _Bucket:
    """Tokens that one organisation may still use."""

    __slots__ = ("available", "refilled_at", "rate")

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.available = rate * BURST_SECONDS
        self.refilled_at = now

    def refill(self, rate: float, now: float) -> None:
        """Add what the time since the last use has earned."""
        earned = (now - self.refilled_at) * rate
        self.available = min(rate * BURST_SECONDS, self.available + earned)
        self.refilled_at = now
        self.rate = rate


class OrganisationLimits:
    """A token bucket for each organisation that has used its limit lately."""

    def __init__(self) -> None:
        """Create limits that nobody has used."""
        self.share = 1.0
        """Share of each organisation's limit that this node may give out."""
        self._buckets_by_name: dict[str, _Bucket] = {}

    def __len__(self) -> int:
        """Return the number of organisations for which there is any state."""
        return len(self._buckets_by_name)

    def wait_seconds(self, organisation: str, limit: float, now: float) -> float:
        """Return how long an organisation is over its limit.

        A request is let through while anything is left, however large it is; what it takes beyond
        that is owed.

        Args:
            organisation: Its name.
            limit: Its limit, tokens a second; 0 for none.
            now: Time, seconds.

        Returns:
            Seconds until it may send again; 0 where it may now.
        """
        if limit <= 0.0:
            return 0.0
        rate = max(limit * self.share, 1e-9)
        bucket = self._buckets_by_name.get(organisation)
        if bucket is None:
            return 0.0
        bucket.refill(rate, now)
        return max(0.0, -bucket.available / rate)

    def charge(self, organisation: str, limit: float, tokens: int, now: float) -> None:
        """Take the tokens of an admitted request.

        Args:
            organisation: Its name.
            limit: Its limit, tokens a second; 0 for none.
            tokens: Prompt tokens and most tokens to generate.
            now: Time, seconds.
        """
        if limit <= 0.0:
            return
        rate = max(limit * self.share, 1e-9)
        bucket = self._buckets_by_name.get(organisation)
        if bucket is None:
            if len(self._buckets_by_name) >= BUCKETS_LIMIT:
                self._drop_full(now)
            bucket = self._buckets_by_name[organisation] = _Bucket(rate, now)
        bucket.refill(rate, now)
        bucket.available -= tokens

    def _drop_full(self, now: float) -> None:
        for name, bucket in list(self._buckets_by_name.items()):
            bucket.refill(bucket.rate, now)
            if bucket.available >= bucket.rate * BURST_SECONDS:
                del self._buckets_by_name[name]
