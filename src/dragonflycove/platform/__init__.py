"""Encodes and decodes the platform's wire formats; contains no decision logic."""
