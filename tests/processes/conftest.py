"""Starts a system of real processes for each test of a failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from processes import system

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator


@pytest.fixture
def whole(tmp_path: pathlib.Path) -> Iterator[system.System]:
    """Return a running system of two nodes, three engines and two plain services."""
    started = system.System(tmp_path, nodes=2, engines=3, plain=2)
    try:
        started.start()
        yield started
    finally:
        started.stop()
