"""Signals that reach a node process right after its start."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest

from dragonflycove.gateway import daemon
from tests.gateway import deployment, node_process

if TYPE_CHECKING:
    import pathlib

pytestmark = [pytest.mark.asyncio, pytest.mark.processes]

DELAYS_SECONDS = (0.05, 0.1, 0.2, 0.5)
"""Times from the start of a process to its first signal."""

STARTS = pytest.mark.parametrize("arguments", [node_process.COMMAND, node_process.SCRIPT])


async def _start_and_signal(
    system: deployment.Deployment,
    folder: pathlib.Path,
    arguments: tuple[str, ...],
    signal_number: signal.Signals,
) -> list[node_process.NodeProcess]:
    """Start processes one after the other, and send a signal to each."""
    nodes = []
    for number, seconds in enumerate(DELAYS_SECONDS):
        node = node_process.NodeProcess(system, folder, number, arguments=arguments)
        nodes.append(node)
        await node.spawn()
        await asyncio.sleep(seconds)
        node.process.send_signal(signal_number)
    return nodes


@STARTS
async def test_a_process_that_is_told_of_new_settings_as_it_starts_goes_on(
    tmp_path: pathlib.Path, arguments: tuple[str, ...]
) -> None:
    async with deployment.deployed(nodes=0) as system:
        nodes = await _start_and_signal(system, tmp_path, arguments, signal.SIGHUP)
        try:
            for node in nodes:
                await node.wait_ready()
            statuses = [node.process.returncode for node in nodes]
            logs = [node.log for node in nodes]
        finally:
            for node in nodes:
                await node.kill()
    assert statuses == [None] * len(nodes)
    assert ["settings_reloaded" in log for log in logs] == [True] * len(nodes)


@STARTS
async def test_a_process_that_is_stopped_as_it_starts_ends_properly(
    tmp_path: pathlib.Path, arguments: tuple[str, ...]
) -> None:
    async with deployment.deployed(nodes=0) as system:
        nodes = await _start_and_signal(system, tmp_path, arguments, signal.SIGTERM)
        try:
            statuses = [await node.wait_ended() for node in nodes]
        finally:
            for node in nodes:
                await node.kill()
    assert statuses == [daemon.EXIT_OK] * len(nodes)
