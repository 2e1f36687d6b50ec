"""Decides which requests to admit, in which order, and which to refuse."""
