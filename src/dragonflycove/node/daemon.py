"""The node's command: reads the settings, runs the node and stops it gracefully on a signal."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from typing import TYPE_CHECKING

import result
from absl import flags

from dragonflycove.node import node as nodes
from dragonflycove.settings import checking
from dragonflycove.settings import node as node_settings
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_OK = 0
"""Exit status after a graceful stop."""

EXIT_FAILED = 1
"""Exit status after a task failed or a socket could not be bound."""

EXIT_USAGE = 2
"""Exit status for invalid settings or an invalid command line."""


def run(argv: Sequence[str]) -> int:
    """Run a node until SIGTERM or SIGINT.

    Args:
        argv: The arguments after `dragonflycove node`.

    Returns:
        The exit status.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string("settings", None, "Path of the settings file.", flag_values=values)
    if "--help" in argv:
        print(values.get_help())  # type: ignore[no-untyped-call]
        return EXIT_OK
    try:
        values(["dragonflycove node", *argv])
    except flags.Error as error:
        print(f"dragonflycove node: {error}", file=sys.stderr)
        return EXIT_USAGE
    if not values.settings:
        print("dragonflycove node: --settings FILE is missing", file=sys.stderr)
        return EXIT_USAGE
    checked = checking.read_file(values.settings, node_settings.NodeSettings)
    if isinstance(checked, result.Err):
        for fault in checked.err_value:
            print(fault, file=sys.stderr)
        return EXIT_USAGE
    logs.configure(checked.ok_value.log_path)
    return asyncio.run(_serve(checked.ok_value))


async def _serve(settings: node_settings.NodeSettings) -> int:
    """Run the node; the first SIGTERM or SIGINT drains it, a second one stops it at once."""
    stop = asyncio.Event()
    stop_now = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            stop_now.set()
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    try:
        node = nodes.Node.from_config(settings, random.Random())
    except OSError as error:
        logs.warning("bind_failed", address=settings.caller_address, error=str(error))
        return EXIT_FAILED
    has_succeeded = await node.run(stop, stop_now)
    return EXIT_OK if has_succeeded else EXIT_FAILED
