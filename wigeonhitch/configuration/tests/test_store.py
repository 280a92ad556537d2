import pytest

from wigeonhitch.configuration import acceptance, canonical, store

Status = acceptance.Status
pytestmark = pytest.mark.anyio


def submission(intended, id="s1", base=0, author="ana"):
    return store.Submission(id, base, intended, author)


async def accept_document(documents, intended, id, base):
    """Put a document in force with every approval it needs."""
    result = await documents.submit(submission(intended, id, base))
    if result.status is Status.WAITING:
        content_hash = result.stored.hash
        roles = frozenset({"operations", "owner"})
        result = await documents.approve(id, "ben", roles, content_hash)
    assert result.status is Status.ACCEPTED
    return result.version


async def test_first_document_follows_its_own_rules(documents, altiplano):
    free = altiplano._replace(approvals=())
    waiting = await documents.submit(submission(altiplano))
    assert waiting.status is Status.WAITING
    accepted = await documents.submit(submission(free, "s2"))
    assert (accepted.status, accepted.version) == (Status.ACCEPTED, 1)
    accepted = await documents.read_document()
    assert accepted.intended == free


async def test_approval_by_author_or_wrong_role_or_of_other_content(
    documents, altiplano
):
    waiting = await documents.submit(submission(altiplano))
    content_hash = waiting.stored.hash
    roles = frozenset({"operations", "owner"})
    own = await documents.approve("s1", "ana", roles, content_hash)
    assert own.status is Status.OWN
    clerk = await documents.approve("s1", "ben", frozenset({"clerk"}), content_hash)
    assert clerk.status is Status.NO_ROLE
    other = await documents.approve("s1", "ben", roles, "0" * 64)
    assert other.status is Status.OTHER_CONTENT
    half = await documents.approve("s1", "ben", frozenset({"operations"}), content_hash)
    assert half.status is Status.WAITING
    assert [need.change for need in half.stored.missing] == ["approvals"]
    whole = await documents.approve("s1", "eva", frozenset({"owner"}), content_hash)
    assert (whole.status, whole.version) == (Status.ACCEPTED, 1)


async def test_conflict_names_the_version_to_rebase_on(documents, altiplano):
    await accept_document(documents, altiplano, "s1", 0)
    changed = altiplano._replace(weights=altiplano.weights._replace(moves=2.0))
    waiting = await documents.submit(
        submission(altiplano._replace(pools=altiplano.pools[::-1]), "s2", 1)
    )
    assert waiting.status is Status.WAITING
    assert await accept_document(documents, changed, "s3", 1) == 2
    late = await documents.submit(submission(altiplano, "s4", 1))
    assert (late.status, late.version) == (Status.CONFLICT, 2)
    lapsed = await documents.approve(
        "s2", "ben", frozenset({"operations"}), waiting.stored.hash
    )
    assert (lapsed.status, lapsed.version) == (Status.CONFLICT, 2)


async def test_undo_is_a_new_version(documents, altiplano):
    await accept_document(documents, altiplano, "s1", 0)
    changed = altiplano._replace(weights=altiplano.weights._replace(moves=2.0))
    await accept_document(documents, changed, "s2", 1)
    first = await documents.read_document(1)
    assert await accept_document(documents, first.intended, "s3", 2) == 3
    history = await documents.list_history(10)
    assert [row.value["version"] for row in history.rows] == [3, 2, 1]
    assert history.rows[0].value["hash"] == history.rows[2].value["hash"]


async def test_lost_answer_is_read_back(platform, documents, altiplano):
    free = altiplano._replace(approvals=())
    platform.switch(lose={"prefix": "/table/commit", "every": 1})
    first = await documents.submit(submission(free))
    assert first.status in (Status.ACCEPTED, Status.UNKNOWN, Status.STORE_DOWN)
    platform.switch(lose=None)
    again = await documents.submit(submission(free))
    assert (again.status, again.version) == (Status.ACCEPTED, 1)
    other = altiplano._replace(approvals=(), fleet="other")
    reused = await documents.submit(submission(other))
    assert reused.status is Status.REUSED


async def test_store_down_says_not_done(platform, documents, altiplano):
    platform.switch(down=True)
    result = await documents.submit(submission(altiplano))
    assert result.status is Status.STORE_DOWN
    assert (await documents.read_document()).intended is None


async def test_objects_are_stored_before_rows(platform, documents, altiplano):
    await accept_document(documents, altiplano, "s1", 0)
    accepted = await documents.read_document()
    assert canonical.hash_bytes(canonical.encode(accepted.intended)) == accepted.hash


async def test_daemon_that_accepts_learns_it_with_the_content(platform, altiplano):
    noted = []
    documents = store.Store(
        platform.table,
        platform.objects,
        on_accepted=lambda *news: noted.append(news),
    )
    await documents.submit(submission(altiplano))
    assert noted == []
    other = store.Store(
        platform.table,
        platform.objects,
        on_accepted=lambda *news: noted.append(news),
    )
    data = canonical.encode(altiplano)
    content_hash = canonical.hash_bytes(data)
    roles = frozenset({"operations", "owner"})
    await other.approve("s1", "ben", roles, content_hash)
    assert noted == [(1, content_hash, data)]
