"""The operator listener: its routes, health, readiness and ``/metrics``."""

from typing import Any

from wigeonhitch import asgi
from wigeonhitch.front import application, reply
from wigeonhitch.operators import credential, service

__all__ = ["build_application"]


def build_application(daemon: Any) -> Any:
    """Return the ASGI application of the operator listener of an `assembly.Daemon`."""
    credentials = credential.Credentials(daemon.settings.operators.credentials)
    routes = service.make_app(daemon.build_routes(), credentials)

    async def serve(scope: dict, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await asgi.serve_lifespan(receive, send)
        elif scope["type"] == "http" and scope["path"] == "/metrics":
            await application.send_reply(send, _render_metrics(daemon, scope))
        else:
            await routes(scope, receive, send)

    return serve


def _render_metrics(daemon: Any, scope: dict) -> reply.Reply:
    accept = tuple(
        value.decode("latin-1")
        for name, value in scope["headers"]
        if name.lower() == b"accept"
    )
    for name, counter in daemon.get_counters().items():
        for event, value in counter.items():
            daemon.instruments.set(
                "slice_events",
                "Events since the start.",
                value,
                slice=name,
                event=str(event),
            )
    body, headers = daemon.instruments.render(accept)
    lowercase_headers = tuple((name.lower(), value) for name, value in headers.items())
    return reply.Reply(200, lowercase_headers, body)
