"""Tests that the demo detects a broken promise."""

import dataclasses

from lovagesaddle.cli import demo_files
from lovagesaddle.cli import demo_report
from lovagesaddle.cli import demo_server
from lovagesaddle.cli import demo_traffic
from lovagesaddle.cli import demo_watch
from tests import fixtures
from tests import nodes

CallEnd = demo_traffic.CallEnd
PROOF, CONFIRMATION, *_ = demo_files.TARGETS


def _call(
    target: demo_traffic.Target, number: int, end: CallEnd
) -> demo_traffic.Call:
    return demo_traffic.Call(
        target=target,
        path=f"{target.prefix}/{number}",
        end=end,
        status=200,
        started_s=0.0,
        duration_s=0.01,
    )


WITHOUT_BREACH = demo_report.Observations(
    convergence_s=(0.1,),
    control_bytes=10,
    calls=(
        _call(PROOF, 1, CallEnd.OK),
        _call(CONFIRMATION, 2, CallEnd.OK),
        _call(CONFIRMATION, 3, CallEnd.REFUSED),
    ),
    runs={"/proofs/1": 2, "/confirmations/2": 1},
    drain=demo_report.Drain(
        server="s",
        at_s=10.0,
        runs=(demo_server.Run(path="/proofs/1", started_s=11.0),),
    ),
    regressions=(),
    direct=demo_report.Latency(p50_s=0.001, p99_s=0.002),
    through=demo_report.Latency(p50_s=0.003, p99_s=0.006),
)


def test_demo_without_a_breach_holds() -> None:
    """Without a breach every promise holds and the calls are counted."""
    report = demo_report.make_report(WITHOUT_BREACH)
    assert report.holds, report
    assert report.ends == {"ok": 2, "refused": 1, "unknown": 0, "wrong": 0}
    assert abs(report.added_p99_s - 0.004) < 1e-9


def test_each_breach_breaks_the_demo() -> None:
    """Each kind of breach breaks its own promise and no other."""
    wrong = (*WITHOUT_BREACH.calls, _call(PROOF, 4, CallEnd.WRONG))
    unknown = (*WITHOUT_BREACH.calls, _call(PROOF, 4, CallEnd.UNKNOWN))
    late = demo_server.Run(path="/proofs/5", started_s=14.0)
    changes = (
        dataclasses.replace(WITHOUT_BREACH, calls=wrong),
        dataclasses.replace(WITHOUT_BREACH, runs={"/confirmations/3": 1}),
        dataclasses.replace(WITHOUT_BREACH, runs={"/confirmations/2": 2}),
        dataclasses.replace(WITHOUT_BREACH, calls=unknown),
        dataclasses.replace(
            WITHOUT_BREACH,
            drain=dataclasses.replace(WITHOUT_BREACH.drain, runs=(late,)),
        ),
        dataclasses.replace(
            WITHOUT_BREACH,
            regressions=(
                demo_watch.VersionChange(node_id="n", before=3, after=2),
            ),
        ),
        dataclasses.replace(WITHOUT_BREACH, convergence_s=(9.0,)),
    )
    for index, observed in enumerate(changes):
        promises = demo_report.make_report(observed).promises
        broken = [p for p in range(len(promises)) if promises[p].breaches]
        assert broken == [index], (index, broken)


def test_crossed_answer_is_wrong() -> None:
    """An answer that echoes another request counts as wrong."""
    with demo_server.DemoServer(name="s", service="orderdesk") as server:
        with demo_traffic.Traffic(
            addresses=[server.address], targets=demo_files.TARGETS, callers=1
        ) as traffic:
            nodes.wait_for(lambda: len(server.runs) > 1, "two calls")
        calls = traffic.list_calls()
    assert {call.end for call in calls} == {CallEnd.OK}
    body = b'{"server":"s","service":"d","path":"/a/1","body_digest":""}'
    end = demo_traffic.classify_answer(200, None, "/a/2", b"", body)
    assert end is CallEnd.WRONG


load_tests = fixtures.collect(__name__)
