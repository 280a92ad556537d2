"""The daemon ``wigeonhitchd``: all slices in one process, owned by exit stacks."""
