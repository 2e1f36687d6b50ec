"""Measures CPU and memory of idle node processes at several sizes; see docs/CAPACITY.md."""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "tests"))

from processes import system  # noqa: E402 - found by the path above

SIZES = ((2, 3), (6, 3), (6, 12), (6, 24))
"""Numbers of nodes and engines."""

ORGANISATIONS = (1_000, 8_000, 26_000)
"""Numbers of organisations in the text."""

SETTLE_SECONDS = 8.0
"""Wait before a measurement, seconds."""

MEASURE_SECONDS = 20.0
"""Length of a measurement, seconds."""


def read_memory(pid: int) -> float:
    """Return the resident memory of a process, MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise ProcessLookupError(pid)


def read_cpu(pid: int) -> float:
    """Return the CPU time of a process, seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def measure_size(folder: pathlib.Path, nodes: int, engines: int) -> None:
    """Print CPU and memory of one of several idle nodes."""
    whole = system.System(folder, nodes, engines, plain=1, report_seconds=0.25)
    try:
        whole.start()
        pid = whole.pid("entry-1")
        time.sleep(SETTLE_SECONDS)
        before = read_cpu(pid)
        time.sleep(MEASURE_SECONDS)
        share = (read_cpu(pid) - before) / MEASURE_SECONDS
        print(f"nodes={nodes} engines={engines} cpu={share:.2%} memory={read_memory(pid):.1f}MB")
    finally:
        whole.stop()


def measure_organisations(folder: pathlib.Path) -> None:
    """Print the memory of a node at several numbers of organisations."""
    whole = system.System(folder, 1, 1, plain=1, report_seconds=0.25)
    try:
        whole.start()
        for count in ORGANISATIONS:
            text: dict[str, Any] = json.loads(json.dumps(whole.configuration))
            names = {f"organisation-{number}": {"weight": 1.0} for number in range(count)}
            text["organisations"] = {**text["organisations"], **names}
            version = whole.get("entry-1", "/v1/operator/status")[1]["version"]
            [published] = whole.publish_all([text], version)
            assert published.returncode == 0, published.stderr
            time.sleep(SETTLE_SECONDS)
            print(f"organisations={count} memory={read_memory(whole.pid('entry-1')):.1f}MB")
    finally:
        whole.stop()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        for size in SIZES:
            measure_size(pathlib.Path(temporary), *size)
        measure_organisations(pathlib.Path(temporary))
