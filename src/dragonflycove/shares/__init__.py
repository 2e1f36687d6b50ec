"""Divides limits that all nodes share, without messages between the nodes."""
