import pathlib

import pytest

from wigeonhitch.configuration import canonical, check, problem, schema

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["altiplano", "dielectra"])
def test_examples_are_valid(name):
    checked = check.check_text((EXAMPLES / f"{name}.yaml").read_text())
    assert checked.problems == ()
    assert checked.intended.fleet == name
    assert sum(pool.size for pool in checked.intended.pools) == 30
    assert check.load_canonical(canonical.encode(checked.intended)) == checked.intended


def test_all_problems_are_reported_with_place_value_and_unit(plain):
    plain["kinds"][0]["memory"] = "64"
    plain["pools"][2]["must_be_up"] = {"share": 1.5}
    plain["pools"][1]["sise"] = 6
    plain["weights"] = [1, 2, 3]
    del plain["fleet"]
    checked = check.check_plain(plain)
    assert checked.intended is None
    problems_by_place = {item.place: item for item in checked.problems}
    assert set(problems_by_place) == {
        "fleet",
        "kinds[0].memory",
        "pools[1].sise",
        "pools[2].must_be_up.share",
        "weights",
    }
    share = problem.format_problem(problems_by_place["pools[2].must_be_up.share"])
    assert "1.5" in share and "less than or equal to 1" in share
    assert problems_by_place["kinds[0].memory"].unit == "GB"


CHANGES = {
    "pools[1].name": lambda d: d["pools"][1].update(name="order-lookup"),
    "pools[0].kind": lambda d: d["pools"][0].update(kind="large"),
    "pools[0].must_be_up": lambda d: d["pools"][0].update(must_be_up={}),
    "pools[0].must_be_up.number": lambda d: d["pools"][0].update(size=5),
    "pools[0].must_be_up.share": lambda d: d["pools"][0].update(
        must_be_up={"share": 0.9}
    ),
    "services[0].pool": lambda d: d["services"][0].update(pool="none"),
    "services[0].urgency": lambda d: d["services"][0].update(urgency="none"),
    "waves[0].pools[0]": lambda d: d["waves"][0]["pools"].insert(0, "none"),
    "waves[0].window.end": lambda d: d["waves"][0]["window"].update(end=0),
    "approvals[0].roles": lambda d: d["approvals"][0].update(roles=[]),
    "urgencies[0].start_within": lambda d: d["urgencies"][0].update(start_within=11),
    "kinds": lambda d: d.update(kinds=[]),
}


@pytest.mark.parametrize("place", CHANGES)
def test_references_are_checked(plain, place):
    CHANGES[place](plain)
    places = [item.place for item in check.check_plain(plain).problems]
    assert place in places


@pytest.mark.parametrize(
    "text",
    ["fleet: a\nfleet: b", "a: &x [1]\nb: *x", "[", "a: " + "[" * 5000, "1", "{1: 2}"],
)
def test_text_that_is_not_a_document_is_refused(text):
    checked = check.check_text(text)
    assert checked.intended is None
    assert checked.problems


def test_schema_describes_records_as_objects():
    json_schema = schema.build_schema()
    pool = json_schema["properties"]["pools"]["items"]
    assert pool["type"] == "object"
    assert pool["additionalProperties"] is False
    assert pool["required"] == ["name", "kind", "size", "must_be_up"]


def test_equivalent_documents_have_the_same_encoding(plain, altiplano):
    plain["kinds"][0]["cores"] = 32.0
    reordered = check.check_plain(dict(reversed(plain.items()))).intended
    assert canonical.encode(reordered) == canonical.encode(altiplano)
