"""Randomized fault soak: real node processes on loopback against stand-ins of the platform."""
