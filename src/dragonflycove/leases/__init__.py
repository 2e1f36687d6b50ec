"""Exclusive ownership by leases and fencing tokens, decided by the shared log."""
