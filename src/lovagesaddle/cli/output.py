"""Formats and prints results: JSON for programs, lines for people."""

from collections.abc import Iterable, Sequence
import sys
from typing import Any

import msgspec
import typer

from lovagesaddle.cli import client
from lovagesaddle.cli import cluster_requests
from lovagesaddle.core import errors
from lovagesaddle.core.configuration import comparison
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import explanation

JSON_INDENT = 2
STALE_WARNING_S = 2.0
_MAX_LISTED = 10


def print_json(value: Any) -> None:
    """Writes a dataclass or a sequence of them to standard output as JSON."""
    data = msgspec.json.format(msgspec.json.encode(value), indent=JSON_INDENT)
    typer.echo(data.decode())


def print_note(text: str) -> None:
    """Writes progress, a warning or a cause to standard error."""
    typer.echo(text, err=True)
    sys.stderr.flush()


def print_problems(problems: Sequence[errors.FileProblem]) -> None:
    """Writes mistakes with their locations to standard output, one per line.

    Their number goes to standard error.
    """
    for problem in problems:
        typer.echo(problem.format())
    noun = "mistake" if len(problems) == 1 else "mistakes"
    print_note(f"{len(problems)} {noun}; nothing was applied")


def describe_no_answer(failure: client.NoAnswer) -> str:
    """Returns the replicas that were tried and why each attempt failed."""
    lines = [f"no answer to {failure.step} within {failure.waited_s:g} s:"]
    lines += [f"  {a.replica_id}: {a.cause}" for a in failure.attempts]
    return "\n".join(lines)


def warn_if_stale(stale_s: float) -> None:
    """Warns of an answer from a replica without recent leader contact."""
    if stale_s >= STALE_WARNING_S:
        print_note(
            f"warning: the answering replica heard from no leader for"
            f" {stale_s:.1f} s; this may be out of date"
        )


def describe_status(status: operator_messages.StatusAnswer) -> str:
    """Returns the status of the cluster, one value per line."""
    leader = f"{status.leader_id or 'none'} (term {status.term})"
    in_force, lagging = "unknown, no leader answered", "unknown"
    if status.leader_id == status.replica_id:
        in_force = f"{status.in_force_version} ({status.node_count} nodes)"
        lagging = join_names(status.lagging)
    source = f"{status.replica_id}, leader heard {status.stale_s:.1f} s ago"
    lines = [
        f"leader               {leader}",
        f"version              {status.version}",
        f"last publication     {status.publication_version}",
        f"in force everywhere  {in_force}",
        f"lagging              {lagging}",
        f"answered by          {source}",
    ]
    lines += [
        f"replica {replica.replica_id:<12} {replica.role:<9}"
        f" {replica.address} holds {replica.matched_version}"
        for replica in status.replicas
    ]
    return "\n".join(lines)


def describe_history(
    publications: Iterable[operator_messages.Publication],
) -> str:
    """Returns one line per publication."""
    lines = [
        f"{found.version:>8}  base {found.base_version:<8}"
        f" by {found.operator}  id {found.publish_id}"
        f"  {' '.join(found.revisions)}"
        for found in publications
    ]
    return "\n".join(lines) or "nothing has been published"


def describe_change(change: comparison.Change) -> str:
    """Returns one line for a difference."""
    match change.kind:
        case comparison.ChangeKind.ADDED:
            return f"+ {change.place}"
        case comparison.ChangeKind.REMOVED:
            return f"- {change.place}"
        case comparison.ChangeKind.CHANGED:
            return f"~ {change.place}: {change.before} -> {change.after}"


def describe_result(found: commands.PublishResult) -> str:
    """Returns the outcome of a publish as text."""
    match found.outcome:
        case commands.PublishOutcome.ACCEPTED:
            return f"accepted as version {found.version}"
        case commands.PublishOutcome.CONFLICT:
            summary = "conflict: " + "; ".join(found.causes)
            if not found.winner_id:
                return summary
            return (
                f"{summary}, published by {found.winner_operator}"
                f" (id {found.winner_id}). Nothing was changed: review"
                f' "lovagesaddle diff {found.version}" and publish again.'
            )
        case commands.PublishOutcome.REJECTED:
            return "rejected: " + "; ".join(found.causes)


def describe_progress(progress: cluster_requests.Progress) -> str:
    """Returns how far a version has been distributed, as text."""
    if progress.in_force:
        return (
            f"version {progress.version} is in force on all"
            f" {progress.node_count} nodes"
        )
    if not progress.node_count:
        return f"version {progress.version}: no node has reported yet"
    return (
        f"version {progress.version}: every node holds"
        f" {progress.in_force_version}; waiting for"
        f" {join_names(progress.lagging)}"
    )


def describe_explanation(found: explanation.Explanation) -> str:
    """Returns how a request would be handled and why, as lines."""
    lines = [
        f"{found.method} {found.host}{found.path} at version {found.version}"
    ]
    if found.status:
        allow = f", allowed: {' '.join(found.allow)}" if found.allow else ""
        cause = f"{found.reason}{allow}"
        lines.append(f"refused with {found.status}, not run: {cause}")
    else:
        lines.append(f"admitted for {found.client} ({found.reason})")
    if found.route is not None:
        lines += _describe_route(found.service, found.route)
        lines += [
            f"server {server.server_id} in {server.failure_domain},"
            f" {server.slots} slots, through {server.http_address}"
            for server in found.servers
        ]
        if not found.servers:
            lines.append("no backend server takes new work")
        if found.draining:
            lines.append(f"draining {join_names(found.draining)}")
    return "\n".join(lines)


def _describe_route(service: str, route: services.Route) -> list[str]:
    methods = " ".join(route.methods) or "any method"
    rank = services.format_priority(route.priority)
    shares = ", ".join(f"{part.service}:{part.weight}" for part in route.split)
    repeat = "idempotent" if route.idempotent else "not idempotent"
    limits = (
        f"timeout {route.timeout_s:g} s, {route.retries} retries,"
        f" body up to {route.max_body_bytes} bytes"
    )
    return [
        f"service {service}, route {route.name}",
        f"matches {methods} {route.host}{route.path_prefix}",
        f"{repeat}, {rank}, {limits}",
        f"callers {'any' if route.is_open else join_names(route.callers)}",
        f"services {join_names(route.services)}",
        *([f"split {shares}"] if shares else []),
    ]


def join_names(names: Sequence[str]) -> str:
    """Returns the first names and the number of the remaining ones."""
    if not names:
        return "none"
    shown = ", ".join(names[:_MAX_LISTED])
    more = len(names) - _MAX_LISTED
    return f"{shown} and {more} more" if more > 0 else shown
