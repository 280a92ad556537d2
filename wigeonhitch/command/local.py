"""Commands of the group ``settings``; they need no daemon."""

import getpass
import json
import os
import pathlib

from wigeonhitch.command import options, report
from wigeonhitch.configuration import problem
from wigeonhitch.operators import credential

__all__ = ["GROUP"]

# In characters. Shorter secrets are refused: they can be guessed by brute force.
MIN_SECRET_LENGTH = 12


async def check(file: str) -> report.Report:
    """Check a daemon's settings; every problem is printed.

    Parameters
    ----------
    file : str
        YAML file, or the file of ``key=value`` lines that the users' platform
        lays beside each process.
    """
    from wigeonhitch.platform import node
    from wigeonhitch.settings import load

    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise options.UsageError(f"{file}: {error}") from error
    if node.is_node_file(text):
        problems = list(node.check(text).problems)
    else:
        loaded = load.check_settings(text)
        problems = [problem.format_problem(invalid) for invalid in loaded.problems]
    if problems:
        body = {"status": "INVALID", "problems": problems}
        return report.Report(report.Exit.REFUSED, body, tuple(problems))
    return report.Report(report.Exit.DONE, {"status": "VALID"}, ("valid",))


async def example() -> report.Report:
    """Print settings to start from."""
    from wigeonhitch.settings import load

    text = load.EXAMPLE
    return report.Report(report.Exit.DONE, {"settings": text}, tuple(text.splitlines()))


async def make_credential(name: str, roles: str) -> report.Report:
    """Print the settings entry of an operator; only a hash of the secret.

    The secret is taken from WIGEONHITCH_SECRET, else asked for.

    Parameters
    ----------
    name : str
        Name of the operator.
    roles : str
        Roles, separated by commas; ``viewer`` alone may change nothing.
    """
    secret = os.environ.get("WIGEONHITCH_SECRET") or getpass.getpass("Secret: ")
    if len(secret) < MIN_SECRET_LENGTH:
        expected = f"at least {MIN_SECRET_LENGTH} characters"
        raise options.UsageError(
            f"secret: {len(secret)} characters: expected {expected}"
        )
    if ":" in name or not name:
        raise options.UsageError(f"name {name!r}: expected text without a colon")
    role_names = tuple(role.strip() for role in roles.split(",") if role.strip())
    if not role_names:
        raise options.UsageError("roles: expected at least one")
    entry = credential.make_operator(name, role_names, secret)
    body = entry._asdict() | {"roles": list(entry.roles)}
    # JSON is valid YAML, so the line can be pasted into the settings as it is.
    return report.Report(report.Exit.DONE, body, (f"- {json.dumps(body)}",))


GROUP = {
    "check": options.local(check),
    "example": options.local(example),
    "credential": options.local(make_credential),
}
