"""What each backend server takes: its speed and concurrency, learned from responses."""
