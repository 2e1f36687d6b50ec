"""Divides limits that all nodes hold together without a message."""
