from wigeonhitch import verdict


def test_only_not_run_is_retriable():
    assert verdict.not_run(verdict.Reason.QUEUE_FULL).is_retriable
    assert not verdict.ran().is_retriable
    assert not verdict.may_have_run(verdict.Reason.TIMEOUT).is_retriable
