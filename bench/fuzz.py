"""Runs seeded schedules of faults: `python -m bench.fuzz [--schedules N]`.

The product has to pass all of them. Then each rule is broken in turn, and at
least one schedule has to detect it.
"""

import argparse
from concurrent import futures
import dataclasses
import functools
import sys

from tests import replica_cluster

from bench import fuzz_mutants
from bench import fuzz_schedule
from lovagesaddle.core import errors

SCHEDULES = 2000
FIRST_SEED = 1
SEEDS_PER_TASK = 10
SEEDS_PER_ROUND = 100
UNBROKEN = "none"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The result of one schedule.

    Attributes:
      seed: Seed of the schedule.
      failure: Text of the first failure, or empty.
      is_breach: Whether the failure is a violated invariant; any other error
        does not count as the detection of a broken rule.
    """

    seed: int
    failure: str = ""
    is_breach: bool = False


def run_seed(seed: int, broken: str) -> Outcome:
    """Runs one schedule with one rule broken, or with none."""
    for mutant in fuzz_mutants.MUTANTS:
        if mutant.name == broken:
            with mutant.break_rule():
                return _run_schedule(seed, mutant.options)
    return _run_schedule(seed, fuzz_schedule.DEFAULTS)


def _run_schedule(seed: int, options: fuzz_schedule.Options) -> Outcome:
    try:
        fuzz_schedule.Schedule(seed, options).run()
    except (replica_cluster.InvariantError, errors.ConsensusError) as error:
        return Outcome(seed=seed, failure=str(error), is_breach=True)
    except Exception as error:
        return Outcome(seed=seed, failure=f"{type(error).__name__}: {error}")
    return Outcome(seed=seed)


def run_product(pool: futures.Executor, seeds: range) -> list[Outcome]:
    """Runs the unchanged product; returns the schedules that failed."""
    run = functools.partial(run_seed, broken=UNBROKEN)
    outcomes = pool.map(run, seeds, chunksize=SEEDS_PER_TASK)
    return [outcome for outcome in outcomes if outcome.failure]


def find_breach(
    pool: futures.Executor, seeds: range, broken: str
) -> Outcome | None:
    """Returns the first schedule that detects a broken rule, or None."""
    run = functools.partial(run_seed, broken=broken)
    for start in range(seeds.start, seeds.stop, SEEDS_PER_ROUND):
        part = range(start, min(start + SEEDS_PER_ROUND, seeds.stop))
        for outcome in pool.map(run, part, chunksize=SEEDS_PER_TASK):
            if outcome.is_breach:
                return outcome
    return None


def main() -> int:
    """Runs all; returns 0 if the product passes and each break is detected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--schedules", type=int, default=SCHEDULES)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--first", type=int, default=FIRST_SEED)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.schedules)
    with futures.ProcessPoolExecutor(options.workers) as pool:
        failed = run_product(pool, seeds)
        print(f"{len(seeds)} schedules, {len(failed)} failed")
        for outcome in failed:
            print(f"  seed {outcome.seed}: {outcome.failure}")
        has_passed = not failed
        for mutant in fuzz_mutants.MUTANTS:
            detected_by = find_breach(pool, seeds, mutant.name)
            has_passed = has_passed and detected_by is not None
            print(f"{mutant.name}: {_format_detection(detected_by)}")
    return 0 if has_passed else 1


def _format_detection(detected_by: Outcome | None) -> str:
    if detected_by is None:
        return "NOT FOUND"
    return f"seed {detected_by.seed}: {detected_by.failure}"


if __name__ == "__main__":
    sys.exit(main())
