"""Clients of the product's own surroundings: log service, host list, weight store."""
