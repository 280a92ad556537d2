"""Entry point of the ``wigeonhitch`` command."""

import sys
from collections.abc import Sequence

import defopt

from wigeonhitch.command import documents, fleet, jobs, local, story

__all__ = ["COMMANDS", "main", "run"]

DESCRIPTION = (
    "Check settings, put fleet documents in force, follow pools, waves and jobs, "
    "through any daemon. Name a group to see its commands."
)

COMMANDS = {
    "settings": local.GROUP,
    "document": documents.GROUP,
    "pool": fleet.POOLS,
    "wave": fleet.WAVES,
    "job": jobs.GROUP,
    "status": fleet.STATUS,
    "explain": story.COMMAND,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    Parameters
    ----------
    arguments : sequence of str
        Command line without the program's name; from the process by default.
    """
    argv = list(sys.argv[1:] if arguments is None else arguments)
    if not argv or (len(argv) == 1 and isinstance(COMMANDS.get(argv[0]), dict)):
        argv.append("--help")
    return defopt.run(
        COMMANDS,
        argv=argv,
        short={},
        no_negated_flags=True,
        version=False,
        argparse_kwargs={"prog": "wigeonhitch", "description": DESCRIPTION},
    )


def run() -> None:
    """Run the command of this process."""
    sys.exit(main())


if __name__ == "__main__":
    run()
