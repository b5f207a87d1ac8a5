"""Compares the answers of a new version with those of the one in use.

Load: two versions that answer requests of the same routes at the same time,
while servers of either are slow, faulty or overloaded by themselves. Failures
and slow answers of the new version count only as far as the version in use has
fewer of them, and only if most of the new servers have them.

The test is the Chernoff bound of a binomial count, which holds for few samples
too: if the new version is as good as the bound on the version in use, a result
as bad as the observed one has at most the probability `exp(-evidence)`. A
roll-out of 16 s looks 40 times at up to 13 routes, two spans and 5 measures, so
that the error of all looks together is at most 5,200 * exp(-14) = 0.005.
"""

from collections.abc import Iterable, Mapping, Sequence
import dataclasses
import enum
import math

from lovagesaddle.core.rollouts import evidence

# Evidence at which a version counts as bad; see above.
BAD_EVIDENCE = 14.0
# Evidence at which the share of a version is not raised: 1 in 90. It is raised
# later if more answers disperse the doubt.
DOUBT_EVIDENCE = 4.5
# Fewer bad answers than these show nothing.
MIN_BAD_ANSWERS = 5
# Fewer answers of the version in use on one route are no standard; those on all
# routes count then.
MIN_STANDARD = 20
# A new version may be this much worse than the one in use: servers of one
# service differ, and caches of new ones are empty.
RATE_FACTOR = 1.5
FAILURE_MARGIN = 0.02
SLOWNESS_MARGIN = 0.05
# Classes above the median of the version in use from which an answer counts as
# slow: 2.4 times, and up to 9 times.
SLOW_CLASSES = range(4, 11, 2)
# The new servers are compared with the worst ones in use but this share: the
# few that are tried may all be of the slow kind. Owners with fewer answers tell
# too little, and fewer owners are no standard.
WORST_SHARE = 0.2
MIN_OWNER_ANSWERS = 12
MIN_OWNERS = 5
# The worst servers, by this share, are left out.
TRIM_DIVISOR = 3


class Verdict(enum.Enum):
    """How a new version compares."""

    GOOD = "good"
    DOUBTFUL = "doubtful"
    BAD = "bad"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """The measure by which the new version compares worst.

    Attributes:
      verdict: How it compares.
      measure: "failures" or "slowness"; empty if nothing is worse.
      route: Route on which it is worst; empty for all routes together.
      answered: Answers of the new version that were judged.
      bad: Failures or slow answers among them.
      standard: Share that was allowed, from the version in use.
      evidence: Negative logarithm of the bound on the probability.
    """

    verdict: Verdict
    measure: str = ""
    route: str = ""
    answered: int = 0
    bad: int = 0
    standard: float = 0.0
    evidence: float = 0.0


Tallies = Mapping[str, evidence.Tally]


def compare(old: Iterable[Tallies], new: Sequence[Tallies]) -> Finding:
    """Returns by how much a new version is worse, on its worst route.

    Args:
      old: Answers by route of each owner of the version in use.
      new: Answers by route of each owner of the new version.
    """
    by_owner = [_add_total(tallies) for tallies in old]
    by_server = [_add_total(tallies) for tallies in new]
    all_old = [each[""] for each in by_owner]
    findings = [Finding(verdict=Verdict.GOOD)]
    for route in sorted({name for each in by_server for name in each}):
        tried = [each[route] for each in by_server if route in each]
        in_use = [each[route] for each in by_owner if route in each]
        if sum(tally.answered for tally in in_use) < MIN_STANDARD:
            in_use = all_old
        findings.extend(_compare_route(route, in_use, tried))
    return max(findings, key=lambda finding: finding.evidence)


def _compare_route(
    route: str,
    in_use: Sequence[evidence.Tally],
    tried: Sequence[evidence.Tally],
) -> Iterable[Finding]:
    yield _judge(
        route,
        "failures",
        [(tally.failed, tally.answered) for tally in tried],
        _find_rate(
            [(tally.failed, tally.answered) for tally in in_use],
            FAILURE_MARGIN,
        ),
    )
    total = evidence.Tally()
    for tally in in_use:
        total.merge(tally)
    if total.answered < MIN_STANDARD:
        return
    median = total.find_median()
    tried_above = [tally.accumulate() for tally in tried]
    in_use_above = [tally.accumulate() for tally in in_use]
    for distance in SLOW_CLASSES:
        number = min(median + distance, evidence.CLASS_COUNT - 1)
        yield _judge(
            route,
            "slowness",
            [(above[number], above[0]) for above in tried_above],
            _find_rate(
                [(above[number], above[0]) for above in in_use_above],
                SLOWNESS_MARGIN,
            ),
        )


def _find_rate(counts: list[tuple[int, int]], margin: float) -> float:
    """Returns the share of bad answers that a good version may have.

    Args:
      counts: Bad and all answers of each owner of the version in use.
      margin: Share that is allowed beyond theirs.
    """
    bad = sum(each[0] for each in counts)
    answered = sum(each[1] for each in counts)
    # One bad answer more than seen, as few answers may hide it.
    share = RATE_FACTOR * (bad + 1) / (answered + 2)
    shares = sorted(
        each[0] / each[1] for each in counts if each[1] >= MIN_OWNER_ANSWERS
    )
    if len(shares) >= MIN_OWNERS:
        share = max(share, shares[int((1 - WORST_SHARE) * len(shares))])
    return min(0.99, share + margin)


def _judge(
    route: str, measure: str, counts: list[tuple[int, int]], standard: float
) -> Finding:
    counts = [each for each in counts if each[1]]
    # With as many answers, the worse server is the one with more bad ones.
    counts.sort(key=lambda each: (each[0] + 1) / (each[1] + 2))
    kept = counts[: len(counts) - len(counts) // TRIM_DIVISOR]
    bad = sum(each[0] for each in kept)
    answered = sum(each[1] for each in kept)
    weight = _compute_evidence(bad, answered, standard)
    verdict = Verdict.GOOD
    if bad >= MIN_BAD_ANSWERS and weight >= DOUBT_EVIDENCE:
        verdict = Verdict.DOUBTFUL
        if weight >= BAD_EVIDENCE:
            verdict = Verdict.BAD
    return Finding(
        verdict=verdict,
        measure=measure,
        route=route,
        answered=answered,
        bad=bad,
        standard=standard,
        evidence=weight if bad >= MIN_BAD_ANSWERS else 0.0,
    )


def _compute_evidence(bad: int, answered: int, standard: float) -> float:
    """Returns the Chernoff bound as a negative logarithm; 0 if none."""
    if not answered:
        return 0.0
    share = bad / answered
    if share <= standard:
        return 0.0
    evidence_each = share * math.log(share / standard)
    if share < 1.0:
        evidence_each += (1 - share) * math.log((1 - share) / (1 - standard))
    return answered * evidence_each


def _add_total(tallies: Tallies) -> dict[str, evidence.Tally]:
    """Returns the tallies with that of all routes, under the empty name."""
    total = evidence.Tally()
    for tally in tallies.values():
        total.merge(tally)
    return {**tallies, "": total}
