"""The node's tasks on the platform: listeners, forwarding, peers and knowledge of the store."""
