"""The process of a node on the platform: reads its settings files and runs the daemon."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import TYPE_CHECKING

import result

from dragonflycove.gateway import daemon
from dragonflycove.platform import settings as platform_settings
from dragonflycove.settings import checking, load
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.fleet import host_settings

EXIT_USAGE = 2
"""Exit status for faulty settings or arguments."""


def run(argv: Sequence[str]) -> int:
    """Run a node on the platform until SIGTERM.

    Args:
        argv: Command-line arguments: none, or the path of the load settings.

    Returns:
        The exit status.
    """
    if len(argv) > 1:
        return _fail(f"unknown argument {argv[1]}")
    read_load = (
        checking.read_file(argv[0], load.LoadSettings) if argv else result.Ok(load.LoadSettings())
    )
    if isinstance(read_load, result.Err):
        return _fail("; ".join(map(str, read_load.err_value)))
    choices = read_load.ok_value.choices
    path = os.environ.get(platform_settings.PATH_VARIABLE, platform_settings.DEFAULT_PATH)
    read = platform_settings.read_file(path, choices)
    if isinstance(read, result.Err):
        return _fail(read.err_value)
    logs.configure_bounded()
    return asyncio.run(_serve(read.ok_value, path, choices))


def _fail(reason: str) -> int:
    print(f"dragonflycove: {reason}", file=sys.stderr)
    return EXIT_USAGE


async def _serve(settings: host_settings.HostSettings, path: str, choices: dict[str, bool]) -> int:
    return await daemon.Daemon(settings, path, load_choices=choices).run()
