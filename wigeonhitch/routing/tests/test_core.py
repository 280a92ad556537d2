from wigeonhitch import verdict
from wigeonhitch.routing import action, event


def test_requests_of_all_daemons_are_answered_without_refusals(loop):
    loop.offer_load(700.0, 0.0, 3.0)
    loop.run(10.0)
    assert len(loop.completed) > 1500
    assert all(done.verdict == verdict.ran() for done in loop.completed.values())
    assert set(loop.runs.values()) == {1}
    assert loop.counts["refusals"] < 0.01 * len(loop.completed)


def test_drained_worker_gets_no_send_once_the_view_is_applied(loop):
    sends = []
    owner = loop.find_owner()
    others = [name for name in loop.names if name != owner]

    def watch(daemon, act):
        if isinstance(act, action.Send) and loop.cores[daemon].revision == 2:
            sends.append(act.vm)

    loop.on_action = watch
    loop.offer_load(1500.0, 0.0, 3.0, timeout=0.5)
    loop.call_at(1.0, loop.set_view, 2, ("vm0",), others)
    loop.call_at(2.0, loop.set_view, 2, ("vm0",), [owner])
    loop.run(6.0)
    assert sends
    assert "vm0" not in sends
    assert all(core.in_flight("vm0") == 0 for core in loop.cores.values())


def test_send_right_lapsed_refuses_what_waits_and_what_arrives(loop):
    loop.offer_load(1500.0, 0.0, 1.0)
    loop.run(1.0)
    core = loop.cores["d0"]
    waiting = sum(core.count_waiting().values())
    assert waiting
    actions = core.handle(event.SendRightLapsed(), 1.0)
    refused = [act for act in actions if isinstance(act, action.Answer)]
    assert len(refused) == waiting
    assert {act.verdict.ran for act in refused} == {verdict.Ran.NO}
    assert not [act for act in actions if isinstance(act, action.Send)]
