"""Slice `fleet`."""
