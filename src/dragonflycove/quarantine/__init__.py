"""Isolates and refuses requests that crash backend servers."""
