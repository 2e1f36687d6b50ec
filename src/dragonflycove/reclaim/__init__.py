"""Frees what dead nodes left behind on engines: streams, exports and reservations."""
