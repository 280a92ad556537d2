"""Stand-ins for the platform and its workers, for tests and demos only."""
