"""Measures the CPU time and memory of idle node processes; results are in docs/CAPACITY.md.

Varies the numbers of nodes, engines and organisations.
"""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "tests"))

from processes import system  # noqa: E402 - needs the path added above

NODE_AND_ENGINE_COUNTS = ((2, 3), (6, 3), (6, 12), (6, 24))
"""Pairs of the number of nodes and the number of engines."""

ORGANISATION_COUNTS = (1_000, 8_000, 26_000)
"""Numbers of organisations in the configuration text."""

SETTLE_SECONDS = 8.0
"""Wait after a start or a publication before measuring, seconds."""

MEASURE_SECONDS = 20.0
"""Length of a CPU measurement, seconds."""


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process, MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise ProcessLookupError(pid)


def read_cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process, seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def measure_size(folder: pathlib.Path, nodes: int, engines: int) -> None:
    """Print the CPU share and memory of one of several idle nodes."""
    running_system = system.System(folder, nodes, engines, plain=1, report_seconds=0.25)
    try:
        running_system.start()
        pid = running_system.pid("entry-1")
        time.sleep(SETTLE_SECONDS)
        cpu_seconds_before = read_cpu_seconds(pid)
        time.sleep(MEASURE_SECONDS)
        cpu_share = (read_cpu_seconds(pid) - cpu_seconds_before) / MEASURE_SECONDS
        print(
            f"nodes={nodes} engines={engines} cpu={cpu_share:.2%} memory={read_memory_mb(pid):.1f}MB"
        )
    finally:
        running_system.stop()


def measure_organisations(folder: pathlib.Path) -> None:
    """Print the memory of a node for several numbers of organisations."""
    running_system = system.System(folder, 1, 1, plain=1, report_seconds=0.25)
    try:
        running_system.start()
        for count in ORGANISATION_COUNTS:
            text: dict[str, Any] = json.loads(json.dumps(running_system.configuration))
            names = {f"organisation-{number}": {"weight": 1.0} for number in range(count)}
            text["organisations"] = {**text["organisations"], **names}
            version = running_system.get("entry-1", "/v1/operator/status")[1]["version"]
            [published] = running_system.publish_all([text], version)
            assert published.returncode == 0, published.stderr
            time.sleep(SETTLE_SECONDS)
            print(
                f"organisations={count} memory={read_memory_mb(running_system.pid('entry-1')):.1f}MB"
            )
    finally:
        running_system.stop()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        for size in NODE_AND_ENGINE_COUNTS:
            measure_size(pathlib.Path(temporary), *size)
        measure_organisations(pathlib.Path(temporary))
