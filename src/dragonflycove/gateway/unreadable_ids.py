"""Logs events of a server's stream whose ids can't be compared."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.fleet import event_stream


class UnreadableIds:
    """Logs the first such event of a stream; it is passed on as it is."""

    def __init__(self, request_id: str) -> None:
        """Create before the first event.

        Args:
            request_id: Id of the request that the stream responds to.
        """
        self._request_id = request_id
        self._is_logged = False

    def log_first(self, events: Iterable[event_stream.Event]) -> None:
        """Log the first event whose id is no number, unless one was logged before.

        Args:
            events: The next events of the stream.
        """
        if self._is_logged:
            return
        for event in events:
            if event.event_id is not None and event.number is None:
                self._is_logged = True
                logs.warning(
                    "event_id_unreadable",
                    source="server",
                    value=event.event_id[: logs.MAX_VALUE_BYTES],
                    request=self._request_id,
                )
                return
