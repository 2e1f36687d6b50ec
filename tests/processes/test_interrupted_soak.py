"""Soaks that are ended in the middle of their run."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import pytest

from dragonflycove.measure.soak import deployment, plan
from dragonflycove.measure.soak import main as soak_main

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.processes

BLOCK = 190 + os.getpid() % 30
"""Second byte of all loopback addresses; runs that go on at the same time mostly differ."""

NODE_COUNT = 3
"""Node processes of each soak."""

WAIT_SECONDS = 20.0
"""Time after which a wait fails the test."""


def _children(process_id: int) -> set[int]:
    """Return the ids of the processes that a process has started and that have not ended."""
    children = set()
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            state, parent = path.read_text().rpartition(")")[2].split()[:2]
        except OSError:
            continue
        if int(parent) == process_id and state != "Z":
            children.add(int(path.parent.name))
    return children


def _is_running(process_id: int) -> bool:
    try:
        stat = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


def _wait_until(condition: Callable[[], bool]) -> None:
    ends_at = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < ends_at
        time.sleep(0.05)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_a_soak_that_is_ended_by_a_signal_leaves_no_node_behind(number: signal.Signals) -> None:
    arguments = ["--seed", "1", "--minutes", "1", "--nodes", str(NODE_COUNT), "--block", str(BLOCK)]
    soak = subprocess.Popen(
        [sys.executable, "-m", "dragonflycove", "soak", *arguments], stderr=subprocess.DEVNULL
    )
    nodes: set[int] = set()
    try:
        _wait_until(lambda: len(_children(soak.pid)) == NODE_COUNT)
        time.sleep(1.0)
        nodes = _children(soak.pid)
        os.kill(min(nodes), signal.SIGSTOP)
        soak.send_signal(number)
        soak.wait(WAIT_SECONDS)
        _wait_until(lambda: not any(map(_is_running, nodes)))
    finally:
        soak.kill()
        soak.wait()
        for node in filter(_is_running, nodes):
            os.kill(node, signal.SIGKILL)


def test_a_soak_that_fails_while_a_node_restarts_leaves_no_node_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    faults = [
        plan.PlannedFault(0.1, plan.FaultKind.NODE_KILL, 0.0, 0.0),
        plan.PlannedFault(0.1, plan.FaultKind.CONFIGURATION, 0.0, 0.0),
    ]
    apply_kind = deployment.Deployment._apply_kind  # noqa: SLF001

    async def fail_at_configuration(
        running: deployment.Deployment, planned: plan.PlannedFault
    ) -> None:
        if planned.kind is plan.FaultKind.CONFIGURATION:
            raise RuntimeError("publish")
        await apply_kind(running, planned)

    monkeypatch.setattr(deployment, "RESTART_DELAY_SECONDS", 0.0)
    monkeypatch.setattr(soak_main, "START_SECONDS", 1.0)
    monkeypatch.setattr(soak_main, "_draw_faults", lambda *_: faults)
    monkeypatch.setattr(deployment.Deployment, "_apply_kind", fail_at_configuration)
    before = _children(os.getpid())
    soak = soak_main.SoakSettings(1, 1.0, sizes=(NODE_COUNT, 1, 1), callers=1, block=BLOCK)
    try:
        with pytest.raises(RuntimeError, match="publish"):
            asyncio.run(soak_main.run_soak(soak))
        left = _children(os.getpid()) - before
    finally:
        for node in _children(os.getpid()) - before:
            os.kill(node, signal.SIGKILL)
    assert left == set()
