"""Writes log lines to standard output without ever waiting for its reader."""

from __future__ import annotations

import os

BUFFER_BYTES = 262_144
"""Bytes kept for a reader that stands still; further lines are left out."""


class NonBlockingOutput:
    """A sink for log lines over a file descriptor that may be full."""

    def __init__(self, descriptor: int) -> None:
        """Take over a descriptor; its writes no longer block.

        Args:
            descriptor: The file descriptor.
        """
        self._descriptor = descriptor
        self._pending = bytearray()
        self.lost_lines = 0
        """Lines left out since the reader stood still."""
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or keep it for later, or leave it out.

        Args:
            line: The line, its end included.
        """
        data = line.encode("utf-8", "replace")
        if len(self._pending) + len(data) > BUFFER_BYTES:
            self.flush()
        if len(self._pending) + len(data) > BUFFER_BYTES:
            self.lost_lines += 1
            return
        self._pending += data
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place left to say so.
                self.lost_lines += self._pending.count(b"\n")
                self._pending.clear()
                return
            del self._pending[:written]
