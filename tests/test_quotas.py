"""Tests of quotas over many nodes, in virtual time and with faults."""

import dataclasses
import random

from lovagesaddle.core.model import services
from lovagesaddle.core.routing import quota_parts
from tests import fixtures
from tests import quota_mesh

RULES = quota_mesh.RULES
# Time at which all parts of a mesh that starts at 0 are in use, in seconds.
READY_S = 8.0
LARGE = quota_mesh.make_account("large", 60.0)
SMALL = quota_mesh.make_account("small", 4.0)


def make_weights(mesh: quota_mesh.QuotaMesh) -> list[float]:
    """Returns very uneven parts of the entries."""
    return [mesh.random.expovariate(1.0) ** 2 for _ in mesh.node_ids]


def check_bound(
    mesh: quota_mesh.QuotaMesh,
    account: services.ClientAccount,
    since: float = 0.0,
) -> int:
    """Checks the rule in every window; returns the most in one."""
    most = mesh.records[account.name].count_most(RULES.window_s, since)
    bound = RULES.compute_bound(account)
    assert most <= bound, f"{account.name}: {most} of {bound} in a window"
    return most


def test_nothing_within_a_quota_is_refused_in_calm() -> None:
    """63 uneven entries and 40 accounts of very uneven size, at 1 / 1.6."""
    usual = [150.0 * (rank + 1) ** -1.2 for rank in range(40)]
    accounts = tuple(
        quota_mesh.make_account(f"t{rank}", 1.6 * rate)
        for rank, rate in enumerate(usual)
    )
    mesh = quota_mesh.QuotaMesh(63, accounts)
    weights = make_weights(mesh)
    for account, rate in zip(accounts, usual, strict=True):
        mesh.send_poisson(account.name, rate, READY_S, 18.0, weights)
    mesh.run(19.0)
    assert sum(len(record.sent) for record in mesh.records.values()) > 4000
    for account in accounts:
        record = mesh.records[account.name]
        assert record.over + record.unknown == 0, account.name
    # Entries ask in their own failure domain.
    assert mesh.sent_far < 0.1 * mesh.sent


def test_hot_account_gets_its_quota_and_not_more() -> None:
    """Nine times the usual for 6 s, over uneven entries and at one alone."""
    for is_single in (False, True):
        mesh = quota_mesh.QuotaMesh(30, (LARGE, SMALL))
        weights = make_weights(mesh)
        if is_single:
            weights = [1.0] + [0.0] * (len(weights) - 1)
        for account in (LARGE, SMALL):
            rate = account.rate_per_s / 1.6
            for times, start, end in ((1, 8, 12), (9, 12, 18), (1, 18, 22)):
                mesh.send_poisson(
                    account.name, times * rate, start, end, weights
                )
        mesh.run(23.0)
        for account in (LARGE, SMALL):
            check_bound(mesh, account)
            record = mesh.records[account.name]
            hot = sum(12.0 <= at < 18.0 for at in record.admitted)
            assert hot > 0.95 * 6 * account.rate_per_s + account.burst
            assert record.over > 0


def run_faulty(account: services.ClientAccount, fault: str) -> None:
    """Presses an account at all entries while its holders meet a fault."""
    mesh = quota_mesh.QuotaMesh(18, (account,))
    mesh.send_poisson(account.name, 6 * account.rate_per_s, READY_S, 30.0)
    mesh.run(11.0)
    holders = mesh.list_holders(account.name)
    assert len(holders) == quota_parts.PARTS
    for number, holder in enumerate(holders[:4]):
        mesh.run(11.0 + 0.3 * number)
        match fault:
            case "freeze":
                mesh.freeze(holder, 2.5)
            case "long freeze":
                mesh.freeze(holder, 9.0)
                kept = [name for name in mesh.members if name != holder]
                mesh.at(17.0, lambda kept=kept: mesh.publish(members=kept))  # type: ignore[misc]
            case "restart":
                mesh.stop(holder)
                mesh.start(holder)
            case "death":
                mesh.stop(holder)
                kept = [name for name in mesh.members if name != holder]
                mesh.publish(members=kept)
    mesh.run(31.0)
    check_bound(mesh, account)
    served = sum(at >= 12.0 for at in mesh.records[account.name].admitted)
    assert served > 0.4 * 18 * account.rate_per_s, f"{fault}: {served}"


def test_holders_that_freeze_die_or_restart_grant_nothing_twice() -> None:
    """What a holder may have granted counts as used until it has run out."""
    for account in (LARGE, SMALL):
        for fault in ("freeze", "long freeze", "restart", "death"):
            run_faulty(account, fault)


def test_two_sides_together_keep_the_bound() -> None:
    """A side without new tables goes on, while its parts move to the other."""
    for account in (LARGE, SMALL):
        mesh = quota_mesh.QuotaMesh(18, (account,))
        mesh.send_poisson(account.name, 6 * account.rate_per_s, READY_S, 40.0)
        mesh.run(12.0)
        cut_off = mesh.node_ids[::2]
        mesh.sides = dict.fromkeys(cut_off, 1)
        mesh.stale = {1}
        kept = [name for name in mesh.node_ids if name not in cut_off]
        mesh.run(12.1)
        mesh.publish(members=kept)
        mesh.run(25.0)
        mesh.sides, mesh.stale = {}, set()
        mesh.publish(members=mesh.node_ids)
        mesh.run(41.0)
        check_bound(mesh, account)


def test_entries_that_wake_up_use_no_old_tokens() -> None:
    """Tokens run out by a clock that goes on while an entry is suspended."""
    for freeze_s in (0.8, 3.0, 7.0):
        mesh = quota_mesh.QuotaMesh(18, (LARGE,))
        rate = 4 * LARGE.rate_per_s
        mesh.send_poisson(LARGE.name, rate, READY_S, 25.0)
        mesh.run(12.0)
        for node_id in mesh.node_ids[:9]:
            mesh.freeze(node_id, freeze_s)
        mesh.run(26.0)
        check_bound(mesh, LARGE)


def test_lower_quota_binds_one_window_later() -> None:
    """A quota that falls to a fifth, at an account that presses on."""
    mesh = quota_mesh.QuotaMesh(18, (LARGE,))
    mesh.send_poisson(LARGE.name, 3 * LARGE.rate_per_s, READY_S, 25.0)
    mesh.run(12.0)
    lower = dataclasses.replace(LARGE, rate_per_s=24.0, burst=24.0)
    mesh.publish(lower)
    mesh.run(26.0)
    assert check_bound(mesh, lower, since=14.0) > 5 * lower.rate_per_s


def test_random_faults_keep_the_bound() -> None:
    """Freezes, restarts, cuts, lost members and other limits in any order."""
    for seed in range(6):
        mesh = quota_mesh.QuotaMesh(15, (LARGE, SMALL), seed=seed)
        source = random.Random(seed)
        for account in (LARGE, SMALL):
            mesh.send_poisson(
                account.name, 5 * account.rate_per_s, READY_S, 45.0
            )
        for step in range(60):
            mesh.run(READY_S + 0.6 * step)
            node_id = source.choice(mesh.node_ids[1:])
            match source.randrange(5):
                case 0 if node_id not in mesh.down:
                    mesh.stop(node_id)
                case 1 if node_id in mesh.down:
                    mesh.start(node_id)
                case 2:
                    mesh.publish(members=source.sample(mesh.node_ids, 11))
                case 3:
                    mesh.sides = {
                        name: source.randrange(3) // 2 for name in mesh.node_ids
                    }
                    mesh.stale = {source.randrange(2)}
                case 4 if node_id not in mesh.frozen:
                    mesh.freeze(node_id, 6 * source.random())
        mesh.run(46.0)
        for account in (LARGE, SMALL):
            assert check_bound(mesh, account) > 0


def test_entries_without_a_proof_ask_nobody() -> None:
    """While control is lost, asks in vain would fill the links."""
    mesh = quota_mesh.QuotaMesh(12, (LARGE,))
    mesh.stale = {0}
    mesh.run(12.0)
    mesh.send_poisson(LARGE.name, LARGE.rate_per_s, 12.0, 16.0)
    sent = mesh.sent
    mesh.run(17.0)
    assert mesh.sent == sent
    record = mesh.records[LARGE.name]
    assert record.unknown == len(record.sent) > 100


load_tests = fixtures.collect(__name__)
