"""The operators' text: format, checks, acceptance rule and restatement."""
