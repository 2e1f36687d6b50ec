"""Structured logs with a bounded rate, and Prometheus metrics."""
