"""Load generation, experiments and the demonstration."""
