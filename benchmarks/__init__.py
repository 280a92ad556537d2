"""Benchmarks of decisions and daemons, not run by the test suite."""
