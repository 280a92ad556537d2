"""The callers' side: HTTP in, a worker's answer or an honest verdict out.

Public: `application` is the ASGI application, `dispatcher` joins the routing
decisions to it, `guard` runs keyed requests at most once, `sender` sends one
attempt, `reply` is the HTTP form of a verdict.
"""

__all__ = ["application", "dispatcher", "guard", "reply", "sender"]
