"""Index of the routes of a configuration, which has thousands of them."""

from collections.abc import Iterable

from wigeonhitch.jobs import model

__all__ = ["RouteIndex"]


class RouteIndex:
    """Finds queues by path and paths by name without going through all routes.

    Parameters
    ----------
    queues : iterable of model.Queue
        The queues of a configuration; of two with the same path the first one counts.
    """

    def __init__(self, queues: Iterable[model.Queue] = ()) -> None:
        self.names_by_path: dict[model.RoutePath, str] = {}
        self._queues: dict[str, dict[str, model.Queue]] = {}
        self._paths_by_name: dict[str, set[model.RoutePath]] = {}
        for queue in queues:
            path = queue.path
            self.names_by_path.setdefault(path, queue.name)
            self._paths_by_name.setdefault(queue.name, set()).add(path)
            self._queues.setdefault(queue.host, {}).setdefault(queue.prefix, queue)
        self._prefix_lengths = {
            host: sorted({len(prefix) for prefix in queues_of_host}, reverse=True)
            for host, queues_of_host in self._queues.items()
        }

    def find(self, host: str, path: str) -> model.Queue | None:
        """Return the queue with the longest prefix of a path."""
        queues = self._queues.get(host, {})
        for length in self._prefix_lengths.get(host, ()):
            queue = queues.get(path[:length])
            if queue is not None:
                return queue
        return None

    def get_pool(self, path: model.RoutePath) -> str:
        """Return the pool of the queue with a path."""
        return self._queues[path.host][path.prefix].pool

    def is_name_of_another(self, name: str, path: model.RoutePath) -> bool:
        """Return whether a queue with another path has a name."""
        return bool(self._paths_by_name.get(name, set()) - {path})
