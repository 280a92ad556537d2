"""Slice `idempotency`."""
