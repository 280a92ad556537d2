"""Options common to all commands, added to the options of each command.

A command is an async function. `remote` passes it a client of the daemons as
its first argument, `local` does not; both run it, print its report and return
its exit code.
"""

import inspect
import os
import pathlib
import sys
import typing
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio

from wigeonhitch.command import client, report

__all__ = ["UsageError", "local", "read_connection", "remote"]

SHARED_OPTIONS = {
    "json": (bool, False, "Print JSON for programs in place of text."),
}
CONNECTION_OPTIONS = {
    "daemon": (
        str,
        "",
        "URLs of daemons, separated by commas; else WIGEONHITCH_DAEMON.",
    ),
    "operator": (str, "", "Name of the operator; else WIGEONHITCH_OPERATOR."),
    "secret_file": (
        str,
        "",
        "File with the secret; else WIGEONHITCH_SECRET_FILE or WIGEONHITCH_SECRET.",
    ),
    "cafile": (str, "", "PEM file of the authority that signs daemons."),
    "certfile": (str, "", "PEM file of this operator's certificate."),
    "keyfile": (str, "", "PEM file of the certificate's key."),
}


class UsageError(Exception):
    """Invalid command line; the message says what is expected."""


Command = Callable[..., Awaitable[report.Report]]


def local(command: Command) -> Callable[..., int]:
    """Return a command that needs no daemon."""

    async def run(shared: Mapping[str, Any], own: Mapping[str, Any]) -> report.Report:
        return await command(**own)

    return extend(command, run, SHARED_OPTIONS, 0)


def remote(command: Command) -> Callable[..., int]:
    """Return a command whose first argument is a client of the daemons."""

    async def run(shared: Mapping[str, Any], own: Mapping[str, Any]) -> report.Report:
        connection = read_connection(shared, os.environ)
        async with client.open_client(connection) as connected:
            return await command(connected, **own)

    return extend(command, run, SHARED_OPTIONS | CONNECTION_OPTIONS, 1)


def extend(
    command: Command,
    run: Callable[..., Awaitable[report.Report]],
    options: Mapping[str, tuple[type, Any, str]],
    skipped: int,
) -> Callable[..., int]:
    """Return a synchronous function with the shared options in its signature.

    defopt reads the signature, the annotations and the docstring, so the shared
    options are added to all three.
    """
    own = list(inspect.signature(command).parameters.values())[skipped:]
    added = [
        inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, default=value)
        for name, (_, value, _) in options.items()
    ]
    signature = inspect.Signature(own + added)

    def call(*positional: Any, **named: Any) -> int:
        bound = signature.bind(*positional, **named)
        bound.apply_defaults()
        own_arguments = bound.arguments
        shared = {name: own_arguments.pop(name) for name in options}
        try:
            result = anyio.run(run, shared, own_arguments)
        except UsageError as error:
            print(f"wigeonhitch: {error}", file=sys.stderr)
            return int(report.Exit.USAGE)
        report.print_report(result, shared["json"])
        return int(result.exit)

    hints = typing.get_type_hints(command)
    call.__name__ = command.__name__
    call.__module__ = command.__module__
    call.__doc__ = describe(command, options)
    call.__signature__ = signature
    call.__annotations__ = {parameter.name: hints[parameter.name] for parameter in own}
    call.__annotations__ |= {name: kind for name, (kind, _, _) in options.items()}
    return call


def describe(command: Command, options: Mapping[str, tuple[type, Any, str]]) -> str:
    """Return the docstring with the shared options appended."""
    text = inspect.getdoc(command) or ""
    if "Parameters\n----------" not in text:
        text += "\n\nParameters\n----------"
    for name, (kind, _, meaning) in options.items():
        text += f"\n{name} : {kind.__name__}\n    {meaning}"
    return text


def read_connection(
    given: Mapping[str, str], environment: Mapping[str, str]
) -> client.Connection:
    """Return the connection settings from options and environment variables.

    Raises
    ------
    UsageError
        If the daemon, the operator or the secret is missing.
    """
    daemons = given["daemon"] or environment.get("WIGEONHITCH_DAEMON", "")
    urls = tuple(url.strip() for url in daemons.split(",") if url.strip())
    if not urls:
        raise UsageError("name a daemon: --daemon URL or WIGEONHITCH_DAEMON")
    for url in urls:
        if not url.startswith(("http://", "https://")):
            raise UsageError(f"daemon {url!r}: expected http:// or https://")
    operator = given["operator"] or environment.get("WIGEONHITCH_OPERATOR", "")
    if not operator:
        raise UsageError("name the operator: --operator NAME or WIGEONHITCH_OPERATOR")
    secret = read_secret(given["secret_file"], environment)
    files = (given["cafile"], given["certfile"], given["keyfile"])
    for file in filter(None, files):
        if not pathlib.Path(file).is_file():
            raise UsageError(f"file {file}: expected a PEM file")
    return client.Connection(urls, operator, secret, *files)


def read_secret(file: str, environment: Mapping[str, str]) -> str:
    """Return the operator's secret, which is never a command-line argument."""
    path = file or environment.get("WIGEONHITCH_SECRET_FILE", "")
    if path:
        try:
            return pathlib.Path(path).read_text(encoding="utf-8").strip()
        except OSError as error:
            raise UsageError(f"secret file {path}: {error.strerror}") from error
    secret = environment.get("WIGEONHITCH_SECRET", "")
    if not secret:
        raise UsageError("give the secret: --secret-file FILE or WIGEONHITCH_SECRET")
    return secret
