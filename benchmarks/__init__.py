"""Benchmarks of decisions and daemons; no part of the tests."""
