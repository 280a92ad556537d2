"""Reading and validation of a settings file; all problems are reported at once."""

import os
import pathlib
from collections.abc import Iterator
from typing import Any, NamedTuple

import pydantic
import yaml

from wigeonhitch.configuration import check, problem
from wigeonhitch.settings import schema

__all__ = ["EXAMPLE", "Loaded", "check_settings", "load"]

ADAPTER = pydantic.TypeAdapter(
    schema.Settings, config=pydantic.ConfigDict(allow_inf_nan=False)
)

EXAMPLE = """\
# Settings of one wigeonhitchd. Times are in seconds.
daemon:
  name: entry-1-a            # unique; a replaced daemon takes a new name
  vm: entry-1                # as the platform's VM list names it
  data_centre: dc1
  stop_within: 75            # SIGTERM ends the process within this time
callers:
  bind: 127.0.0.1:8080
operators:
  bind: 127.0.0.1:8081
  credentials: []            # wigeonhitch settings credential prints an entry
peers:
  bind: 127.0.0.1:8082
  seeds:                     # peers to ask before the table has named any
    - {name: entry-2-a, address: "127.0.0.1:8092"}
platform:
  url: http://127.0.0.1:8000
traces:
  exporter: none             # none, console or otlp
  endpoint: http://127.0.0.1:4318/v1/traces
log:
  level: info
"""


class Loaded(NamedTuple):
    """Checked settings, or all problems found."""

    settings: schema.Settings | None
    problems: tuple[problem.Problem, ...] = ()


def load(path: str | pathlib.Path) -> Loaded:
    """Read and check a settings file."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return _build_refusal(str(path), f"a readable file: {error}")
    return check_settings(text)


def check_settings(text: str) -> Loaded:
    """Check the text of a settings file.

    Examples
    --------
    >>> check_settings(EXAMPLE).settings.daemon.vm
    'entry-1'
    >>> [item.place for item in check_settings("daemon: {name: 1}").problems][:2]
    ['daemon.name', 'daemon.vm']
    """
    try:
        data = yaml.load(text, Loader=check.UniqueKeyLoader)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        return _build_refusal("", f"well-formed YAML: {' '.join(str(error).split())}")
    if not isinstance(data, dict):
        return _build_refusal(data, "an object")
    return _check_plain(data)


def _check_plain(data: dict[str, Any]) -> Loaded:
    try:
        settings = ADAPTER.validate_python(data)
    except pydantic.ValidationError as error:
        return Loaded(
            None, tuple(check.translate_error(detail) for detail in error.errors())
        )
    problems = _find_problems(settings)
    return Loaded(None if problems else settings, problems)


def _find_problems(settings: schema.Settings) -> tuple[problem.Problem, ...]:
    """Find problems that the schema does not cover, such as inconsistent limits."""
    problems = []
    longest_request = settings.callers.limits.longest_request
    if settings.daemon.stop_within < longest_request:
        problems.append(
            problem.Problem(
                "daemon.stop_within",
                settings.daemon.stop_within,
                f"at least callers.limits.longest_request, {longest_request}",
                "seconds",
            )
        )
    if settings.drains.longest_request < longest_request:
        problems.append(
            problem.Problem(
                "drains.longest_request",
                settings.drains.longest_request,
                f"at least callers.limits.longest_request, {longest_request}",
                "seconds",
            )
        )
    if settings.drains.send_right < settings.peers.limits.send_right:
        problems.append(
            problem.Problem(
                "drains.send_right",
                settings.drains.send_right,
                f"at least peers.limits.send_right, {settings.peers.limits.send_right}",
                "seconds",
            )
        )
    problems.extend(_find_invalid_numbers(settings, ()))
    problems.extend(_find_missing_files(settings))
    binds = [settings.callers.bind, settings.operators.bind, settings.peers.bind]
    if len(set(binds)) < len(binds):
        problems.append(problem.Problem("", binds, "three different addresses"))
    return tuple(problems)


def _find_invalid_numbers(
    value: Any, parts: tuple[str | int, ...]
) -> Iterator[problem.Problem]:
    """Find numbers that are not positive; each is a count or a duration.

    A share must be between 0 and 1.
    """
    if isinstance(value, tuple):
        names = getattr(value, "_fields", range(len(value)))
        for name, item in zip(names, value, strict=True):
            yield from _find_invalid_numbers(item, (*parts, name))
    elif isinstance(value, bool) or not isinstance(value, int | float):
        return
    elif parts[-1] == "share":
        if not 0 <= value <= 1:
            place = problem.format_place(parts)
            yield problem.Problem(place, value, "a share between 0 and 1")
    elif value <= 0:
        yield problem.Problem(problem.format_place(parts), value, "more than 0")


def _find_missing_files(settings: schema.Settings) -> Iterator[problem.Problem]:
    """Find certificate files that cannot be read, before a listener needs them."""
    paths_by_place = {
        "platform.authority": settings.platform.authority,
        "workers.authority": settings.workers.authority,
    }
    for section in ("callers", "operators", "peers"):
        tls = getattr(settings, section).tls
        if tls is not None:
            for name, path in tls._asdict().items():
                paths_by_place[f"{section}.tls.{name}"] = path
    for place, path in paths_by_place.items():
        if path is not None and not os.access(path, os.R_OK):
            yield problem.Problem(place, path, "a file that can be read")


def _build_refusal(value: Any, expected: str) -> Loaded:
    return Loaded(None, (problem.Problem("", value, expected),))
