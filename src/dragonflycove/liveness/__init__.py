"""Decides whether a silent backend server still runs."""
