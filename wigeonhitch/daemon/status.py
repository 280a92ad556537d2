"""Routes that report the status of this daemon and its peers."""

from typing import Any

from wigeonhitch.operators import route

__all__ = ["build_routes"]


def build_routes(daemon: Any) -> list[route.Route]:
    """Return the status route of an `assembly.Daemon`."""

    async def show(request: route.Request) -> route.Answer:
        del request
        return route.Answer(200, build_status(daemon))

    return [route.Route("GET", "/status", False, show)]


def build_status(daemon: Any) -> dict[str, Any]:
    """Return the status of a daemon."""
    drains = daemon.workers.describe()
    live = daemon.holder.live
    return {
        "daemon": daemon.local_peer.daemon,
        "ready": daemon.is_ready(),
        "stopping": daemon.stopping,
        "registered": daemon.holder.is_live,
        "right_to_send": daemon.membership.check_send_right(),
        "document_version": daemon.version,
        "document_state": daemon.watcher.readiness.value,
        "fleet_revision": drains.fleet_revision,
        "unusable_vms": list(drains.unusable),
        "vms_draining_here": list(drains.busy),
        "held_requests": daemon.dispatcher.held_requests,
        "daemons": {
            name: {
                "vm": row.get("vm", ""),
                "document_version": row.get("version", 0),
                "drain": row.get("drain", 0),
            }
            for name, row in sorted(live.items())
        },
        "alive": sorted(daemon.membership.find_alive()),
    }
