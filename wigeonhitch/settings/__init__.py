"""Slice `settings`."""
