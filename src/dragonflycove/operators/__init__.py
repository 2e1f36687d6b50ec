"""The operators' HTTP API, and publishing of configuration changes."""
