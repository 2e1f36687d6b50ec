"""The HTTP surface for operators."""
