"""The node on the platform: listeners, forwarding, node-to-node messages and reading of the store."""
