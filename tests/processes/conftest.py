"""Fixtures that run a system of real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from processes import system

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator


def _run(folder: pathlib.Path) -> Iterator[system.System]:
    running_system = system.System(folder, nodes=2, engines=3, plain=2)
    try:
        running_system.start()
        yield running_system
    finally:
        running_system.stop()


@pytest.fixture(scope="module")
def module_system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[system.System]:
    """Return a system that a module's tests share; they must not end its processes."""
    yield from _run(tmp_path_factory.mktemp("system"))


@pytest.fixture
def shared_system(module_system: system.System) -> Iterator[system.System]:
    """Return the module's system, with all faults switched off before and after the test."""
    module_system.clear_faults()
    yield module_system
    module_system.clear_faults()


@pytest.fixture
def own_system(tmp_path: pathlib.Path) -> Iterator[system.System]:
    """Return a system for one test only: two nodes, three engines, two plain services."""
    yield from _run(tmp_path)
