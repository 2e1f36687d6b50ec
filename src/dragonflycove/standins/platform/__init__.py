"""Stand-ins for the platform's store and backend servers, by the platform's documentation."""
