"""Prefix cache of the stand-in model engine, and the cache events that it publishes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.values import requests

if TYPE_CHECKING:
    import random

    from dragonflycove.standins import clock, engine_parameters


class CacheEvent(NamedTuple):
    """One change of the cache's content."""

    seq: int
    """Sequence number, from 0 since the engine's start."""

    kind: str
    """`stored` or `evicted`."""

    hashes: tuple[int, ...]
    """Hashes of the blocks that were stored or evicted."""

    happened_at: float
    """Time of the change, seconds of the engine's clock."""


class EventPage(NamedTuple):
    """Response to a read of the cache events."""

    first: int
    """Lowest sequence number that is still retained."""

    next_seq: int
    """Lowest sequence number to request in the next read."""

    events: tuple[CacheEvent, ...]
    """The events by sequence number; numbers of lost events are missing."""


class PrefixCache:
    """Set of block hashes with least-recently-used eviction."""

    def __init__(
        self,
        parameters: engine_parameters.EngineParameters,
        rng: random.Random,
        now: clock.Clock,
    ) -> None:
        """Create an empty cache.

        Args:
            parameters: The engine's parameters.
            rng: Seeded generator that selects the events to lose.
            now: Returns the time, seconds.
        """
        self._parameters = parameters
        self._rng = rng
        self._now = now
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[CacheEvent] = collections.deque()
        self._next_seq = 0
        self._first_seq = 0

    def cached_tokens(self, hashes: tuple[int, ...], prompt_tokens: int) -> int:
        """Return the number of cached leading tokens of a prompt; mark its blocks as used.

        Args:
            hashes: Hashes of the prompt's blocks.
            prompt_tokens: Length of the prompt, tokens.

        Returns:
            Tokens; at most all but one, since the last token always needs prefill.
        """
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return min(count * requests.PREFIX_BLOCK_TOKENS, prompt_tokens - 1)

    def store(self, hashes: tuple[int, ...], free_tokens: int) -> None:
        """Store a prompt's blocks, then evict down to the capacity.

        Args:
            hashes: Hashes of the prompt's blocks.
            free_tokens: KV cache tokens that are not allocated or reserved.
        """
        new = tuple(block for block in hashes if block not in self._blocks)
        self._blocks.update(dict.fromkeys(new))
        if new:
            self._publish("stored", new)
        self.shrink(free_tokens)

    def shrink(self, free_tokens: int) -> None:
        """Evict blocks until the cache fits into the free tokens and its own limit.

        Args:
            free_tokens: KV cache tokens that are not allocated or reserved.
        """
        capacity_tokens = min(free_tokens, self._parameters.cache_tokens)
        max_blocks = max(0, capacity_tokens // requests.PREFIX_BLOCK_TOKENS)
        evicted = []
        while len(self._blocks) > max_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        if evicted:
            self._publish("evicted", tuple(evicted))

    def clear(self) -> None:
        """Drop all blocks without publishing an event."""
        self._blocks.clear()

    def restart(self) -> None:
        """Drop all blocks and events and restart the sequence numbers at 0."""
        self._blocks.clear()
        self._events.clear()
        self._next_seq = 0
        self._first_seq = 0

    def events_from(self, seq: int) -> EventPage:
        """Return the retained events that are older than the event lag.

        Args:
            seq: Lowest sequence number to return.

        Returns:
            The page, which may be empty.
        """
        visible_until = self._now() - self._parameters.cache_event_lag_seconds
        visible = [event for event in self._events if event.happened_at <= visible_until]
        events = tuple(event for event in visible if event.seq >= seq)
        next_seq = visible[-1].seq + 1 if visible else self._first_seq
        return EventPage(self._first_seq, next_seq, events)

    def _publish(self, kind: str, hashes: tuple[int, ...]) -> None:
        """Append an event, or lose it at random; its sequence number is used either way."""
        seq = self._next_seq
        self._next_seq += 1
        if self._rng.random() < self._parameters.cache_event_loss:
            return
        self._events.append(CacheEvent(seq, kind, hashes, self._now()))
        while len(self._events) > self._parameters.cache_events_kept:
            self._first_seq = self._events.popleft().seq + 1
