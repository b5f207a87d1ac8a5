"""Steps of publishing.feature."""

from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when
from features.support import control_vms
from features.support import service_files

from lovagesaddle.core.model import commands

BOTH_SERVICES = ("artwork", "orderdesk")
Outcome = commands.PublishOutcome


@given("three control VMs in three failure domains")
def start_vms(context: Any) -> None:
    context.vms = control_vms.ControlVms()
    context.sent = {}
    context.results = {}
    context.lost = []


@given("{names} are published as revision {revision:d}")
def publish_first(context: Any, names: str, revision: int) -> None:
    found, _ = service_files.check_files(
        service_files.list_names(names), revision
    )
    _send(context, "first", _make_command(context, "first", found))
    assert _await_result(context, "first").outcome is Outcome.ACCEPTED


@when("ana publishes revision 2 with a mistake in {name}")
def publish_mistake(context: Any, name: str) -> None:
    _, context.problems = service_files.check_files(
        BOTH_SERVICES, 2, mistake_in=service_files.SERVICE_NAMES[name]
    )


@when("ana publishes only {name} as revision {revision:d}")
def publish_only(context: Any, name: str, revision: int) -> None:
    names = (service_files.SERVICE_NAMES[name],)
    _, context.problems = service_files.check_files(names, revision)


@when("ana sends revision {revision:d} of only {name} unchecked")
def send_unchecked(context: Any, revision: int, name: str) -> None:
    found, _ = service_files.check_files(BOTH_SERVICES, revision)
    kept = tuple(
        each for each in found if each.name == service_files.SERVICE_NAMES[name]
    )
    _send(context, "ana", _make_command(context, "ana", kept))
    _await_result(context, "ana")


@when("ana and luis publish revisions 2 and 3 on the same version")
def publish_concurrently(context: Any) -> None:
    for operator, revision in (("ana", 2), ("luis", 3)):
        found, _ = service_files.check_files(BOTH_SERVICES, revision)
        _send(context, operator, _make_command(context, operator, found))


@when("the leader is lost before anyone is answered")
def lose_leader_unanswered(context: Any) -> None:
    lose_leader(context)


@when("ana and luis send the same publishes again")
def resend_both(context: Any) -> None:
    for operator in ("ana", "luis"):
        _resend(context, operator)


@when("ana publishes revision {revision:d} and loses the answer")
def publish_and_lose_answer(context: Any, revision: int) -> None:
    found, _ = service_files.check_files(BOTH_SERVICES, revision)
    _send(context, "ana", _make_command(context, "ana", found))
    context.first_answer = _await_result(context, "ana")


@when("ana sends the same publish again")
def resend(context: Any) -> None:
    _resend(context, "ana")
    context.results["ana"] = _await_result(context, "ana")


@step("{operator:w} publishes revision {revision:d}")
def publish(context: Any, operator: str, revision: int) -> None:
    found, _ = service_files.check_files(BOTH_SERVICES, revision)
    _send(context, operator, _make_command(context, operator, found))
    assert _await_result(context, operator).outcome is Outcome.ACCEPTED


@step("luis publishes revision {revision:d} to the others")
def publish_to_others(context: Any, revision: int) -> None:
    vms = context.vms
    vms.run_until(lambda: vms.find_leader() not in ("", context.cut_off))
    publish(context, "luis", revision)


@when("ana publishes revision {revision:d} to the one that is left")
def publish_to_remaining(context: Any, revision: int) -> None:
    (remaining,) = set(context.vms.hosts) - set(context.lost)
    _publish_to(context, remaining, revision)


@when("ana publishes revision {revision:d} to the one that is cut off")
def publish_to_cut_off(context: Any, revision: int) -> None:
    _publish_to(context, context.cut_off, revision)


@given("two control VMs are lost")
def lose_two(context: Any) -> None:
    context.base = context.vms.read_accepted().publication_version
    for name in sorted(context.vms.hosts)[:2]:
        _crash(context, name)


@when("the leader is lost")
def lose_leader(context: Any) -> None:
    _crash(context, context.vms.wait_for_leader())


@when("the lost control VMs return")
@when("the lost control VM returns")
def restart_lost(context: Any) -> None:
    for name in context.lost:
        context.vms.restart(name)
    context.lost.clear()


@when("all control VMs are lost and return")
def lose_all(context: Any) -> None:
    for name in context.vms.hosts:
        _crash(context, name)
    restart_lost(context)


@step("the leader is cut off from the other control VMs")
def cut_off_leader(context: Any) -> None:
    context.base = context.vms.read_accepted().publication_version
    context.cut_off = context.vms.wait_for_leader()
    context.vms.partition((context.cut_off,))


@when("the partition ends")
def end_partition(context: Any) -> None:
    context.vms.heal()
    context.vms.settle()


@when("a follower is lost with its disk")
@when("another control VM is lost with its disk")
def lose_disk(context: Any) -> None:
    vms = context.vms
    leader = vms.wait_for_leader()
    members = vms.get(leader).members.list_voters()
    # Sorted by name, the newest member is last: the one that just replaced
    # a lost member stays.
    name = sorted(each for each in members if each != leader)[0]
    vms.settle()
    vms.lose_disk(name)
    context.lost_member = name


@step("a new control VM replaces it")
def replace_vm(context: Any) -> None:
    vms = context.vms
    vms.manage_members()
    name = f"r{len(vms.hosts) + 1}"
    member = vms.add_host(name)
    leader = vms.wait_for_leader()
    members = vms.get(leader).members
    learner = control_vms.make_replacement(member, context.lost_member)
    vms.change_members(leader, members.put(learner))
    vms.run_until(
        lambda: (
            name in vms.get(vms.wait_for_leader()).members.list_voters()
            and context.lost_member
            not in vms.get(vms.wait_for_leader()).members.list_voters()
        )
    )


@then("ana is told the file, line, section and key of the mistake")
def check_located(context: Any) -> None:
    (problem,) = context.problems
    assert problem.format().startswith(
        "artwork.service.ini:11: route main/timeout: "
    ), problem.format()


@then("ana is told that a service does not exist")
def check_missing_service(context: Any) -> None:
    (problem,) = context.problems
    assert 'service "artwork" does not exist' in problem.cause


@then("ana's publish is rejected")
def check_rejected(context: Any) -> None:
    assert context.results["ana"].outcome is Outcome.REJECTED


@then("{operator:w} is accepted")
def check_accepted(context: Any, operator: str) -> None:
    assert context.results[operator].outcome is Outcome.ACCEPTED


@then("one of them is accepted and the other is told who won")
def check_one_winner(context: Any) -> None:
    found = {name: _await_result(context, name) for name in ("ana", "luis")}
    winners = [n for n, r in found.items() if r.outcome is Outcome.ACCEPTED]
    losers = [n for n, r in found.items() if r.outcome is Outcome.CONFLICT]
    assert len(winners) == len(losers) == 1, found
    assert found[losers[0]].winner_operator == winners[0]
    context.winner = winners[0]


@then("ana gets no answer")
def check_unanswered(context: Any) -> None:
    assert context.results["ana"] is None


@then("ana is told the version of the first attempt")
def check_first_answer(context: Any) -> None:
    assert context.results["ana"] == context.first_answer


@then("revision {revision:d} was accepted once")
def check_accepted_once(context: Any, revision: int) -> None:
    assert _count_publications(context, revision) == 1


@then("revision {revision:d} was never accepted")
def check_never_accepted(context: Any, revision: int) -> None:
    assert _count_publications(context, revision) == 0


@then("every control VM holds the winner's revision")
def check_winner(context: Any) -> None:
    revision = {"ana": 2, "luis": 3}[context.winner]
    _check_all_hold(context, revision, BOTH_SERVICES)


@then("every control VM holds revision {revision:d} of {names}")
def check_held(context: Any, revision: int, names: str) -> None:
    _check_all_hold(context, revision, service_files.list_names(names))


def _check_all_hold(
    context: Any, revision: int, names: tuple[str, ...]
) -> None:
    vms = context.vms
    vms.settle()
    for name, host in vms.hosts.items():
        if host.replica is not None:
            held = vms.read(name).snapshot.services
            found = {each.name: each.revision for each in held}
            assert found == dict.fromkeys(names, revision), (name, found)


def _make_command(context: Any, operator: str, published: Any) -> Any:
    base = context.vms.read_accepted().publication_version
    number = len(context.sent) + sum(1 for _ in context.results)
    return control_vms.make_command(
        operator, f"{operator}-{number}-{base}", base, published
    )


def _publish_to(context: Any, name: str, revision: int) -> None:
    found, _ = service_files.check_files(BOTH_SERVICES, revision)
    command = control_vms.make_command("ana", "ana-lost", context.base, found)
    context.sent["ana"] = context.vms.send(name, command)
    context.results["ana"] = context.vms.await_answer(context.sent["ana"])


def _send(context: Any, operator: str, command: Any) -> None:
    leader = context.vms.wait_for_leader()
    context.sent[operator] = context.vms.send(leader, command)


def _resend(context: Any, operator: str) -> None:
    _send(context, operator, context.sent[operator].command)


def _await_result(context: Any, operator: str) -> Any:
    found = context.vms.await_answer(context.sent[operator])
    context.results[operator] = found
    return found


def _crash(context: Any, name: str) -> None:
    context.vms.crash(name)
    context.lost.append(name)


def _count_publications(context: Any, revision: int) -> int:
    kept = context.vms.read_accepted().publications
    wanted = f"orderdesk={revision}"
    return sum(wanted in each.publication.revisions for each in kept)
