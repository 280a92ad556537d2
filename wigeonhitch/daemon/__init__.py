"""Slice `daemon`."""
