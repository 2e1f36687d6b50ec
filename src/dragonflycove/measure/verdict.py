"""Compares a load's report with the stand-ins' records to find lost and duplicated requests."""

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

SETTLE_TIMEOUT_SECONDS = 12.0
"""Maximum wait for engines to release memory and to restart after a crash."""

EXIT_OK = 0
"""Exit status if no faults were found."""

EXIT_FAULTS = 1
"""Exit status if faults were found."""

EXIT_USAGE = 2
"""Exit status for an invalid command line or an unreadable report."""

StandinRecords = dict[str, Any]
"""One stand-in's records from `/_standin/books`, as decoded JSON.

Those of a plain service count executions by idempotency key; those of an engine list its crashes
and state the memory that it holds, tokens.
"""


def run(argv: Sequence[str]) -> int:
    """Run `dragonflycove measure verdict`.

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
    return asyncio.run(_compare(report, values.nodes, values.engines, values.plain))


async def _compare(
    report: dict[str, Any], nodes: list[str], engines: list[str], plain: list[str]
) -> int:
    async with aiohttp.ClientSession() as session:
        for node in nodes:
            await _print_counters(session, node)
        plain_records = [await _read_standin_records(session, address) for address in plain]
        records_by_address = await _read_drained_engines(session, engines)
    faults = [*find_call_faults(report, plain_records), *find_stream_faults(report)]
    faults.extend(find_memory_faults(records_by_address))
    print(f"executions per key: {count_executions(plain_records)}")
    if not faults:
        print("nothing lost, nothing doubled")
        return EXIT_OK
    for fault in faults:
        print(f"BROKEN: {fault}")
    return EXIT_FAULTS


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


async def _read_standin_records(session: aiohttp.ClientSession, address: str) -> StandinRecords:
    loop = asyncio.get_running_loop()
    settles_by = loop.time() + SETTLE_TIMEOUT_SECONDS
    while True:
        try:
            async with session.get(f"http://{address}/_standin/books") as response:
                records: StandinRecords = await response.json()
            return records
        except (aiohttp.ClientError, OSError):
            # A crashed engine refuses connections until its restart.
            if loop.time() >= settles_by:
                raise
            await asyncio.sleep(0.2)


async def _read_drained_engines(
    session: aiohttp.ClientSession, engines: list[str]
) -> dict[str, StandinRecords]:
    """Read the engines' records once they hold no memory, or at the timeout."""
    loop = asyncio.get_running_loop()
    settles_by = loop.time() + SETTLE_TIMEOUT_SECONDS
    while True:
        records_by_address = {
            address: await _read_standin_records(session, address) for address in engines
        }
        held_tokens = sum(one["memory_held_tokens"] for one in records_by_address.values())
        if held_tokens == 0 or loop.time() >= settles_by:
            return records_by_address
        await asyncio.sleep(0.5)


def count_executions(plain_records: list[StandinRecords]) -> dict[int, int]:
    """Count the idempotency keys by number of executions.

    Args:
        plain_records: Records of the plain services.

    Returns:
        Number of keys by number of executions.
    """
    executions: collections.Counter[str] = collections.Counter()
    for records in plain_records:
        executions.update(records["executions_by_key"])
    return dict(collections.Counter(executions.values()))


def find_call_faults(report: dict[str, Any], plain_records: list[StandinRecords]) -> list[str]:
    """Find non-idempotent calls (postings) that ran twice, were lost, or ran despite `not_run`.

    Args:
        report: Report of the load.
        plain_records: Records of the plain services.

    Returns:
        One message for each fault.
    """
    executions: collections.Counter[str] = collections.Counter()
    for records in plain_records:
        executions.update(records["executions_by_key"])
    faults = [f"key {key} ran {count} times" for key, count in executions.items() if count > 1]
    for record in report["records"]:
        if record["kind"] != "posting":
            continue
        ran = executions[record["key"]]
        if record["outcome"] == "answered" and ran != 1:
            faults.append(f"key {record['key']} was answered and ran {ran} times")
        if record["ran"] == "not_run" and ran:
            faults.append(f"key {record['key']} was reported as not run and ran {ran} times")
    return faults


def find_stream_faults(report: dict[str, Any]) -> list[str]:
    """Find faulty streams, and requests without an outcome or with one after the deadline.

    Args:
        report: Report of the load.

    Returns:
        One message for each fault.
    """
    faults = list(report["faults"])
    for record in report["records"]:
        if record["outcome"] in ("cut", "gave_up", "handover"):
            faults.append(f"a {record['kind']} of {record['tokens']} tokens has no outcome")
        if record["late"]:
            faults.append(
                f"a {record['kind']} of {record['tokens']} tokens ended too long after its deadline"
            )
    return faults


def find_memory_faults(records_by_address: dict[str, StandinRecords]) -> list[str]:
    """Find engines that crashed or still hold memory.

    Args:
        records_by_address: Records of the engines by address.

    Returns:
        One message for each fault.
    """
    faults = []
    for address, records in records_by_address.items():
        if records["memory_held_tokens"]:
            faults.append(f"engine {address} still holds {records['memory_held_tokens']} tokens")
        for crash in records["crashes"]:
            faults.append(f"engine {address} crashed: {crash}")
    return faults
