"""Settings of a daemon: YAML, checked whole before anything opens."""
