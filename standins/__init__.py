"""Stand-ins of the platform and its workers, for tests and the demo."""
