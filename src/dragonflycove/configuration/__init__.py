"""The operators' text: its format, its checks and the rule that accepts it."""
