"""Slice `routing`."""
