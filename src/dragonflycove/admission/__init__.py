"""Admission, queueing and dispatch of model requests."""
