"""Operators' credentials and roles, and the HTTP routes that they use.

Public: `credential` authenticates operators, `route` holds the records by which
a package defines its routes, `service` serves all routes as an ASGI application.
"""

__all__ = ["credential", "route", "service"]
