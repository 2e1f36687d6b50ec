"""Starts a system of real processes for each test of a failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from processes import system

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator


def _run(folder: pathlib.Path) -> Iterator[system.System]:
    started = system.System(folder, nodes=2, engines=3, plain=2)
    try:
        started.start()
        yield started
    finally:
        started.stop()


@pytest.fixture(scope="module")
def lasting(tmp_path_factory: pytest.TempPathFactory) -> Iterator[system.System]:
    """Return a running system for all tests of a module that end no process."""
    yield from _run(tmp_path_factory.mktemp("system"))


@pytest.fixture
def shared(lasting: system.System) -> Iterator[system.System]:
    """Return the lasting system with all faults off before and after the test."""
    lasting.clear_faults()
    yield lasting
    lasting.clear_faults()


@pytest.fixture
def whole(tmp_path: pathlib.Path) -> Iterator[system.System]:
    """Return a running system of the test's own: two nodes, three engines, two plain services."""
    yield from _run(tmp_path)
