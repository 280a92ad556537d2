"""Routes of the operator interface, offered by each slice, served by the daemon.

All paths lie below ``/operator/v1``. The daemon authenticates the request
before it calls a handler; a handler sees who asks and with which roles.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

__all__ = ["Answer", "Request", "Route"]


class Request(NamedTuple):
    """One authenticated request of an operator.

    Parameters
    ----------
    operator : str
        Name of the operator.
    roles : frozenset of str
        Roles that the settings give this operator.
    path : mapping of str to str
        Values of the ``{names}`` in the route's path.
    query : mapping of str to str
        The last value of each query parameter.
    body : object
        The decoded JSON body, or None.
    """

    operator: str
    roles: frozenset[str]
    path: Mapping[str, str]
    query: Mapping[str, str]
    body: Any


class Answer(NamedTuple):
    """Status and JSON body.

    Status codes mean the same on every route: 200 done, 202 accepted and going
    on, 400 bad input, 403 refused by role, 404 unknown name, 409 conflict, 503
    not done because the store is unreachable (come back), 504 unknown whether
    done (ask again with the same submission id).
    """

    status: int
    body: Any


class Route(NamedTuple):
    """One route; ``path`` such as ``"/pools/{pool}"``.

    ``changes`` is true for routes that need a credential with a changing role.
    """

    method: str
    path: str
    changes: bool
    handler: Callable[[Request], Awaitable[Answer]]
