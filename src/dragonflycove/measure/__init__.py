"""Load generation, simulated experiments, cost measurements and the fault soak."""
