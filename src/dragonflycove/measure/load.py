"""`dragonflycove load`: sends a seeded mixed load to the nodes and reports the outcomes."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys
from typing import TYPE_CHECKING

import aiohttp
from absl import flags

from dragonflycove.measure import load_caller, load_plan, load_report
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_OK = 0
"""Exit status when all requests have ended, whatever their outcome."""

EXIT_USAGE = 2
"""Exit status for an invalid command line."""


def run(argv: Sequence[str]) -> int:
    """Run the load tool.

    Args:
        argv: The command line after `dragonflycove load`.

    Returns:
        The exit status.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_list("nodes", [], "Addresses of nodes to ask first.", flag_values=values)
    flags.DEFINE_float("seconds", 30.0, "Time for which requests are sent.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seed of the plan.", flag_values=values)
    flags.DEFINE_string("model", "herder-7", "Model to ask.", flag_values=values)
    flags.DEFINE_list("organisations", ["andrade"], "Organisations.", flag_values=values)
    flags.DEFINE_string("service", "orders", "Plain service to call.", flag_values=values)
    flags.DEFINE_float("rate", 6.0, "Model requests a second.", flag_values=values)
    flags.DEFINE_integer("long", 4, "Prompts of 100,000 to 1,000,000 tokens.", flag_values=values)
    flags.DEFINE_string("out", "", "File for the result, JSON.", flag_values=values)
    if "--help" in argv:
        print(values.get_help())  # type: ignore[no-untyped-call]
        return EXIT_OK
    try:
        values(["dragonflycove load", *argv])
    except flags.Error as error:
        print(f"dragonflycove load: {error}", file=sys.stderr)
        return EXIT_USAGE
    if not values.nodes:
        print("dragonflycove load: --nodes A.B.C.D:PORT,... is missing", file=sys.stderr)
        return EXIT_USAGE
    logs.configure(level="WARNING")
    settings = load_plan.PlanSettings(
        values.seconds,
        values.rate,
        values.long,
        values.model,
        tuple(values.organisations),
        values.service,
    )
    plan = load_plan.build_plan(settings, random.Random(values.seed))
    records = asyncio.run(_send(plan, tuple(values.nodes)))
    report = load_report.build_report(records)
    if values.out:
        pathlib.Path(values.out).write_text(json.dumps(report, indent=1) + "\n")
    print(load_report.format_report(report))
    return EXIT_OK


async def _send(
    plan: Sequence[load_plan.PlannedRequest], nodes: tuple[str, ...]
) -> list[load_caller.CallRecord]:
    """Send every planned request at its time; returns the records after the last one ended."""
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=2.0)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True), timeout=timeout
    ) as session:
        caller = load_caller.Caller(session, nodes)
        started_at = asyncio.get_running_loop().time()
        calls = [caller.run(planned, started_at) for planned in plan]
        return list(await asyncio.gather(*calls))
