"""The `wigeonhitch` command line, a client of any daemon."""
