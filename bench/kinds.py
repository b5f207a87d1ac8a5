"""Kinds of experiments that experiment files can name."""

import abc
from collections.abc import Mapping

from bench import calls
from bench import policies
from bench import results
from bench import scenarios
from bench import workloads

DEFAULT_SECONDS = 8.0
DEFAULT_THREADS = 100
WORKLOADS = {
    "bentancor": workloads.make_bentancor,
    "bajio": workloads.make_bajio,
}
SCENARIOS: dict[str, type[scenarios.Scenario]] = {
    kind.name: kind
    for kind in (
        scenarios.Quiet,
        scenarios.SlowServer,
        scenarios.DeadServer,
        scenarios.LostDomain,
        scenarios.ChangingConfiguration,
        scenarios.PlannedStop,
        scenarios.CrashingRequest,
    )
}


class Kind(abc.ABC):
    """A kind of measurement.

    Attributes:
      parameters: Keys that the variants of an experiment may set.
    """

    parameters: frozenset[str]

    @abc.abstractmethod
    def check(self, parameters: Mapping[str, str]) -> None:
        """Validates the parameters of a variant.

        Raises:
          ValueError: A parameter is missing or wrong.
        """

    @abc.abstractmethod
    def run(
        self, parameters: Mapping[str, str], seed: int
    ) -> tuple[results.Figure, ...]:
        """Runs one variant with one seed; returns its figures."""


class Calls(Kind):
    """Measures open-loop calls through a mesh of real processes."""

    parameters = frozenset(
        {
            "workload",
            "run-ms",
            "timeout-s",
            "scenario",
            "policy",
            "rate",
            "threads",
            "seconds",
        }
    )

    def check(self, parameters: Mapping[str, str]) -> None:
        """See base class."""
        self._make_experiment(parameters)

    def run(
        self, parameters: Mapping[str, str], seed: int
    ) -> tuple[results.Figure, ...]:
        """See base class."""
        experiment = self._make_experiment(parameters)
        sample = calls.measure(
            experiment,
            experiment.policies[0],
            float(parameters.get("seconds", DEFAULT_SECONDS)),
            seed,
        )
        return sample.figures

    def _make_experiment(
        self, parameters: Mapping[str, str]
    ) -> calls.Experiment:
        make_workload = WORKLOADS[
            _parse_choice(parameters, "workload", "bentancor", WORKLOADS)
        ]
        scenario = _parse_choice(parameters, "scenario", "quiet", SCENARIOS)
        policy = _parse_choice(
            parameters, "policy", policies.CHOSEN, policies.POLICIES
        )
        return calls.Experiment(
            name=scenario,
            workload=make_workload(
                run_ms=float(parameters.get("run-ms", "10")),
                timeout_s=float(parameters.get("timeout-s", "2")),
            ),
            scenario=SCENARIOS[scenario](),
            policies=(policy,),
            rate=float(parameters.get("rate", "100")),
            threads=int(parameters.get("threads", DEFAULT_THREADS)),
        )


KINDS: dict[str, Kind] = {"calls": Calls()}


def _parse_choice(
    parameters: Mapping[str, str],
    key: str,
    default: str,
    known: Mapping[str, object],
) -> str:
    value = parameters.get(key, default)
    if value not in known:
        names = ", ".join(sorted(known))
        raise ValueError(f'{key} "{value}" is not one of {names}')
    return value
