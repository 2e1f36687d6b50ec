"""Runs a node of a soak whose paths to all backend servers can be cut, by a file that says how."""

from __future__ import annotations

import asyncio
import ctypes
import enum
import os
import pathlib
import signal
import sys
from typing import TYPE_CHECKING

import result

from dragonflycove.gateway import process
from dragonflycove.transport import http1

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

CUT_FILE_VARIABLE = "DRAGONFLYCOVE_SOAK_CUT"
"""Environment variable with the path of the file; the paths are cut while it exists."""

PARENT_VARIABLE = "DRAGONFLYCOVE_SOAK_PROCESS"
"""Environment variable with the id of the soak's process, with which the node ends."""

PR_SET_PDEATHSIG = 1
"""Option of `prctl` that sets the signal sent at the end of the parent; from linux/prctl.h."""

SERVER_PORT = 8_081
"""Port of all servers of a soak."""


class CutMode(enum.Enum):
    """What becomes of the connections of a node that is cut off."""

    REFUSED = "refused"
    """Open connections live on, new ones are refused."""

    RESET = "reset"
    """Open connections are reset, new ones are refused."""

    HANGING = "hanging"
    """All bytes of open connections are lost, and new ones are not accepted."""


def cut_connections(path: pathlib.Path) -> None:
    """Let new connections to servers fail while a file exists, in the mode that it names.

    Args:
        path: The file.
    """
    open_connection = http1.Connection.open

    def read_mode() -> str:
        try:
            return path.read_text()
        except FileNotFoundError:
            return ""

    async def open_unless_cut(
        address: catalog.Address, connect_timeout_seconds: float, source_ip: str | None = None
    ) -> result.Result[http1.Connection, str]:
        mode = read_mode() if address.port == SERVER_PORT else ""
        if mode == CutMode.HANGING.value:
            await asyncio.sleep(connect_timeout_seconds)
            return result.Err("connect_timeout")
        if mode:
            return result.Err("connect_failed: cut")
        return await open_connection(address, connect_timeout_seconds, source_ip)

    http1.Connection.open = open_unless_cut  # type: ignore[method-assign,assignment]


def end_with_parent(parent_id: int) -> None:
    """Let the kernel kill this process once its parent has ended in any way; on Linux only.

    Args:
        parent_id: Id of the parent process.
    """
    if not sys.platform.startswith("linux"):
        return
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL):
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent_id:
        sys.exit("the soak has ended")


if __name__ == "__main__":
    end_with_parent(int(os.environ[PARENT_VARIABLE]))
    cut_connections(pathlib.Path(os.environ[CUT_FILE_VARIABLE]))
    sys.exit(process.run([]))
