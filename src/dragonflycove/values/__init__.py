"""Value types used by all packages: identifiers, requests and outcomes."""
