"""Entry point for `python -m dragonflycove`."""

from __future__ import annotations

from dragonflycove.cli import main

if __name__ == "__main__":
    main.run()
