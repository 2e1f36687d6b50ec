"""Decides the life of a request: attempts, retries, resumption and outcome."""
