"""Writes docs/promises.md: `python -m tools.promises`.

The page maps every promise and every fault to the scenarios that carry its
tag and to the tests that show it. It is committed; a test compares it with
what this module renders.
"""

import ast
import dataclasses
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "promises.md"
_SCENARIO = re.compile(
    r"^(?P<tags>(?: *@\S.*\n)+) *Scenario: (?P<name>.+)$", re.MULTILINE
)
_INTRO = """\
# Promises and faults, and what shows them

Written by `python -m tools.promises`; a test keeps it current. A scenario
stands in `features/` and runs with `make scenarios`; a test stands in `tests/`
and runs with `python -m tests tests.MODULE`. Both run with `make test`.
Scenarios marked *together* combine two faults, those marked *twice* bring the
same one again.
"""


class MissingTestError(Exception):
    """Raised when the page names a test that does not exist."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Subject:
    """A promise or a fault.

    Attributes:
      tag: Tag of its scenarios.
      text: What it says.
      tests: `module.function` of tests that show it.
    """

    tag: str
    text: str
    tests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A scenario of a feature file."""

    name: str
    tags: frozenset[str]


PROMISES = (
    Subject(
        tag="promise:no-step-back",
        text="No proxy ever moves back to an older configuration version.",
        tests=(
            "test_follower.test_nothing_older_than_the_join_is_installed",
            "test_follower.test_updates_that_do_not_fit_are_refused",
        ),
    ),
    Subject(
        tag="promise:references",
        text="No route in any proxy points at a service or backend server"
        " that the proxy does not have.",
        tests=(
            "test_state.test_removing_a_needed_service_is_rejected",
            "test_state.test_servers_leave_with_their_node",
            "test_service_files.test_reference_to_an_absent_service_is_located",
            (
                "test_table"
                ".test_candidates_leave_out_draining_and_ownerless_servers"
            ),
        ),
    ),
    Subject(
        tag="promise:whole",
        text="A bad version is never applied in part.",
        tests=(
            "test_state.test_delta_on_another_base_is_refused",
            "test_service_files.test_any_text_is_read_or_refused",
            "test_cli.test_five_mistakes_are_five_located_lines",
        ),
    ),
    Subject(
        tag="promise:own-answer",
        text="Every caller gets the whole answer to its own request, even"
        " when answers arrive late or crossed.",
        tests=(
            "test_http_client.test_trailing_answer_reaches_no_other_request",
            "test_http_client.test_late_answer_closes_its_connection",
            "test_http_client.test_broken_answers_are_no_answers",
            "test_server.test_ambiguous_framing_is_refused",
        ),
    ),
    Subject(
        tag="promise:not-run",
        text="When a caller is told its request did not run, it did not run.",
        tests=(
            "test_call.test_refusals_everywhere_prove_that_it_did_not_run",
            "test_call.test_one_unproven_attempt_makes_the_outcome_unknown",
            (
                "test_http_client"
                ".test_refused_connection_proves_that_nothing_was_sent"
            ),
            (
                "test_node_program"
                ".test_broken_backend_answers_have_an_unknown_outcome"
            ),
        ),
    ),
    Subject(
        tag="promise:at-most-once",
        text="A non-idempotent request runs at most once.",
        tests=(
            (
                "test_call"
                ".test_non_idempotent_request_is_never_sent_after_hand_over"
            ),
            "test_claims.test_no_key_runs_twice_under_random_schedules",
            "test_server.test_upload_cut_halfway_never_starts",
        ),
    ),
    Subject(
        tag="promise:leaving",
        text="A backend server that is leaving receives no new work after a"
        " few seconds.",
        tests=(
            "test_admission.test_drain_refuses_new_work_and_reports_once_empty",
            "test_balancer.test_draining_server_is_never_picked",
        ),
    ),
    Subject(
        tag="promise:graceful",
        text="A planned stop cuts no request in progress.",
        tests=(
            "test_node_program.test_shut_down_finishes_what_runs",
            "test_node_program.test_configuration_changes_cut_nothing",
            "test_server.test_stop_answers_what_it_holds",
        ),
    ),
    Subject(
        tag="promise:in-force",
        text="An accepted configuration is in force on every proxy within"
        " seconds and never reverts.",
        tests=(
            "test_replica.test_leader_loss_elects_another",
            "test_program.test_publish_survives_a_restart_of_all",
            "test_follower.test_a_node_joins_through_any_replica_and_follows",
        ),
    ),
)

FAULTS = (
    Subject(
        tag="fault:processes",
        text="Processes and backend servers die.",
        tests=(
            "test_tutorial.test_tutorial_works_as_written",
            "test_node_program.test_dead_backend_is_proof_that_nothing_ran",
            "test_claims.test_dead_entry_leaves_the_outcome_unknown_for_good",
        ),
    ),
    Subject(
        tag="fault:herd",
        text="The system's own processes die in herds.",
        tests=("test_follower.test_a_herd_of_joins_costs_few_versions",),
    ),
    Subject(
        tag="fault:storm",
        text="They reconnect all at once in storms.",
        tests=("test_follower.test_a_herd_of_joins_costs_few_versions",),
    ),
    Subject(
        tag="fault:outage",
        text="The publishing source has outages.",
        tests=(
            "test_program.test_publish_survives_a_restart_of_all",
            "test_operator_client.test_silence_is_no_refusal",
        ),
    ),
    Subject(
        tag="fault:crossing",
        text="Updates and answers cross each other in flight.",
        tests=(
            "test_follower.test_updates_that_do_not_fit_are_refused",
            "test_operator_client.test_crossed_answer_is_passed_over",
            "test_call.test_late_end_of_an_attempt_changes_nothing",
        ),
    ),
    Subject(
        tag="fault:partition",
        text="A control VM is silently cut off for a long time while still"
        " believing that it is current.",
        tests=(
            "test_replica.test_minority_leader_steps_down",
            (
                "test_operator_client"
                ".test_stale_status_never_shows_a_version_in_force"
            ),
            (
                "test_claims"
                ".test_without_a_majority_nothing_runs_or_is_called_not_run"
            ),
        ),
    ),
    Subject(
        tag="fault:race",
        text="Operators race one another with equal version numbers.",
        tests=(
            "test_state.test_equal_base_lets_one_publish_win",
            "test_cli.test_conflict_names_the_winner",
        ),
    ),
    Subject(
        tag="fault:resend",
        text="Operators and callers resend after losing an answer.",
        tests=(
            "test_state.test_resent_publish_gets_the_first_answer",
            "test_cli.test_unanswered_publish_is_reported_as_unknown",
            (
                "test_claims"
                ".test_resend_through_another_entry_gets_the_stored_answer"
            ),
        ),
    ),
    Subject(
        tag="fault:second-loss",
        text="A second VM is lost right after the first was repaired.",
        tests=(
            "test_claims.test_claims_survive_the_handover_to_other_holders",
        ),
    ),
    Subject(
        tag="fault:late-return",
        text="Processes restart only after hundreds of changes have passed"
        " them by.",
        tests=("test_state.test_delta_reproduces_the_target",),
    ),
    Subject(
        tag="fault:poison",
        text="A request crashes each backend server that runs it, and its"
        " caller sends it again.",
        tests=(
            (
                "test_quarantine"
                ".test_poison_resent_through_one_entry_kills_two_servers"
            ),
            (
                "test_quarantine.test_poison_resent_through_all_entries_is_"
                "bounded_by_the_spread"
            ),
        ),
    ),
)


def render_page() -> str:
    """Returns the text of docs/promises.md.

    Raises:
      MissingTestError: A named test does not exist.
    """
    scenarios = list_scenarios()
    parts = [_INTRO]
    for title, subjects in (("Promises", PROMISES), ("Faults", FAULTS)):
        parts.append(f"## {title}\n")
        parts += [_render_subject(subject, scenarios) for subject in subjects]
    return "\n".join(parts)


def list_scenarios() -> tuple[Scenario, ...]:
    """Returns every scenario of features/."""
    found: list[Scenario] = []
    for path in sorted((ROOT / "features").glob("*.feature")):
        text = path.read_text(encoding="utf-8")
        for match in _SCENARIO.finditer(text):
            tags = frozenset(t.strip("@") for t in match["tags"].split())
            found.append(Scenario(name=match["name"], tags=tags))
    return tuple(found)


def _render_subject(subject: Subject, scenarios: tuple[Scenario, ...]) -> str:
    lines = [f"### {subject.text}", "", f"Tag `@{subject.tag}`.", ""]
    for scenario in scenarios:
        if subject.tag in scenario.tags:
            marks = [m for m in ("together", "twice") if m in scenario.tags]
            note = f" (*{', '.join(marks)}*)" if marks else ""
            lines.append(f"- scenario: {scenario.name}{note}")
    for name in subject.tests:
        _check_exists(name)
        lines.append(f"- test: `tests.{name}`")
    return "\n".join([*lines, ""])


def _check_exists(name: str) -> None:
    module, _, function = name.partition(".")
    path = ROOT / "tests" / f"{module}.py"
    tree = ast.parse(path.read_text(encoding="utf-8"))
    names = {n.name for n in tree.body if isinstance(n, ast.FunctionDef)}
    if function not in names:
        raise MissingTestError(name)


def main() -> int:
    """Writes the page; returns the exit status."""
    PAGE.write_text(render_page(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
