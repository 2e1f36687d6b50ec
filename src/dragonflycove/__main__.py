"""Entry point for `python -m dragonflycove`."""

from __future__ import annotations

import sys

from dragonflycove import early_signals

if sys.argv[1:2] == ["platform-node"]:
    early_signals.hold()

from dragonflycove.cli import main  # noqa: E402

if __name__ == "__main__":
    main.run()
