"""JSON Schema of the fleet document, with records as objects.

The schema is built from the annotations, so that it does not depend on how a
release of the validation library renders a ``NamedTuple``. It is published for
programs that write documents, and `wigeonhitch.configuration.check` uses it to
find lists given in place of objects.
"""

import functools
import inspect
import typing
from typing import Any

import pydantic

from wigeonhitch.configuration import document

__all__ = ["build_schema", "describe", "find_misplaced_lists"]


def describe(annotation: Any) -> dict[str, Any]:
    """Return the JSON Schema of one annotated type."""
    if is_record(annotation):
        return describe_record(annotation)
    if typing.get_origin(annotation) is tuple:
        return {"type": "array", "items": describe(typing.get_args(annotation)[0])}
    return pydantic.TypeAdapter(annotation).json_schema()


def is_record(annotation: Any) -> bool:
    """Return whether a type is a ``NamedTuple``."""
    return isinstance(annotation, type) and hasattr(annotation, "_field_defaults")


def describe_record(record: Any) -> dict[str, Any]:
    """Return the JSON Schema of a record: an object without additional keys."""
    hints = typing.get_type_hints(record, include_extras=True)
    properties = {name: describe(hints[name]) for name in record._fields}
    for name, default in record._field_defaults.items():
        if not isinstance(default, tuple):
            properties[name]["default"] = default
    return {
        "type": "object",
        "title": record.__name__,
        "description": inspect.getdoc(record).splitlines()[0],
        "properties": properties,
        "required": [n for n in record._fields if n not in record._field_defaults],
        "additionalProperties": False,
    }


@functools.cache
def build_schema() -> dict[str, Any]:
    """Return the JSON Schema of the whole document."""
    schema = describe(document.Document)
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    return schema


def find_misplaced_lists(
    schema: dict[str, Any], data: Any, parts: tuple
) -> list[tuple]:
    """Return the locations of lists given in place of objects.

    The validation library accepts a list as the fields in order, so that a
    document would depend on the order of fields.
    """
    if schema.get("type") == "object":
        if isinstance(data, list):
            return [parts]
        if not isinstance(data, dict):
            return []
        known = schema["properties"]
        places = []
        for key, value in data.items():
            if key in known:
                places += find_misplaced_lists(known[key], value, (*parts, key))
        return places
    if schema.get("type") == "array" and isinstance(data, list):
        places = []
        for index, value in enumerate(data):
            places += find_misplaced_lists(schema["items"], value, (*parts, index))
        return places
    return []
