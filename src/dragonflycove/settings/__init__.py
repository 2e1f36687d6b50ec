"""Settings files of processes: JSON with comments, checked at the start."""
