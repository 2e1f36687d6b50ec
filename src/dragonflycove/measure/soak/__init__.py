"""A randomized fault soak: real node processes on loopback against the platform's stand-ins."""
