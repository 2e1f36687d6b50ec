"""Requests that wait for capacity: their order, refusals, and returns."""
