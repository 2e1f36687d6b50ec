"""Token-bucket rate limits of organisations, in tokens per second."""

from __future__ import annotations

BURST_SECONDS = 10.0
"""Capacity of a bucket, as the time in which the limit refills it, seconds."""

BUCKETS_LIMIT = 4_096
"""Number of buckets at which full ones, equal to no bucket, are dropped before another is added."""


class _Bucket:
    """Token bucket of one organisation; `available` is negative while it has exceeded its limit."""

    __slots__ = ("available", "refilled_at", "rate")

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        """Tokens added per second."""
        self.available = rate * BURST_SECONDS
        """Tokens left in the bucket; negative after a request that took more."""
        self.refilled_at = now
        """Loop time of the last refill, seconds."""

    def refill(self, rate: float, now: float) -> None:
        """Add the tokens earned since the last refill, up to the bucket's capacity."""
        earned = (now - self.refilled_at) * rate
        self.available = min(rate * BURST_SECONDS, self.available + earned)
        self.refilled_at = now
        self.rate = rate


class OrganisationLimits:
    """A token bucket for each organisation that has used its limit recently."""

    def __init__(self) -> None:
        """Create limits with no buckets; an organisation without one has its complete burst."""
        self.share = 1.0
        """Share of each organisation's limit that this node may admit, from 0 to 1."""
        self._buckets_by_name: dict[str, _Bucket] = {}

    def __len__(self) -> int:
        """Return the number of organisations with a bucket."""
        return len(self._buckets_by_name)

    def wait_seconds(self, organisation: str, limit: float, now: float) -> float:
        """Return how long an organisation has to wait for its limit.

        A request of any size is admitted while the bucket isn't negative; tokens that it takes
        beyond the available ones make the bucket negative and delay the next request.

        Args:
            organisation: Name of the organisation.
            limit: The organisation's limit, tokens per second; 0 for no limit.
            now: Loop time, seconds.

        Returns:
            Seconds until its next request may be admitted; 0 if it may be now.
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
        """Take an admitted request's tokens from its organisation's bucket.

        Args:
            organisation: Name of the organisation.
            limit: The organisation's limit, tokens per second; 0 for no limit.
            tokens: Prompt tokens plus the maximum number of tokens to generate.
            now: Loop time, seconds.
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
        """Drop the buckets that are full."""
        for name, bucket in list(self._buckets_by_name.items()):
            bucket.refill(bucket.rate, now)
            if bucket.available >= bucket.rate * BURST_SECONDS:
                del self._buckets_by_name[name]
