"""Command `dragonflycove standin`: runs one stand-in until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
from typing import Any

import jsonc
import msgspec
from absl import flags

from dragonflycove.standins import builders, clock, serving

USAGE_EXIT_STATUS = 2
"""Exit status for an invalid command line or invalid settings."""


class StandinSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings file of a stand-in."""

    listen: str = "127.0.0.1:0"
    """Listen address, `a.b.c.d:port`; port 0 selects a free one."""

    parameters: dict[str, Any] = {}
    """Parameters of the kind of stand-in, as the kind's parameter type defines them."""


def run(argv: list[str]) -> int:
    """Run a stand-in.

    Args:
        argv: Command-line arguments after `dragonflycove standin`.

    Returns:
        Exit status: 0 after SIGTERM or SIGINT, 2 for an invalid command line or settings.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_enum(
        "kind", None, list(builders.BUILDERS_BY_KIND), "Kind of the stand-in.", flag_values=values
    )
    flags.DEFINE_string("settings", None, "File with the settings.", flag_values=values)
    names = ["kind", "settings"]
    flags.mark_flags_as_required(names, flag_values=values)  # type: ignore[no-untyped-call]
    if "--help" in argv:
        print(values.get_help())  # type: ignore[no-untyped-call]
        return 0
    try:
        values(["dragonflycove standin", *argv])  # type: ignore[no-untyped-call]
        text = pathlib.Path(values.settings).read_text(encoding="utf-8")
        settings = msgspec.convert(jsonc.loads(text), StandinSettings)
        return asyncio.run(_serve(values.kind, settings))
    except (flags.Error, OSError, ValueError) as error:
        print(f"event=standin_refused reason={error}", file=sys.stderr)
        return USAGE_EXIT_STATUS


async def _serve(kind: str, settings: StandinSettings) -> int:
    """Serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    standin = builders.BUILDERS_BY_KIND[kind](settings.parameters, clock.unix_clock())
    async with serving.serve(standin, settings.listen, serving.SHUTDOWN_GRACE_SECONDS) as address:
        print(f"event=standin_ready kind={kind} address={address}", flush=True)
        await stop.wait()
    return 0
