"""Writes docs/promises.md: `python -m tools.promises`.

The page lists, for every promise and fault, the scenarios with its tag and the
tests that check it. The page is committed; a test compares it with what this
module renders.
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
stands in `features/` and runs with `make scenarios`, a test in `tests/`; both
run with `make test`.
Scenarios marked *together* combine two faults, those marked *twice* bring the
same one again.
"""


class MissingTestError(Exception):
    """Raised when the page names a test that does not exist."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Subject:
    """A promise that the system keeps or a fault that it tolerates.

    Attributes:
      tag: Tag of its scenarios.
      text: Statement of the promise or fault.
      tests: Names of the test functions that check it.
      limits: What the tests don't cover; empty if nothing is known.
    """

    tag: str
    text: str
    tests: tuple[str, ...]
    limits: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A scenario of a feature file, with its tags without the "@"."""

    name: str
    tags: frozenset[str]


PROMISES = (
    Subject(
        tag="promise:no-step-back",
        text="No proxy ever moves back to an older configuration version.",
        tests=(
            "test_nothing_older_than_the_join_is_installed",
            "test_updates_that_do_not_fit_are_refused",
        ),
    ),
    Subject(
        tag="promise:references",
        text="No route in any proxy points at a service or backend server"
        " that the proxy does not have.",
        tests=(
            "test_removing_a_needed_service_is_rejected",
            "test_servers_leave_with_their_node",
            "test_reference_to_an_absent_service_is_located",
            "test_candidates_leave_out_draining_and_ownerless_servers",
        ),
    ),
    Subject(
        tag="promise:whole",
        text="A bad version is never applied in part.",
        tests=(
            "test_delta_on_another_base_is_refused",
            "test_any_text_is_read_or_refused",
            "test_five_mistakes_are_five_located_lines",
        ),
    ),
    Subject(
        tag="promise:own-answer",
        text="Every caller gets the whole answer to its own request, even"
        " when answers arrive late or crossed.",
        tests=(
            "test_trailing_answer_reaches_no_other_request",
            "test_late_answer_closes_its_connection",
            "test_broken_answers_are_no_answers",
            "test_ambiguous_framing_is_refused",
        ),
    ),
    Subject(
        tag="promise:not-run",
        text="When a caller is told its request did not run, it did not run.",
        tests=(
            "test_refusals_everywhere_prove_that_it_did_not_run",
            "test_one_unproven_attempt_makes_the_outcome_unknown",
            "test_refused_connection_proves_that_nothing_was_sent",
            "test_broken_backend_answers_have_an_unknown_outcome",
        ),
    ),
    Subject(
        tag="promise:at-most-once",
        text="A non-idempotent request runs at most once.",
        tests=(
            "test_non_idempotent_request_is_never_sent_after_hand_over",
            "test_no_key_runs_twice_under_random_schedules",
            "test_upload_cut_halfway_never_starts",
        ),
    ),
    Subject(
        tag="promise:leaving",
        text="A backend server that is leaving receives no new work after a"
        " few seconds.",
        tests=(
            "test_drain_refuses_new_work_and_reports_once_empty",
            "test_draining_server_is_never_picked",
        ),
    ),
    Subject(
        tag="promise:graceful",
        text="A planned stop cuts no request in progress.",
        tests=(
            "test_shut_down_finishes_what_runs",
            "test_configuration_changes_cut_nothing",
            "test_stop_answers_what_it_holds",
        ),
    ),
    Subject(
        tag="promise:in-force",
        text="An accepted configuration is in force on every proxy within"
        " seconds and never reverts.",
        tests=(
            "test_leader_loss_elects_another",
            "test_publish_survives_a_restart_of_all",
            "test_a_node_joins_through_any_replica_and_follows",
            "test_parents_that_die_in_turn_delay_no_version",
            "test_refusal_by_an_unproved_table_is_not_final",
            "test_request_on_a_moved_route_runs_at_the_new_service",
        ),
    ),
)

FAULTS = (
    Subject(
        tag="fault:processes",
        text="Processes and backend servers die.",
        tests=(
            "test_tutorial_works_as_written",
            "test_dead_backend_is_proof_that_nothing_ran",
            "test_dead_entry_leaves_the_outcome_unknown_for_good",
        ),
    ),
    Subject(
        tag="fault:herd",
        text="The system's own processes die in herds.",
        tests=("test_a_herd_of_joins_costs_few_versions",),
    ),
    Subject(
        tag="fault:storm",
        text="They reconnect all at once in storms.",
        tests=("test_a_herd_of_joins_costs_few_versions",),
    ),
    Subject(
        tag="fault:outage",
        text="The publishing source has outages.",
        tests=(
            "test_publish_survives_a_restart_of_all",
            "test_silence_is_no_refusal",
        ),
    ),
    Subject(
        tag="fault:crossing",
        text="Updates and answers cross each other in flight.",
        tests=(
            "test_updates_that_do_not_fit_are_refused",
            "test_crossed_answer_is_passed_over",
            "test_late_end_of_an_attempt_changes_nothing",
        ),
    ),
    Subject(
        tag="fault:partition",
        text="A control VM is silently cut off for a long time while still"
        " believing that it is current.",
        tests=(
            "test_minority_leader_steps_down",
            "test_stale_status_never_shows_a_version_in_force",
            "test_without_a_majority_nothing_runs_or_is_called_not_run",
        ),
    ),
    Subject(
        tag="fault:race",
        text="Operators race one another with equal version numbers.",
        tests=(
            "test_equal_base_lets_one_publish_win",
            "test_conflict_names_the_winner",
        ),
    ),
    Subject(
        tag="fault:resend",
        text="Operators and callers resend after losing an answer.",
        tests=(
            "test_resent_publish_gets_the_first_answer",
            "test_unanswered_publish_is_reported_as_unknown",
            "test_resend_through_another_entry_gets_the_stored_answer",
        ),
    ),
    Subject(
        tag="fault:second-loss",
        text="A second VM is lost right after the first was repaired.",
        tests=("test_claims_survive_the_handover_to_other_holders",),
    ),
    Subject(
        tag="fault:late-return",
        text="Processes restart only after hundreds of changes have passed"
        " them by.",
        tests=("test_delta_reproduces_the_target",),
    ),
    Subject(
        tag="fault:poison",
        text="A request crashes each backend server that runs it, and its"
        " caller sends it again.",
        tests=(
            "test_poison_resent_through_one_entry_kills_two_servers",
            "test_poison_resent_through_all_entries_is_bounded_by_the_spread",
        ),
    ),
)


# Faults that operators of similar systems reported.
REPORTED = (
    Subject(
        tag="reported:late-answer",
        text="A late second answer reaches the next caller of a connection.",
        limits=(
            "Backend servers that don't repeat the request ID: there, only an"
            " answer that came before the next request was sent is told apart."
        ),
        tests=(
            "test_late_second_answer_is_passed_over",
            "test_late_failure_without_an_id_reaches_no_other_request",
            "test_trailing_answer_reaches_no_other_request",
            "test_late_answer_closes_its_connection",
            "test_answer_to_another_attempt_reaches_no_caller",
        ),
    ),
    Subject(
        tag="reported:cut-at-stop",
        text=(
            "A planned stop under load cuts off requests that had just been"
            " accepted."
        ),
        tests=(
            "test_request_that_arrived_during_a_pause_is_answered",
            "test_stop_answers_what_it_holds",
            "test_planned_stop_cuts_nothing",
            "test_planned_stop_of_a_node_cuts_nothing",
            "test_shut_down_finishes_what_runs",
            "test_request_on_an_open_connection_is_answered_before_the_end",
            "test_connection_that_is_being_set_up_is_counted",
        ),
    ),
    Subject(
        tag="reported:back-after-restart",
        text=(
            "After a restart of a process, a server that had left, or a"
            " withdrawn key, is in use again."
        ),
        tests=(
            "test_late_heartbeat_does_not_restore_a_leaving_server",
            "test_late_first_heartbeat_does_not_restore_a_leaving_server",
            "test_server_that_left_meanwhile_is_not_discovered",
            "test_acks_of_an_earlier_incarnation_renew_nothing",
            "test_join_older_than_a_restart_is_dropped",
            "test_nothing_older_than_the_join_is_installed",
            "test_a_restarted_node_does_not_go_back_to_a_stale_replica",
            "test_two_keys_are_valid_during_a_rotation",
            "test_restarted_owner_sends_nothing_to_a_server_known_to_leave",
            "test_server_that_leaves_stays_unused_after_restart_of_its_node",
        ),
    ),
    Subject(
        tag="reported:both-act",
        text="Around a hand-over, two processes act, and orders go out twice.",
        tests=(
            "test_resend_across_a_leader_crash_gets_the_same_version",
            "test_resend_after_the_leader_stopped_gets_the_same_version",
            "test_leader_that_was_cut_off_never_answers_a_read",
            "test_minority_leader_steps_down",
            "test_claim_of_the_old_epoch_is_refused_during_a_handover",
            "test_of_two_processes_with_one_name_the_later_one_stays",
            "test_schedules_of_faults_break_no_promise",
        ),
    ),
    Subject(
        tag="reported:lapsed-permission",
        text="A process that was paused acts on a permission that ran out.",
        limits=(
            "Deadlines of requests on a VM whose steady clock stands still"
            " while it is suspended; ages, leases and elections count on."
        ),
        tests=(
            "test_request_is_not_sent_after_its_deadline",
            "test_votes_that_a_paused_process_counts_late_decide_nothing",
            "test_claim_granted_too_late_does_not_run",
            "test_request_whose_caller_left_in_the_queue_does_not_run",
            "test_failed_connect_to_an_ended_server_leaves_its_successor_up",
            "test_messages_that_waited_at_a_paused_replica_prove_no_age",
            "test_statement_that_waited_dates_from_its_question",
            "test_proof_runs_out_while_the_vm_is_suspended",
        ),
    ),
    Subject(
        tag="reported:one-bad-message",
        text="A malformed message or unexpected error ends a whole process.",
        limits=(
            "An unexpected error in a replica's consensus or distribution ends"
            " the replica."
        ),
        tests=(
            "test_unexpected_error_leaves_every_deadline_in_force",
            "test_unexpected_error_does_not_end_the_calls",
            "test_unexpected_error_does_not_end_the_thread",
            "test_malformed_load_does_not_end_the_discovery",
            "test_absurd_messages_of_nodes_end_no_replica",
            "test_absurd_messages_of_operators_end_no_replica",
            "test_damaged_frames_end_no_replica",
            "test_edit_that_does_not_fit_is_not_put_into_the_log",
            "test_version_that_fails_to_install_is_asked_for_again",
            "test_answers_to_rounds_that_were_never_started_end_no_leader",
        ),
    ),
    Subject(
        tag="reported:invalid-entry",
        text=(
            "One invalid entry among those of the backend servers ends the"
            " processes that read the list, or they stop following it."
        ),
        tests=(
            "test_invalid_heartbeat_is_refused",
            "test_invalid_deregistration_is_refused",
            "test_invalid_announcement_is_answered_400",
            "test_invalid_document_is_refused",
            "test_invalid_entry_of_a_node_does_not_reach_the_log",
            "test_invalid_report_of_servers_does_not_reach_the_log",
            "test_invalid_entry_of_the_list_is_passed_over",
            "test_address_that_no_socket_takes_is_no_connection",
        ),
    ),
    Subject(
        tag="reported:repeated-refusal",
        text=(
            "A server repeats an earlier refusal on a kept connection, and a"
            " request that runs is said not to, or runs a second time."
        ),
        limits="Backend servers that don't repeat the request ID.",
        tests=("test_refusal_that_is_repeated_refuses_no_other_request",),
    ),
    Subject(
        tag="reported:endless-body",
        text=(
            "A backend server sends bytes without end, the process keeps them"
            " and runs out of memory, and the requests of others there end."
        ),
        tests=(
            "test_bodies_without_end_keep_a_node_within_its_memory",
            "test_answer_counts_until_its_caller_has_it",
            "test_answers_that_grow_on_leave_room_for_others",
            "test_line_without_an_end_is_given_up",
        ),
    ),
    Subject(
        tag="reported:cut-head",
        text=(
            "A server stops within the head of its answer, and the caller gets"
            " a success with an empty or short body."
        ),
        tests=("test_head_that_ends_early_is_no_answer",),
    ),
)


def render_page() -> str:
    """Returns the text of docs/promises.md.

    Raises:
      MissingTestError: A named test does not exist.
    """
    scenarios = list_scenarios()
    tests = list_tests()
    parts = [_INTRO]
    for title, subjects in (
        ("Promises", PROMISES),
        ("Faults", FAULTS),
        ("Faults that operators of similar systems reported", REPORTED),
    ):
        parts.append(f"## {title}\n")
        parts += [
            _render_subject(subject, scenarios, tests) for subject in subjects
        ]
    return "\n".join(parts)


def list_scenarios() -> tuple[Scenario, ...]:
    """Returns every scenario of features/ that has a tag."""
    found: list[Scenario] = []
    for path in sorted((ROOT / "features").glob("*.feature")):
        text = path.read_text(encoding="utf-8")
        for match in _SCENARIO.finditer(text):
            tags = frozenset(t.strip("@") for t in match["tags"].split())
            found.append(Scenario(name=match["name"], tags=tags))
    return tuple(found)


def _render_subject(
    subject: Subject, scenarios: tuple[Scenario, ...], tests: frozenset[str]
) -> str:
    lines = [f"### {subject.text}", "", f"Tag `@{subject.tag}`.", ""]
    for scenario in scenarios:
        if subject.tag in scenario.tags:
            marks = [m for m in ("together", "twice") if m in scenario.tags]
            note = f" (*{', '.join(marks)}*)" if marks else ""
            lines.append(f"- scenario: {scenario.name}{note}")
    for name in subject.tests:
        if name not in tests:
            raise MissingTestError(f"test {name} does not exist in tests/")
        lines.append(f"- test: `{name}`")
    if subject.limits:
        lines += ["", f"Not covered: {subject.limits}"]
    return "\n".join([*lines, ""])


def list_tests() -> frozenset[str]:
    """Returns the name of every module-level function in test modules."""
    found: set[str] = set()
    for path in (ROOT / "tests").glob("test_*.py"):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        functions = (n for n in tree.body if isinstance(n, ast.FunctionDef))
        found.update(function.name for function in functions)
    return frozenset(found)


def main() -> int:
    """Writes the page and returns the exit status."""
    PAGE.write_text(render_page(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
