"""Follows the settings file of the process."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

import result

from dragonflycove.platform import settings as platform_settings
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dragonflycove.fleet import host_settings

POLL_SECONDS = 1.0
"""Time between two checks of the settings file, which may change without a signal."""


class SettingsFollower:
    """The settings in force; reads their file again after a signal, and when it changes."""

    def __init__(
        self, settings: host_settings.HostSettings, path: str, load_choices: Mapping[str, bool]
    ) -> None:
        """Create a follower.

        Args:
            settings: Settings at the start of the process.
            path: Path of the settings file.
            load_choices: Parts of the handling of heavy load that the operators switch on or off.
        """
        self.current = settings
        """The settings in force."""
        self._path = path
        self._load_choices = load_choices
        self._reload_requested = asyncio.Event()

    def request_reload(self) -> None:
        """Read the settings file again as soon as `run` gets to it."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Follow the settings file; runs until cancelled."""
        modified = _modified_at(self._path)
        while True:
            try:
                async with asyncio.timeout(POLL_SECONDS):
                    await self._reload_requested.wait()
            except TimeoutError:
                if _modified_at(self._path) == modified:
                    continue
            self._reload_requested.clear()
            modified = _modified_at(self._path)
            read = platform_settings.read_file(self._path, self._load_choices)
            if isinstance(read, result.Err):
                logs.warning("settings_rejected", why=read.err_value)
                continue
            self.current = read.ok_value
            logs.event("settings_reloaded", seeds=len(read.ok_value.seed_ips))


def _modified_at(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0
