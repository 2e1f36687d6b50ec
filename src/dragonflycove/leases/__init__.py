"""Decides ownership by leases and fencing numbers from the log."""
