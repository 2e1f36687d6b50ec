"""HTTP clients of the backend servers: model engines and plain services."""
