"""Which hosts callers are sent to."""
