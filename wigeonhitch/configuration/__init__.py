"""Versioned fleet documents: validation, approval, acceptance, distribution."""
