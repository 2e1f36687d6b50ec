"""Decides models, adapters, versions and memory groups on engines."""
