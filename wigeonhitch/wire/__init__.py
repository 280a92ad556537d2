"""Slice `wire`."""
