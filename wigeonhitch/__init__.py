"""Fleet capacity and maintenance manager: a daemon, a command and a library.

Each subpackage has one responsibility, with its own state, messages and tests.
Modules that do no I/O take the current time as an argument, in seconds.
"""

__version__ = "0.1.dev0"
