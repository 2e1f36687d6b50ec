"""The node on the platform: listeners, forwarding, messages between nodes, reading of the store."""
