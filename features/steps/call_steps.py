"""Steps of calls.feature."""

from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when
from features.support import calls

from lovagesaddle.core.model import outcomes

NOT_RUN = outcomes.RequestOutcome.NOT_RUN
UNKNOWN = outcomes.RequestOutcome.UNKNOWN
POISON = "poison"


@given("{servers:d} backend servers with {slots:d} slots each")
def start_servers(context: Any, servers: int, slots: int) -> None:
    context.mesh = calls.CallMesh(servers, slots)
    context.slots = slots


@when("the confirmation {name:w} is sent")
@when("the confirmation {name:w} waits there")
def send_confirmation(context: Any, name: str) -> None:
    context.mesh.send(name)


@when("the confirmations {names} are sent")
def send_confirmations(context: Any, names: str) -> None:
    for name in _split(names):
        context.mesh.send(name)


@when("the confirmation {name:w} is sent with {seconds:d} second of time")
def send_with_timeout(context: Any, name: str, seconds: int) -> None:
    context.mesh.send(name, timeout_s=seconds)


@when("the proof check {name:w} is sent")
def send_proof_check(context: Any, name: str) -> None:
    context.mesh.send(name, idempotent=True)


@when("{count:d} confirmations fill every slot and every queue")
@when("{count:d} confirmations run on the first backend server")
def send_many(context: Any, count: int) -> None:
    for number in range(count):
        context.mesh.send(f"other{number}")


@when("a proof check that crashes them is sent {count:d} times by its caller")
def send_poison(context: Any, count: int) -> None:
    mesh = context.mesh
    for number in range(count):
        mesh.send(f"{POISON}#{number}", idempotent=True)
        while running := _find_running(context, POISON):
            mesh.crash(running)
        for server in mesh.servers.values():
            report = server.owner.report(mesh.now)
            if not server.drained and not report.draining:
                mesh.restart(server, context.slots)
        mesh.pass_time(0.1)


@when("the backend servers answer {names}")
def answer(context: Any, names: str) -> None:
    for name in _split(names):
        if _find_running(context, name) is not None:
            context.mesh.answer(name)


@when("{seconds:d} seconds go by")
def pass_time(context: Any, seconds: int) -> None:
    context.mesh.pass_time(seconds)


@when("the backend server that runs {name:w} dies")
def crash_runner(context: Any, name: str) -> None:
    server = _find_running(context, name)
    assert server is not None
    context.mesh.crash(server)


@when("the first backend server dies")
def crash_first(context: Any) -> None:
    context.mesh.crash(context.mesh.servers["s0"])


@when("the {place:w} backend server is leaving")
def drain(context: Any, place: str) -> None:
    name = {"first": "s0", "second": "s1"}[place]
    context.leaving = context.mesh.servers[name]
    context.mesh.drain(context.leaving)


@step("{names} each get the answer to their own request")
@step("{names} gets the answer to its own request")
def check_answers(context: Any, names: str) -> None:
    for name in _split(names):
        (result,) = context.mesh.calls[name].results
        assert result.answer == name and result.outcome is None, result


@then("the caller of {name:w} is told that it may have run")
def check_unknown(context: Any, name: str) -> None:
    (result,) = context.mesh.calls[name].results
    assert result.outcome is UNKNOWN


@then("the caller of {name:w} is told that it did not run")
def check_not_run(context: Any, name: str) -> None:
    (result,) = context.mesh.calls[name].results
    assert result.outcome is NOT_RUN


@then("{name:w} did not run")
def check_never_ran(context: Any, name: str) -> None:
    assert context.mesh.runs[name] == 0


@then("{names} ran once")
@then("{names} ran once each")
def check_ran_once(context: Any, names: str) -> None:
    for name in _split(names):
        assert context.mesh.runs[name] == 1, name


@then("{name:w} ran {count:d} times")
def check_run_count(context: Any, name: str, count: int) -> None:
    assert context.mesh.runs[name] == count


@then("{name:w} runs on another backend server")
def check_runs_elsewhere(context: Any, name: str) -> None:
    server = _find_running(context, name)
    assert server is not None and server is not context.leaving


@then("it may not stop yet")
def check_not_drained(context: Any) -> None:
    assert not context.leaving.drained


@then("it may stop now")
def check_drained(context: Any) -> None:
    assert context.leaving.drained


@then("A was first sent by the version it came with and then by the newest")
def check_versions(context: Any) -> None:
    assert context.mesh.calls["A"].newest == [False, True]


@then("no more than {count:d} backend servers died")
def check_death_count(context: Any, count: int) -> None:
    assert 0 < context.mesh.deaths <= count, context.mesh.deaths


@then("its last senders are told that it did not run")
def check_last_senders_refused(context: Any) -> None:
    senders = [
        call
        for name, call in context.mesh.calls.items()
        if name.startswith(POISON)
    ]
    for call in senders[-5:]:
        (result,) = call.results
        assert result.outcome is NOT_RUN


def _split(names: str) -> list[str]:
    return names.replace(" and ", ", ").split(", ")


def _find_running(context: Any, name: str) -> calls.BackendServer | None:
    for server in context.mesh.servers.values():
        for attempt in server.running:
            if attempt.startswith((f"{name}.", f"{name}#")):
                found: calls.BackendServer = server
                return found
    return None
