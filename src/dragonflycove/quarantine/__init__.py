"""Decides which requests may no longer run because they crash servers."""
