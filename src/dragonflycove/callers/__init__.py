"""The HTTP surface for callers."""
