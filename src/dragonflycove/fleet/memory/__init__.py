"""What nodes and backend servers hold in memory for requests, and the bounds on it."""
