"""Decides what to give back that a dead owner left on an engine."""
