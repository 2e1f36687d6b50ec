"""Prefix cache of the model engine's stand-in, and the events that it publishes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.values import requests

if TYPE_CHECKING:
    import random

    from dragonflycove.standins import clock, engine_parameters


class CacheEvent(NamedTuple):
    """A change of the cache."""

    seq: int
    """Its sequence number."""

    kind: str
    """`stored` or `evicted`."""

    hashes: tuple[int, ...]
    """Hashes of the blocks."""

    happened_at: float
    """When it happened, seconds."""


class EventPage(NamedTuple):
    """Events that the engine shows."""

    first: int
    """Lowest sequence number that is still kept."""

    next_seq: int
    """Sequence number to ask for next."""

    events: tuple[CacheEvent, ...]
    """The events."""


class PrefixCache:
    """Blocks by their hashes, the least recently used dropped first."""

    def __init__(
        self,
        parameters: engine_parameters.EngineParameters,
        rng: random.Random,
        now: clock.Clock,
    ) -> None:
        """Create an empty cache.

        Args:
            parameters: The engine's parameters.
            rng: Decides which events are lost.
            now: The clock.
        """
        self._parameters = parameters
        self._rng = rng
        self._now = now
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[CacheEvent] = collections.deque()
        self._next_seq = 0
        self._first_seq = 0

    def cached_tokens(self, submission_hashes: tuple[int, ...], prompt_tokens: int) -> int:
        """Return how many leading tokens of a prompt are cached, and mark them as used.

        Args:
            submission_hashes: Hashes of the prompt's blocks.
            prompt_tokens: Length of the prompt, tokens.

        Returns:
            The tokens; at least one token of a prompt is always left to read.
        """
        count = 0
        for block in submission_hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return min(count * requests.PREFIX_BLOCK_TOKENS, prompt_tokens - 1)

    def store(self, hashes: tuple[int, ...], free_tokens: int) -> None:
        """Store a prompt's blocks.

        Args:
            hashes: Hashes of its blocks.
            room_tokens: Memory that nothing else holds, tokens.
        """
        new = tuple(block for block in hashes if block not in self._blocks)
        self._blocks.update(dict.fromkeys(new))
        if new:
            self._publish("stored", new)
        self.shrink(free_tokens)

    def shrink(self, free_tokens: int) -> None:
        """Drop blocks until the cache fits.

        Args:
            room_tokens: Memory that nothing else holds, tokens.
        """
        capacity_tokens = min(free_tokens, self._parameters.cache_tokens)
        max_blocks = max(0, capacity_tokens // requests.PREFIX_BLOCK_TOKENS)
        evicted = []
        while len(self._blocks) > max_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        if evicted:
            self._publish("evicted", tuple(evicted))

    def clear(self) -> None:
        """Drop all blocks without an event."""
        self._blocks.clear()

    def restart(self) -> None:
        """Drop all blocks and events and begin the sequence again."""
        self._blocks.clear()
        self._events.clear()
        self._next_seq = 0
        self._first_seq = 0

    def events_from(self, seq: int) -> EventPage:
        """Return the events that are old enough to be shown.

        Args:
            seq: First sequence number wanted.

        Returns:
            The events; lost ones are missing.
        """
        shown_until = self._now() - self._parameters.cache_event_lag_seconds
        shown = [event for event in self._events if event.happened_at <= shown_until]
        events = tuple(event for event in shown if event.seq >= seq)
        next_seq = shown[-1].seq + 1 if shown else self._first_seq
        return EventPage(self._first_seq, next_seq, events)

    def _publish(self, kind: str, hashes: tuple[int, ...]) -> None:
        """Note an event, or lose it."""
        seq = self._next_seq
        self._next_seq += 1
        if self._rng.random() < self._parameters.cache_event_loss:
            return
        self._events.append(CacheEvent(seq, kind, hashes, self._now()))
        while len(self._events) > self._parameters.cache_events_kept:
            self._first_seq = self._events.popleft().seq + 1
