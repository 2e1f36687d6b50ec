"""The `dragonflycove` command line."""
