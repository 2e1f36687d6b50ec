"""Decides which backend server runs a request."""
