"""Validation of a fleet document: its schema first, then its references.

The outcome is a checked `document.Document` or all problems found, never a
partial document. The text is YAML, of which JSON is a subset.
"""

import json
from typing import Any, NamedTuple

import pydantic
import yaml

from wigeonhitch.configuration import document, problem, references, schema

__all__ = ["MAX_TEXT_LENGTH", "Checked", "check_plain", "check_text", "load_canonical"]

# Maximum length of a text that is parsed, in characters: 128 pools, 130 teams
# and a wave for each pool take about 80 kB. The limit keeps one request from
# exhausting a daemon's memory.
MAX_TEXT_LENGTH = 1_000_000

ADAPTER = pydantic.TypeAdapter(
    document.Document,
    config=pydantic.ConfigDict(strict=True, allow_inf_nan=False),
)

EXPECTED_BY_ERROR_TYPE = {
    "missing": "a value",
    "missing_argument": "a value",
    "extra_forbidden": "no such key",
    "unexpected_keyword_argument": "no such key",
    "named_tuple_type": "an object",
    "arguments_type": "an object",
}


class Checked(NamedTuple):
    """A checked document, or the problems for which it was refused.

    ``intended`` is None if and only if there are problems.
    """

    intended: document.Document | None
    problems: tuple[problem.Problem, ...] = ()


class UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that refuses duplicate keys, of which PyYAML keeps only one."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict:
        """Build a mapping from a node; raise if a key is repeated or not text."""
        seen_keys = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} is not text", key_node.start_mark
                )
            if key in seen_keys:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} is given twice", key_node.start_mark
                )
            seen_keys.add(key)
        return super().construct_mapping(node, deep)

    def compose_node(self, parent: Any, index: Any) -> Any:
        """Refuse aliases, since a few nested ones can expand exponentially."""
        if self.check_event(yaml.events.AliasEvent):
            event = self.peek_event()
            raise yaml.composer.ComposerError(
                None, None, "aliases are not allowed", event.start_mark
            )
        return super().compose_node(parent, index)


def check_text(text: str) -> Checked:
    """Check the YAML or JSON text of a document.

    Parameters
    ----------
    text : str
        The complete text.

    Returns
    -------
    Checked
        The document, or all of its problems.
    """
    if len(text) > MAX_TEXT_LENGTH:
        return build_refusal(f"at most {MAX_TEXT_LENGTH} characters", len(text))
    try:
        data = yaml.load(text, Loader=UniqueKeyLoader)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        return build_refusal("well-formed YAML or JSON", " ".join(str(error).split()))
    return check_plain(data)


def check_plain(data: Any) -> Checked:
    """Check a decoded document of dicts, lists, text and numbers."""
    if not isinstance(data, dict):
        return build_refusal("an object", data)
    try:
        text = json.dumps(data)
    except (TypeError, ValueError, RecursionError) as error:
        return build_refusal("only text, numbers, lists and objects", str(error))
    problems = [
        problem.Problem(problem.format_place(parts), "a list", "an object")
        for parts in schema.find_misplaced_lists(schema.build_schema(), data, ())
    ]
    try:
        intended = ADAPTER.validate_json(text)
    except pydantic.ValidationError as error:
        problems += [translate_error(detail) for detail in error.errors()]
        return Checked(None, tuple(problems))
    problems += references.check_references(intended)
    if problems:
        return Checked(None, tuple(problems))
    return Checked(intended)


def load_canonical(data: bytes) -> document.Document | None:
    """Return the document encoded in canonical bytes, or None if unreadable."""
    try:
        return check_plain(json.loads(data)).intended
    except (ValueError, RecursionError):
        return None


def build_refusal(expected: str, value: Any) -> Checked:
    """Return the outcome for a text that is not a document at all."""
    return Checked(None, (problem.Problem("", value, expected),))


def translate_error(detail: Any) -> problem.Problem:
    """Convert an error of the validation library to a problem."""
    kind = detail["type"]
    expected = EXPECTED_BY_ERROR_TYPE.get(kind)
    if expected is None:
        expected = detail["msg"].removeprefix("Input should be ")
    value = None if kind.startswith("missing") else detail["input"]
    parts = detail["loc"]
    place = problem.format_place(parts)
    return problem.Problem(place, value, expected, problem.find_unit(parts))
