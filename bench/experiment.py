"""Runs an experiment file: `python -m bench.experiment FILE`.

An experiment file is INI. `[experiment]` states its name, kind, seeds and the
parameters that all variants share; each `[variant NAME]` overrides some of
them. Every variant runs with every seed. The variants are interleaved, so that
a noisy minute of the machine affects all of them alike.
"""

import argparse
import configparser
import dataclasses
import pathlib
import sys

from bench import kinds
from bench import results

EXPERIMENT_SECTION = "experiment"
VARIANT_PREFIX = "variant "
EXPERIMENT_KEYS = frozenset({"name", "kind", "seeds"})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Variant:
    """A set of parameters.

    Attributes:
      name: Name of its column in the table.
      parameters: Sorted (key, value) pairs, as the file states them.
    """

    name: str
    parameters: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Experiment:
    """A validated experiment file.

    Attributes:
      name: Name of the results file.
      kind: Kind of measurement, a key of `bench.kinds.KINDS`.
      seeds: Seeds; every variant runs once with each.
      variants: Variants to run, at least one.
    """

    name: str
    kind: str
    seeds: tuple[int, ...]
    variants: tuple[Variant, ...]


class ExperimentError(ValueError):
    """Raised for an invalid experiment file; states file and section."""


def load_experiment(path: pathlib.Path) -> Experiment:
    """Loads and validates an experiment file.

    Raises:
      ExperimentError: The file can't be read or is invalid.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), str(path))
        return _parse_experiment(parser)
    except (OSError, KeyError, ValueError, configparser.Error) as error:
        raise ExperimentError(f"{path}: {error}") from error


def run_experiment(experiment: Experiment) -> tuple[results.Sample, ...]:
    """Runs every variant with every seed; returns a sample for each run."""
    kind = kinds.KINDS[experiment.kind]
    samples: list[results.Sample] = []
    for seed in experiment.seeds:
        for variant in experiment.variants:
            print(f"running variant={variant.name} seed={seed}", flush=True)
            figures = kind.run(dict(variant.parameters), seed)
            samples.append(
                results.Sample(
                    experiment=experiment.name,
                    variant=variant.name,
                    seed=seed,
                    figures=figures,
                )
            )
    return tuple(samples)


def main(arguments: list[str] | None = None) -> int:
    """Runs one experiment file.

    Returns:
      0, 1 if a bound is exceeded, or 2 if the file is invalid.
    """
    parser = argparse.ArgumentParser(prog="bench.experiment")
    parser.add_argument("file", type=pathlib.Path)
    parser.add_argument("--baseline", type=pathlib.Path)
    options = parser.parse_args(arguments)
    try:
        experiment = load_experiment(options.file)
    except ExperimentError as error:
        print(error, file=sys.stderr)
        return 2
    path = results.RESULTS_FOLDER / f"{experiment.name}.jsonl"
    baseline_path = options.baseline or path
    baseline = (
        results.read_samples(baseline_path) if baseline_path.exists() else ()
    )
    samples = run_experiment(experiment)
    results.write_samples(path, samples)
    _print_report(samples, baseline, path, baseline_path)
    return 1 if results.list_breaches(samples) else 0


def _print_report(
    samples: tuple[results.Sample, ...],
    baseline: tuple[results.Sample, ...],
    path: pathlib.Path,
    baseline_path: pathlib.Path,
) -> None:
    print(results.format_table(samples))
    print(f"results: {path}")
    if baseline:
        print(f"against {baseline_path} as it was before this run:")
        print(results.compare(baseline, samples))
    else:
        print(f"no baseline at {baseline_path}; the next run compares with it")
    for breach in results.list_breaches(samples):
        print(f"breach: {breach}")


def _parse_experiment(parser: configparser.ConfigParser) -> Experiment:
    head = parser[EXPERIMENT_SECTION]
    kind = head["kind"]
    if kind not in kinds.KINDS:
        known = ", ".join(sorted(kinds.KINDS))
        raise ValueError(f'[experiment] kind "{kind}" is not one of {known}')
    shared = {key: head[key] for key in head if key not in EXPERIMENT_KEYS}
    variants = tuple(
        _parse_variant(parser, section, kind, shared)
        for section in parser.sections()
        if section != EXPERIMENT_SECTION
    )
    if not variants:
        raise ValueError("there is no [variant NAME] section")
    seeds = tuple(int(part) for part in head.get("seeds", "1").split(","))
    return Experiment(
        name=head["name"], kind=kind, seeds=seeds, variants=variants
    )


def _parse_variant(
    parser: configparser.ConfigParser,
    section: str,
    kind: str,
    shared: dict[str, str],
) -> Variant:
    if not section.startswith(VARIANT_PREFIX):
        raise ValueError(f"section [{section}] is unknown")
    merged = shared | dict(parser[section])
    unknown = sorted(set(merged) - kinds.KINDS[kind].parameters)
    if unknown:
        raise ValueError(f'[{section}] key "{unknown[0]}" is unknown')
    kinds.KINDS[kind].check(merged)
    return Variant(
        name=section.removeprefix(VARIANT_PREFIX),
        parameters=tuple(sorted(merged.items())),
    )


if __name__ == "__main__":
    sys.exit(main())
