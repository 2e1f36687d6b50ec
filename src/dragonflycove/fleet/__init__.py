"""Decisions of a node that serves the platform's deployments: values in, values out, no I/O."""
