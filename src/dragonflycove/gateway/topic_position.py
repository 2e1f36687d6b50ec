"""What a node knows of one topic of the store: its newest records, and up to where they are complete.

Nodes compare revisions to find out whether one of them knows changes that the other one lacks. That
is only sound while every node that states a revision knows all changes up to it, so a revision never
exceeds the read position, and never falls below a change before that position.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.platform import store

NOTHING_KNOWN = -1
"""Offset that stands for an empty history in requests and revisions."""


class TopicPosition:
    """Read position in one topic of the store, and its newest records."""

    def __init__(self, topic: str) -> None:
        """Create the position of a topic of which nothing has been read.

        Args:
            topic: Name of the topic.
        """
        self.topic = topic
        """Name of the topic."""
        self.next_offset: int | None = None
        """Offset to read from next; None before the first listing of all keys."""
        self.needs_listing = True
        """Whether the record at `next_offset` can't be read, so that all keys have to be listed."""
        self.deletions_known_from = 0
        """Offset from which on deletions of keys are known; a listing doesn't contain older ones."""
        self.fresh_as_of = float("-inf")
        """Loop time up to which all records of the topic are known; -inf before the first read."""
        self.record_by_key: dict[str, store.Record] = {}
        """Newest record of each key, for transfer to other nodes."""
        self.read_at = float("-inf")
        """Loop time of this node's last read; records at `next_offset` were written after it."""
        self._newest_change = NOTHING_KNOWN

    @property
    def revision(self) -> int:
        """Offset of the newest change before the read position; -1 before the first listing.

        It may be that of a record that changed nothing.
        """
        if self.next_offset is None:
            return NOTHING_KNOWN
        return min(self._newest_change, self.next_offset - 1)

    @property
    def newest_known(self) -> int:
        """Offset up to which all records are known; -1 before the first listing of all keys."""
        return NOTHING_KNOWN if self.next_offset is None else self.next_offset - 1

    def is_known(self, offset: int) -> bool:
        """Whether a record precedes the read position, so that it or a newer one has been applied.

        Args:
            offset: Offset of the record.
        """
        return not self.needs_listing and self.next_offset is not None and offset < self.next_offset

    def keep_newest(self, record: store.Record) -> bool:
        """Keep a record unless one of the same key with an offset at least as high is kept.

        Args:
            record: The record.

        Returns:
            Whether the record was kept.
        """
        current = self.record_by_key.get(record.key)
        if current is not None and current.offset >= record.offset:
            return False
        self.record_by_key[record.key] = record
        return True

    def note_change(self, offset: int) -> None:
        """Raise the revision to a change, as far as the read position has got.

        Args:
            offset: Offset of a record that changed the view, or may have changed it.
        """
        self._newest_change = max(self._newest_change, offset)

    def advance(self, next_offset: int) -> None:
        """Move on, with all records before an offset known; never moves back.

        Args:
            next_offset: Offset to read from next.
        """
        if self.next_offset is None or next_offset > self.next_offset:
            self.next_offset = next_offset
            self.needs_listing = False

    def restart_from_listing(self, end: int) -> None:
        """Continue from the end of a listing, which lacks the deletions before it.

        Args:
            end: Offset before which the listing is complete.
        """
        self.note_change(end - 1)
        # While the listing was read, a transfer may have moved the position past it.
        if self.needs_listing or self.next_offset is None or end > self.next_offset:
            self.next_offset = end
            self.deletions_known_from = end
        self.needs_listing = False

    def covers(self, newest_known: int) -> bool:
        """Whether the kept records complete another node's, deletions included.

        Args:
            newest_known: Offset up to which the other node knows all records; -1 if it asks for all
                keys, and takes missing ones as deleted.
        """
        return newest_known == NOTHING_KNOWN or newest_known + 1 >= self.deletions_known_from
