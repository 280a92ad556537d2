"""Slice `placement`."""
