"""Records of the operators' HTTP routes, which each package defines.

All paths are below ``/operator/v1``. The daemon authenticates a request before
it calls the handler, which receives the operator's name and roles.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

__all__ = ["Answer", "Request", "Route"]


class Request(NamedTuple):
    """An authenticated request from an operator.

    Parameters
    ----------
    operator : str
        Name of the operator.
    roles : frozenset of str
        Roles that the settings give this operator.
    path : mapping of str to str
        Values of the ``{name}`` parameters in the route's path.
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
    """Status code and JSON body.

    Status codes mean the same on every route: 200 done, 202 accepted and in
    progress, 400 invalid input, 403 not allowed for the role, 404 unknown name,
    409 conflict, 503 not done because the store is unreachable (retry later),
    504 unknown whether done (retry with the same submission id).
    """

    status: int
    body: Any


class Route(NamedTuple):
    """A route with a path such as ``"/pools/{pool}"``.

    ``is_mutating`` is true for routes that require a role that may change something.
    """

    method: str
    path: str
    is_mutating: bool
    handler: Callable[[Request], Awaitable[Answer]]
