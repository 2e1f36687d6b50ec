"""A process's own settings: JSON with comments, checked."""
