"""Request front end: accepts callers' HTTP requests and answers with a verdict.

The modules are `application`, the ASGI application; `dispatcher`, which executes
the routing actions; `guard`, which runs keyed requests at most once; `sender`,
which sends one attempt; and `reply`, the HTTP form of a verdict.
"""

__all__ = ["application", "dispatcher", "guard", "reply", "sender"]
