"""Stand-ins of the platform: its store and its servers. They speak its wire, from its pages."""
