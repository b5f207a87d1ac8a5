"""Steps of resends.feature."""

from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when
from tests import claim_mesh

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import claim_events

KEY = "k"
ROUNDS = 10
LONG_ROUNDS = 100


@given("{count:d} proxies that keep claims on Idempotency-Keys")
def start(context: Any, count: int) -> None:
    context.claims = claim_mesh.ClaimMesh(nodes=count)
    context.claims.install_all()
    context.resends = []
    context.cut = []


@when("a confirmation is sent with a key")
def send(context: Any) -> None:
    context.first = _send(context, "n0")
    assert context.first.running


@when("a confirmation is sent with a key and answered")
def send_and_answer(context: Any) -> None:
    send(context)
    answer(context)


@when("the first attempt is answered")
def answer(context: Any) -> None:
    context.claims.finish(context.first, None)
    context.claims.settle(rounds=ROUNDS)


@when("it is sent again through another proxy")
def resend(context: Any) -> None:
    names = sorted(context.claims.processes)
    name = names[1 + len(context.resends)]
    context.resends.append(_send(context, name))


@when("it is sent again through a proxy that is not")
def resend_outside(context: Any) -> None:
    names = set(context.claims.processes) - set(context.cut)
    context.resends.append(_send(context, sorted(names)[0]))
    context.claims.settle(without=context.cut, rounds=LONG_ROUNDS)


@when("another confirmation is sent with the same key")
def send_other(context: Any) -> None:
    context.resends.append(_send(context, "n1", body="another"))


@when("a proxy that holds its claim dies and comes back with an empty memory")
def restart_holder(context: Any) -> None:
    name = _list_holders(context)[0]
    context.claims.restart(name)
    context.claims.install(name)
    context.claims.settle(rounds=ROUNDS)


@when("most proxies that hold its claim are cut off")
def cut_off(context: Any) -> None:
    context.cut = _list_holders(context)[:2]


@then("the resend gets the first answer")
@then("every resend gets the first answer")
def check_replayed(context: Any) -> None:
    for request in context.resends:
        assert isinstance(request.told, claim_events.Replay), request.told
        assert request.told.answer.body == context.first.token.encode()


@step("the resend did not run")
@step("no resend ran")
def check_not_repeated(context: Any) -> None:
    assert all(each.ran_at is None for each in context.resends)


@then("its caller is not told that it did not run")
def check_not_told_not_run(context: Any) -> None:
    (each,) = context.resends
    refused = isinstance(each.told, claim_events.Refuse)
    assert not refused or each.told.outcome is outcomes.RequestOutcome.UNKNOWN


@then("it is refused as not run")
def check_refused(context: Any) -> None:
    (each,) = context.resends
    assert isinstance(each.told, claim_events.Refuse)
    assert each.told.outcome is outcomes.RequestOutcome.NOT_RUN
    check_not_repeated(context)


def _send(context: Any, node_id: str, body: str = "b") -> Any:
    request = context.claims.start(node_id, KEY, body)
    assert request is not None
    context.claims.settle(without=context.cut, rounds=1)
    return request


def _list_holders(context: Any) -> list[str]:
    return [holder.node_id for holder in context.claims.shard.holders]
