"""Placement of attempts, and moves of requests away from silent servers."""
