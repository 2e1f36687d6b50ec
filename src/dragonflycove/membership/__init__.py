"""Tracks which nodes exist, which respond and which are leaving."""
