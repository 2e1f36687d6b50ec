"""HTTP exchanges that are sent once and whose outcomes are values."""
