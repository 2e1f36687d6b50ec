"""Entry point of a node on the platform.

Runs from a checkout whose libraries the platform build installed into target/deps.
"""

from __future__ import annotations

import os
import sys

_SOURCE = os.path.join(os.path.dirname(os.path.dirname(os.path.realpath(__file__))), "src")
sys.path.insert(0, _SOURCE)

from dragonflycove import early_signals  # noqa: E402

early_signals.hold()

from dragonflycove.gateway import process  # noqa: E402

if __name__ == "__main__":
    sys.exit(process.run(sys.argv[1:]))
