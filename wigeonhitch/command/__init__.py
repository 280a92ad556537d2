"""Slice `command`."""
