"""Slice `telemetry`."""
