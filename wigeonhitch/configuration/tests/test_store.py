import pytest

from wigeonhitch.configuration import acceptance, canonical, store

Status = acceptance.Status
pytestmark = pytest.mark.anyio


def submission(intended, id="s1", base=0, author="ana"):
    return store.Submission(id, base, intended, author)


async def accept_document(documents, intended, id, base):
    """Put a document in force with all required approvals."""
    result = await documents.submit(submission(intended, id, base))
    if result.status is Status.WAITING:
        content_hash = result.stored.hash
        roles = frozenset({"operations", "owner"})
        result = await documents.approve(id, "ben", roles, content_hash)
    assert result.status is Status.ACCEPTED
    return result.version


async def test_first_document_follows_its_own_rules(documents, altiplano):
    without_rules = altiplano._replace(approvals=())
    waiting = await documents.submit(submission(altiplano))
    assert waiting.status is Status.WAITING
    accepted = await documents.submit(submission(without_rules, "s2"))
    assert (accepted.status, accepted.version) == (Status.ACCEPTED, 1)
    accepted = await documents.read_document()
    assert accepted.intended == without_rules


async def test_approval_by_author_or_wrong_role_or_of_other_content(
    documents, altiplano
):
    waiting = await documents.submit(submission(altiplano))
    content_hash = waiting.stored.hash
    roles = frozenset({"operations", "owner"})
    own = await documents.approve("s1", "ana", roles, content_hash)
    assert own.status is Status.OWN
    wrong_role = await documents.approve(
        "s1", "ben", frozenset({"clerk"}), content_hash
    )
    assert wrong_role.status is Status.NO_ROLE
    other_content = await documents.approve("s1", "ben", roles, "0" * 64)
    assert other_content.status is Status.OTHER_CONTENT
    first_approval = await documents.approve(
        "s1", "ben", frozenset({"operations"}), content_hash
    )
    assert first_approval.status is Status.WAITING
    assert [need.change for need in first_approval.stored.missing] == ["approvals"]
    second_approval = await documents.approve(
        "s1", "eva", frozenset({"owner"}), content_hash
    )
    assert (second_approval.status, second_approval.version) == (Status.ACCEPTED, 1)


async def test_conflict_names_the_version_to_rebase_on(documents, altiplano):
    await accept_document(documents, altiplano, "s1", 0)
    changed = altiplano._replace(weights=altiplano.weights._replace(moves=2.0))
    waiting = await documents.submit(
        submission(altiplano._replace(pools=altiplano.pools[::-1]), "s2", 1)
    )
    assert waiting.status is Status.WAITING
    assert await accept_document(documents, changed, "s3", 1) == 2
    late_submission = await documents.submit(submission(altiplano, "s4", 1))
    assert (late_submission.status, late_submission.version) == (Status.CONFLICT, 2)
    lapsed = await documents.approve(
        "s2", "ben", frozenset({"operations"}), waiting.stored.hash
    )
    assert (lapsed.status, lapsed.version) == (Status.CONFLICT, 2)


async def test_restored_document_becomes_a_new_version(documents, altiplano):
    await accept_document(documents, altiplano, "s1", 0)
    changed = altiplano._replace(weights=altiplano.weights._replace(moves=2.0))
    await accept_document(documents, changed, "s2", 1)
    first = await documents.read_document(1)
    assert await accept_document(documents, first.intended, "s3", 2) == 3
    history = await documents.list_history(10)
    assert [row.value["version"] for row in history.rows] == [3, 2, 1]
    assert history.rows[0].value["hash"] == history.rows[2].value["hash"]


async def test_retry_after_a_lost_answer_returns_the_result(
    platform, documents, altiplano
):
    without_rules = altiplano._replace(approvals=())
    platform.switch(lose={"prefix": "/table/commit", "every": 1})
    first = await documents.submit(submission(without_rules))
    assert first.status in (Status.ACCEPTED, Status.UNKNOWN, Status.STORE_DOWN)
    platform.switch(lose=None)
    again = await documents.submit(submission(without_rules))
    assert (again.status, again.version) == (Status.ACCEPTED, 1)
    other_content = altiplano._replace(approvals=(), fleet="other")
    reused = await documents.submit(submission(other_content))
    assert reused.status is Status.REUSED


async def test_store_down_is_reported_as_not_done(platform, documents, altiplano):
    platform.switch(down=True)
    result = await documents.submit(submission(altiplano))
    assert result.status is Status.STORE_DOWN
    assert (await documents.read_document()).intended is None


async def test_objects_are_stored_before_rows(platform, documents, altiplano):
    await accept_document(documents, altiplano, "s1", 0)
    accepted = await documents.read_document()
    assert canonical.hash_bytes(canonical.encode(accepted.intended)) == accepted.hash


async def test_accepting_daemon_is_notified_with_the_content(platform, altiplano):
    notifications = []
    documents = store.Store(
        platform.table,
        platform.objects,
        on_accepted=lambda *arguments: notifications.append(arguments),
    )
    await documents.submit(submission(altiplano))
    assert notifications == []
    other_store = store.Store(
        platform.table,
        platform.objects,
        on_accepted=lambda *arguments: notifications.append(arguments),
    )
    data = canonical.encode(altiplano)
    content_hash = canonical.hash_bytes(data)
    roles = frozenset({"operations", "owner"})
    await other_store.approve("s1", "ben", roles, content_hash)
    assert notifications == [(1, content_hash, data)]
