"""Differences between two documents, by section and named item."""

import enum
from typing import Any, NamedTuple

from wigeonhitch.configuration import canonical, document

__all__ = ["Change", "Effect", "compare", "format_change", "list_sections"]


class Effect(enum.Enum):
    """Whether an item is added, changed or removed."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


class Change(NamedTuple):
    """One difference between two documents.

    Parameters
    ----------
    section : str
        Top-level section of the document, such as ``"pools"``.
    item : str
        Name of the item; empty in sections whose items have no name.
    effect : Effect
        Whether the item was added, changed or removed.
    field : str
        The field that changed; empty when the item was added or removed.
    before, after : object
        Values as dicts, lists and scalars; None where the item was absent.
    """

    section: str
    item: str
    effect: Effect
    field: str = ""
    before: Any = None
    after: Any = None


def compare(
    before: document.Document | None, after: document.Document
) -> tuple[Change, ...]:
    """Return the changes made by replacing ``before`` with ``after``.

    Parameters
    ----------
    before : Document or None
        The document in force; None before the first.
    after : Document
        The proposed document.

    Returns
    -------
    tuple of Change
        In the order of the document's sections; empty when both are equivalent.
    """
    changes = []
    for section in document.Document._fields:
        new = canonical.to_plain(getattr(after, section))
        old = None
        if before is not None:
            old = canonical.to_plain(getattr(before, section))
        if (old or None) != (new or None):
            changes += compare_section(section, old, new)
    return tuple(changes)


def list_sections(changes: tuple[Change, ...]) -> frozenset[str]:
    """Return the sections that contain changes."""
    return frozenset(change.section for change in changes)


def compare_section(section: str, old: Any, new: Any) -> list[Change]:
    """Return the changes of one section that differs."""
    if is_named(old) and is_named(new):
        changes = compare_items(section, old or [], new)
        return changes or [Change(section, "", Effect.CHANGED, "order")]
    effect = Effect.ADDED if old is None else Effect.CHANGED
    return [Change(section, "", effect, "", old, new)]


def is_named(items: Any) -> bool:
    """Return whether a section is a list of named items, or absent."""
    if items is None:
        return True
    return isinstance(items, list) and all("name" in item for item in items)


def compare_items(section: str, old: list[dict], new: list[dict]) -> list[Change]:
    """Return the changes of the named items of one section."""
    before = {item["name"]: item for item in old}
    after = {item["name"]: item for item in new}
    changes = []
    for name, item in after.items():
        if name not in before:
            changes.append(Change(section, name, Effect.ADDED, "", None, item))
        else:
            changes += compare_fields(section, name, before[name], item)
    for name, item in before.items():
        if name not in after:
            changes.append(Change(section, name, Effect.REMOVED, "", item, None))
    return changes


def compare_fields(section: str, name: str, old: dict, new: dict) -> list[Change]:
    """Return the changed fields of one item."""
    return [
        Change(section, name, Effect.CHANGED, field, old.get(field), value)
        for field, value in new.items()
        if old.get(field) != value
    ]


def format_change(change: Change) -> str:
    """Return a change as one human-readable line.

    Examples
    --------
    >>> format_change(Change("pools", "match", Effect.CHANGED, "size", 6, 8))
    'pools match: changed size from 6 to 8'
    """
    subject = f"{change.section} {change.item}".rstrip()
    if change.field and change.field != "order":
        values = f"from {change.before} to {change.after}"
        return f"{subject}: {change.effect.value} {change.field} {values}"
    if change.field == "order":
        return f"{subject}: changed the order"
    if change.effect is Effect.CHANGED:
        return f"{subject}: changed from {change.before} to {change.after}"
    return f"{subject}: {change.effect.value}"
