"""State machine of a model request: attempts, retries, resumption and outcome."""
