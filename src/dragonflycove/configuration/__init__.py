"""The configuration that operators write: format, checks, acceptance rule, restatement."""
