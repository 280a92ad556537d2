"""Fleet capacity and maintenance manager: a daemon, a command and a library.

Each subpackage is one duty with its own state, messages and tests. Modules
without input or output take the time as an argument, in seconds.
"""

__version__ = "0.1.dev0"
