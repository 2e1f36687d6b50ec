"""Saves crashes in the store, so that they are known after all nodes have lost power.

A request with a single crash is not saved: most of these are innocent, and together with the
crashes that follow, the loss of one crash stays within what the platform tolerates.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

import result

from dragonflycove.platform import crash_records
from dragonflycove.quarantine import crash_counts
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dragonflycove.fleet import catalog, roster
    from dragonflycove.platform import store

MIN_SAVED_CRASHES = 2
"""Crashes of a fingerprint from which on they are saved."""

SAVE_INTERVAL_SECONDS = 0.25
"""Interval at which new crashes are looked for."""

EXPIRY_CHECK_INTERVAL_SECONDS = 10.0
"""Interval at which records of expired crashes are looked for."""

RETRY_SECONDS = 1.0
"""Pause after a call that the store did not execute or did not respond to."""

MAX_RECORDS_PER_CALL = 500
"""Records written in one call; their size is far below the store's limit."""

_CrashKey = tuple[int, "catalog.Instance"]


class CrashStore:
    """Reads the saved crashes at the start, and saves new ones while this node is a hub."""

    def __init__(
        self,
        client: crash_records.CrashRecords,
        counts: crash_counts.CrashCounts,
        nodes: roster.Roster,
    ) -> None:
        """Create a store that has read nothing.

        Args:
            client: Client of the crash records.
            counts: Crashes that this node knows.
            nodes: The other nodes; the hubs save crashes.
        """
        self._client = client
        self._counts = counts
        self._nodes = nodes
        self._saved_by_key: dict[_CrashKey, crash_records.SavedCrash] = {}
        self._written_revision = -1
        self._check_all_at = 0.0

    @property
    def calls(self) -> int:
        """Calls made to the store."""
        return self._client.calls

    async def run(self) -> None:
        """Read the saved crashes, then save new ones at intervals; runs until cancelled."""
        for pause in itertools.repeat(RETRY_SECONDS):
            if await self._load():
                break
            await asyncio.sleep(pause)
        while True:
            await asyncio.sleep(SAVE_INTERVAL_SECONDS)
            now = asyncio.get_running_loop().time()
            is_due = self._counts.revision != self._written_revision or now >= self._check_all_at
            if not is_due or self._nodes.hub_rank(now) < 0:
                continue
            revision = self._counts.revision
            if await self._write_changes():
                self._written_revision = revision
                self._check_all_at = now + EXPIRY_CHECK_INTERVAL_SECONDS
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def _load(self) -> bool:
        """Add the saved crashes to the counts; returns whether the store responded."""
        read = await self._client.read()
        if isinstance(read, result.Err):
            return False
        now = asyncio.get_running_loop().time()
        for saved in read.ok_value:
            age = max(0.0, time.time() - saved.unix_seconds)
            crash = crash_counts.Crash(saved.fingerprint, saved.instance, now - age)
            self._counts.add(crash, now)
            self._saved_by_key[saved.fingerprint, saved.instance] = saved
        logs.event("crashes_loaded", records=len(read.ok_value))
        return True

    async def _write_changes(self) -> bool:
        """Save new crashes and delete those that don't count any more.

        Returns:
            Whether the store executed all calls.
        """
        now = asyncio.get_running_loop().time()
        counted = self._counts.counted_crashes(MIN_SAVED_CRASHES, now, omits_answered_parts=True)
        unix_now = time.time()
        wanted = {
            (crash.fingerprint, crash.instance): crash_records.SavedCrash(
                crash.fingerprint, crash.instance, round(unix_now - (now - crash.at), 3)
            )
            for crash in counted
        }
        new = [saved for key, saved in wanted.items() if key not in self._saved_by_key]
        obsolete = [saved for key, saved in self._saved_by_key.items() if key not in wanted]
        return await self._write(self._client.save, new, is_saved=True) and await self._write(
            self._client.delete, obsolete, is_saved=False
        )

    async def _write(
        self,
        call: Callable[
            [list[crash_records.SavedCrash]], Awaitable[result.Result[int, store.Failure]]
        ],
        crashes: list[crash_records.SavedCrash],
        *,
        is_saved: bool,
    ) -> bool:
        for start in range(0, len(crashes), MAX_RECORDS_PER_CALL):
            part = crashes[start : start + MAX_RECORDS_PER_CALL]
            written = await call(part)
            if isinstance(written, result.Err):
                logs.event("crashes_not_saved", records=len(part), failure=written.err_value.value)
                return False
            for saved in part:
                key = (saved.fingerprint, saved.instance)
                if is_saved:
                    self._saved_by_key[key] = saved
                else:
                    self._saved_by_key.pop(key, None)
            logs.event("crashes_saved" if is_saved else "crashes_deleted", records=len(part))
        return True
