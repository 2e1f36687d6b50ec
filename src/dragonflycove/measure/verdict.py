"""Compares what callers saw with the stand-ins' own records: was anything lost or doubled?"""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import sys
from typing import TYPE_CHECKING, Any

import aiohttp
from absl import flags

if TYPE_CHECKING:
    from collections.abc import Sequence

SETTLE_SECONDS = 12.0
"""Longest time for engines to give back what nobody needs any more, seconds."""

EXIT_OK = 0
"""Exit status where nothing was lost and nothing doubled."""

EXIT_BROKEN = 1
"""Exit status where something was."""

EXIT_USAGE = 2
"""Exit status for a faulty command line."""

Books = dict[str, Any]
"""A stand-in's own records."""


def run(argv: Sequence[str]) -> int:
    """Compare a load's result with the stand-ins' records.

    Args:
        argv: The command line after `dragonflycove measure verdict`.

    Returns:
        The exit status.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string("load", "", "Result of `dragonflycove load`, JSON.", flag_values=values)
    flags.DEFINE_list("nodes", [], "Addresses of nodes.", flag_values=values)
    flags.DEFINE_list("engines", [], "Addresses of engine stand-ins.", flag_values=values)
    flags.DEFINE_list("plain", [], "Addresses of plain stand-ins.", flag_values=values)
    if "--help" in argv:
        print(values.get_help())  # type: ignore[no-untyped-call]
        return EXIT_OK
    try:
        values(["dragonflycove measure verdict", *argv])
        report = json.loads(pathlib.Path(values.load).read_text())
    except (flags.Error, OSError, json.JSONDecodeError) as error:
        print(f"dragonflycove measure verdict: {error}", file=sys.stderr)
        return EXIT_USAGE
    return asyncio.run(_judge(report, values.nodes, values.engines, values.plain))


async def _judge(
    report: dict[str, Any], nodes: list[str], engines: list[str], plain: list[str]
) -> int:
    async with aiohttp.ClientSession() as session:
        for node in nodes:
            await _print_counters(session, node)
        plain_books = [await _read_books(session, address) for address in plain]
        engine_books = await _settled(session, engines)
    faults = [*find_call_faults(report, plain_books), *find_stream_faults(report)]
    faults.extend(find_memory_faults(engine_books))
    print(f"executions per key: {count_executions(plain_books)}")
    if not faults:
        print("nothing lost, nothing doubled")
        return EXIT_OK
    for fault in faults:
        print(f"BROKEN: {fault}")
    return EXIT_BROKEN


async def _print_counters(session: aiohttp.ClientSession, node: str) -> None:
    try:
        async with session.get(f"http://{node}/metrics") as response:
            text = await response.text()
    except (aiohttp.ClientError, OSError) as error:
        print(f"node {node}: no metrics: {error}")
        return
    prefixes = ("dragonflycove_refusals{", "dragonflycove_retries{", "dragonflycove_failures{")
    lines = [line for line in text.splitlines() if line.startswith(prefixes)]
    print(f"node {node}: " + ("; ".join(sorted(lines)) or "no refusals or retries"))


async def _read_books(session: aiohttp.ClientSession, address: str) -> Books:
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + SETTLE_SECONDS
    while True:
        try:
            async with session.get(f"http://{address}/_standin/books") as response:
                books: Books = await response.json()
            return books
        except (aiohttp.ClientError, OSError):
            # An engine that fell over refuses connections until its restart.
            if loop.time() >= ends_at:
                raise
            await asyncio.sleep(0.2)


async def _settled(session: aiohttp.ClientSession, engines: list[str]) -> dict[str, Books]:
    """Read the engines' records once they hold nothing, or when the time for that is over."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + SETTLE_SECONDS
    while True:
        books = {address: await _read_books(session, address) for address in engines}
        held = sum(book["memory_held_tokens"] for book in books.values())
        if held == 0 or loop.time() >= ends_at:
            return books
        await asyncio.sleep(0.5)


def count_executions(plain_books: list[Books]) -> dict[int, int]:
    """Count the keys by how often each ran.

    Args:
        plain_books: Records of the plain services.

    Returns:
        Number of keys by number of executions.
    """
    executions: collections.Counter[str] = collections.Counter()
    for books in plain_books:
        executions.update(books["executions_by_key"])
    return dict(collections.Counter(executions.values()))


def find_call_faults(report: dict[str, Any], plain_books: list[Books]) -> list[str]:
    """Find postings that ran twice, were lost, or were called not run although they ran.

    Args:
        report: The load's result.
        plain_books: Records of the plain services.

    Returns:
        One sentence for each fault.
    """
    executions: collections.Counter[str] = collections.Counter()
    for books in plain_books:
        executions.update(books["executions_by_key"])
    faults = [f"key {key} ran {count} times" for key, count in executions.items() if count > 1]
    for record in report["records"]:
        if record["kind"] != "posting":
            continue
        ran = executions[record["key"]]
        if record["outcome"] == "answered" and ran != 1:
            faults.append(f"key {record['key']} was answered and ran {ran} times")
        if record["ran"] == "not_run" and ran:
            faults.append(f"key {record['key']} was called not run and ran {ran} times")
    return faults


def find_stream_faults(report: dict[str, Any]) -> list[str]:
    """Find answers that were not whole and requests without an outcome in time.

    Args:
        report: The load's result.

    Returns:
        One sentence for each fault.
    """
    faults = list(report["faults"])
    for record in report["records"]:
        if record["outcome"] in ("cut", "gave_up", "handover"):
            faults.append(f"a {record['kind']} of {record['tokens']} tokens has no outcome")
        if record["late"]:
            faults.append(f"a {record['kind']} of {record['tokens']} tokens ended late")
    return faults


def find_memory_faults(engine_books: dict[str, Books]) -> list[str]:
    """Find engines that fell over or hold memory that nobody needs.

    Args:
        engine_books: Records of the engines by address.

    Returns:
        One sentence for each fault.
    """
    faults = []
    for address, books in engine_books.items():
        if books["memory_held_tokens"]:
            faults.append(f"engine {address} still holds {books['memory_held_tokens']} tokens")
        for crash in books["crashes"]:
            faults.append(f"engine {address} fell over: {crash}")
    return faults
