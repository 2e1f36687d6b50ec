"""Non-blocking output of log lines to a file descriptor."""

from __future__ import annotations

import os

BUFFER_BYTES = 262_144
"""Size of the buffer for a reader that is too slow; further lines are dropped."""


class NonBlockingOutput:
    """Log sink that buffers lines while the file descriptor is not writable."""

    def __init__(self, descriptor: int) -> None:
        """Set a descriptor to non-blocking mode and use it.

        Args:
            descriptor: File descriptor to write to; it is not closed here.
        """
        self._descriptor = descriptor
        self._pending = bytearray()
        self.lost_lines = 0
        """Lines dropped because the buffer was full or the reader had closed."""
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line without blocking; buffer or drop what can't be written now.

        Args:
            line: Log line, including its newline.
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
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed, so the error can't be logged either.
                self.lost_lines += self._pending.count(b"\n")
                self._pending.clear()
                return
            del self._pending[:written]
