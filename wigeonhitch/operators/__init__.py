"""Operators: their credentials, roles and the HTTP routes they use.

Public: `credential` checks who asks, `route` is what a slice offers, `service`
serves all routes as an ASGI application.
"""

__all__ = ["credential", "route", "service"]
