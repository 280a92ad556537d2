"""Operators: their credentials, roles and the HTTP routes they use."""
