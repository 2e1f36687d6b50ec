"""Types that every package shares: identifiers, requests, outcomes."""
