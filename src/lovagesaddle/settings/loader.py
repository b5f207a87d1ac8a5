"""Loads settings files and reports all mistakes of a file at once."""

from collections.abc import Callable, Collection
import dataclasses
import pathlib
from typing import Any, TypeVar

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import ini
from lovagesaddle.core.configuration import sections
from lovagesaddle.settings import schema
from lovagesaddle.settings import seeds

T = TypeVar("T")

Problems = tuple[errors.FileProblem, ...]

_REPLICA = "replica"
_SHARED_FIELDS = ("replicas", "keys", "log")


def load_control(
    path: pathlib.Path, *, ignored_sections: Collection[str] = ()
) -> result.Result[schema.ControlSettings, Problems]:
    """Loads the settings of lovagesaddle-control.

    Mistakes in the file are returned as a Failure, all at once, not raised.

    Args:
      path: The settings file.
      ignored_sections: Names of sections that another loader reads.
    """
    return _load(
        path,
        schema.ControlSettings,
        "control",
        _check_founding_replicas,
        ignored_sections,
    )


def load_node(
    path: pathlib.Path, *, ignored_sections: Collection[str] = ()
) -> result.Result[schema.NodeSettings, Problems]:
    """Loads the settings of lovagesaddle-node.

    Mistakes in the file are returned as a Failure, all at once, not raised.

    Args:
      path: The settings file.
      ignored_sections: Names of sections that another loader reads.
    """
    return _load(
        path, schema.NodeSettings, "node", _skip_check, ignored_sections
    )


def load_operator(
    path: pathlib.Path,
) -> result.Result[schema.OperatorSettings, Problems]:
    """Loads the settings of the command line.

    Mistakes in the file are returned as a Failure, all at once, not raised.
    """
    return _load(path, schema.OperatorSettings, "operator", _skip_check)


def format_problems(problems: Problems) -> str:
    """Returns the problems as text, one per line."""
    return "\n".join(problem.format() for problem in problems)


def _load(
    path: pathlib.Path,
    kind: type[T],
    main: str,
    check: Callable[[ini.Section, T], Problems],
    ignored_sections: Collection[str] = (),
) -> result.Result[T, Problems]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure(
            (_make_file_problem(path, f"can't be read: {error}"),)
        )
    return _parse_and_check(
        text, str(path), kind, main, check, ignored_sections
    )


def _parse_and_check(
    text: str,
    file: str,
    kind: type[T],
    main: str,
    check: Callable[[ini.Section, T], Problems],
    ignored_sections: Collection[str],
) -> result.Result[T, Problems]:
    document = ini.parse_document(text, file=file)
    reader = _SectionReader(document, problems=list(document.problems))
    names = {field.name for field in dataclasses.fields(kind)}  # type: ignore[arg-type]
    shared: dict[str, Any] = {"replicas": reader.read_replicas()}
    shared["keys"] = reader.read_optional("keys", schema.KeySettings)
    if "log" in names:
        shared["log"] = reader.read_optional("log", schema.LogSettings)
    section = reader.read_required(main)
    reader.report_unknown(ignored_sections)
    value = None
    if section is not None:
        value = reader.collect(
            sections.convert_section(section, kind, preset=shared)
        )
        if value is not None:
            value = seeds.add_seeds(value)
            reader.problems.extend(check(section, value))
    if not shared["replicas"] and not _has_seeds(section):
        reader.problems.append(
            _make_problem(str(file), _REPLICA, "no [replica NAME] is given")
        )
    if reader.problems or value is None:
        ordered = sorted(reader.problems, key=lambda problem: problem.line)
        return result.Failure(tuple(ordered))
    return result.Success(value)


class _SectionReader:
    """Converts the sections of a document and collects their problems."""

    def __init__(
        self, document: ini.Document, *, problems: list[errors.FileProblem]
    ) -> None:
        self._file = document.file
        self._unread = list(document.sections)
        self.problems = problems

    def collect(self, converted: sections.Converted[T]) -> T | None:
        self.problems.extend(converted.problems)
        return converted.value

    def read_optional(self, kind: str, schema_class: type[T]) -> T:
        section = self._pop(kind)
        if section is None:
            return schema_class()
        converted = self.collect(
            sections.convert_section(section, schema_class)
        )
        if isinstance(converted, schema.KeySettings):
            self._check_keys(section, converted)
        return schema_class() if converted is None else converted

    def read_replicas(self) -> tuple[schema.ReplicaAddress, ...]:
        replicas: list[schema.ReplicaAddress] = []
        for section in [s for s in self._unread if s.kind == _REPLICA]:
            self._unread.remove(section)
            replica = self.collect(
                sections.convert_section(
                    section,
                    schema.ReplicaAddress,
                    preset={"replica_id": section.label},
                )
            )
            if not section.label:
                self.problems.append(
                    section.make_problem(
                        "", "section needs a name: [replica NAME]"
                    )
                )
            if replica is not None:
                replicas.append(replica)
        self._check_addresses(replicas)
        return tuple(replicas)

    def read_required(self, kind: str) -> ini.Section | None:
        section = self._pop(kind)
        if section is None:
            self.problems.append(
                _make_problem(self._file, kind, f"section [{kind}] is missing")
            )
        return section

    def report_unknown(self, ignored_sections: Collection[str]) -> None:
        self.problems.extend(
            section.make_problem("", "section is unknown")
            for section in self._unread
            if section.name not in ignored_sections
        )

    def _pop(self, kind: str) -> ini.Section | None:
        for section in self._unread:
            if section.name == kind:
                self._unread.remove(section)
                return section
        return None

    def _check_keys(
        self, section: ini.Section, keys: schema.KeySettings
    ) -> None:
        if bool(keys.secret_key_file) != bool(keys.allowed_keys_file):
            cause = (
                "secret-key-file and allowed-keys-file have to be set together"
            )
            self.problems.append(section.make_problem("secret-key-file", cause))

    def _check_addresses(self, replicas: list[schema.ReplicaAddress]) -> None:
        addresses = [replica.address for replica in replicas]
        for address in sorted({a for a in addresses if addresses.count(a) > 1}):
            self.problems.append(
                _make_problem(
                    self._file,
                    _REPLICA,
                    f"address {address} is given for several replicas",
                )
            )


def _has_seeds(section: ini.Section | None) -> bool:
    entry = None if section is None else section.find("seeds")
    return entry is not None and bool(entry.value.strip())


def _skip_check(section: ini.Section, settings: Any) -> Problems:
    del section, settings
    return ()


def _check_founding_replicas(
    section: ini.Section, settings: schema.ControlSettings
) -> Problems:
    own = [
        replica
        for replica in settings.replicas
        if replica.replica_id == settings.replica_id
    ]
    if not own:
        # This replica is not among the founding replicas, so there is no
        # address to compare. A replacement, for example, joins under a new ID.
        return ()
    if own[0].address != settings.address:
        cause = (
            f"differs from {own[0].address} in [replica {own[0].replica_id}]"
        )
        return (section.make_problem("address", cause),)
    return ()


def _make_file_problem(path: pathlib.Path, cause: str) -> errors.FileProblem:
    return _make_problem(str(path), "", cause)


def _make_problem(file: str, section: str, cause: str) -> errors.FileProblem:
    return errors.FileProblem(
        file=file, line=0, section=section, key="", cause=cause
    )
