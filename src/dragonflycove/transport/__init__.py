"""HTTP clients that send each request at most once and return outcomes as values."""
