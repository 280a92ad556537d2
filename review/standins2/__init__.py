"""Stand-ins of the second review: store, workers, list of machines and callers."""
