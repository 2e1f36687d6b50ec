"""Decides which nodes exist, which answer and which leave."""
