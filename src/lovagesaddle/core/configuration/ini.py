"""Parses INI files into sections and entries with line numbers.

configparser parses the values. A separate line index of the same text records
the line of every section and key, so that each problem can be located.
"""

import configparser
import dataclasses
import re

from lovagesaddle.core import errors

_HEADER = re.compile(r"^\[(?P<name>[^\]]+)\]\s*$")
_ENTRY = re.compile(r"^(?P<key>[^\s=:][^=]*?)\s*=(?P<value>.*)$")
_COMMENT_PREFIXES = ("#", ";")
_NO_SECTION = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One `key = value` entry.

    Attributes:
      key: Key in lower case.
      value: Text without surrounding whitespace; continuation lines are
        separated by line feeds.
      line: Line of the key, counted from 1.
    """

    key: str
    value: str
    line: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Section:
    """One `[kind label]` section with its entries.

    Attributes:
      file: Name of the file.
      kind: First word of the header.
      label: Rest of the header; empty when there is none.
      line: Line of the header, counted from 1.
      entries: Entries in the order of the file.
    """

    file: str
    kind: str
    label: str
    line: int
    entries: tuple[Entry, ...]

    @property
    def name(self) -> str:
        """Text of the header between the brackets, as `kind label`."""
        return f"{self.kind} {self.label}".strip()

    def find(self, key: str) -> Entry | None:
        """Returns the entry of `key`, or None."""
        return next((e for e in self.entries if e.key == key), None)

    def locate(self, key: str) -> int:
        """Returns the line of `key`, or of the header if it is absent."""
        entry = self.find(key)
        return self.line if entry is None else entry.line

    def make_problem(self, key: str, cause: str) -> errors.FileProblem:
        """Returns a problem that is located at `key` of this section."""
        return errors.FileProblem(
            file=self.file,
            line=self.locate(key),
            section=self.name,
            key=key,
            cause=cause,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A parsed file, with its syntax errors.

    Attributes:
      file: Name of the file.
      sections: All sections, in the order of the file.
      problems: Syntax errors and duplicate sections and keys.
    """

    file: str
    sections: tuple[Section, ...]
    problems: tuple[errors.FileProblem, ...]


def parse_document(text: str, *, file: str) -> Document:
    """Parses `text` and returns its sections and all syntax errors."""
    index = _LineIndex(file)
    for number, line in enumerate(text.splitlines(), start=1):
        index.scan(number, line)
    parser = configparser.ConfigParser(
        strict=True,
        interpolation=None,
        delimiters=("=",),
        comment_prefixes=_COMMENT_PREFIXES,
        empty_lines_in_values=False,
        default_section=_NO_SECTION,
    )
    parser.read_string("\n".join(index.valid_lines), source=file)
    sections = tuple(
        _make_section(file, name, line, parser[name], index.key_lines)
        for name, line in index.section_lines.items()
    )
    return Document(
        file=file, sections=sections, problems=tuple(index.problems)
    )


def _make_section(
    file: str,
    name: str,
    line: int,
    proxy: configparser.SectionProxy,
    key_lines: dict[tuple[str, str], int],
) -> Section:
    kind, _, label = name.partition(" ")
    entries = tuple(
        Entry(key=key, value=value.strip(), line=key_lines[name, key])
        for key, value in proxy.items()
    )
    return Section(
        file=file, kind=kind, label=label.strip(), line=line, entries=entries
    )


class _LineIndex:
    """Records the lines of sections and keys and collects syntax errors.

    Attributes:
      valid_lines: Well-formed lines, to be parsed by configparser.
      section_lines: Line of each section's header, by section name.
      key_lines: Line of each key, by section name and key.
      problems: Syntax errors and duplicates.
    """

    def __init__(self, file: str) -> None:
        self.valid_lines: list[str] = []
        self.section_lines: dict[str, int] = {}
        self.key_lines: dict[tuple[str, str], int] = {}
        self.problems: list[errors.FileProblem] = []
        self._file = file
        self._section = _NO_SECTION
        self._skip_section = False
        self._allows_continuation = False

    def scan(self, number: int, line: str) -> None:
        stripped = line.strip()
        if not stripped:
            self._allows_continuation = False
        elif stripped.startswith(_COMMENT_PREFIXES):
            return
        elif line[0].isspace() and self._allows_continuation:
            self.valid_lines.append(line)
        elif stripped.startswith("["):
            self._scan_header(number, stripped)
        else:
            self._scan_entry(number, stripped)

    def _scan_header(self, number: int, line: str) -> None:
        self._allows_continuation = False
        match = _HEADER.match(line)
        name = " ".join(match["name"].split()) if match else ""
        self._section = name
        self._skip_section = True
        if not name:
            self._add_problem(number, "", "section header is malformed")
        elif name in self.section_lines:
            first = self.section_lines[name]
            self._add_problem(
                number, "", f"section repeats that of line {first}"
            )
        else:
            self._skip_section = False
            self.section_lines[name] = number
            self.valid_lines.append(f"[{name}]")

    def _scan_entry(self, number: int, line: str) -> None:
        self._allows_continuation = False
        match = _ENTRY.match(line)
        if match is None:
            self._add_problem(number, "", "line is not of the form key = value")
            return
        key = match["key"].lower()
        section_key = (self._section, key)
        if self._skip_section:
            return
        if self._section == _NO_SECTION:
            self._add_problem(
                number, key, "key stands before the first section"
            )
        elif section_key in self.key_lines:
            first = self.key_lines[section_key]
            self._add_problem(number, key, f"key repeats that of line {first}")
        else:
            self._allows_continuation = True
            self.key_lines[section_key] = number
            self.valid_lines.append(f"{key} ={match['value']}")

    def _add_problem(self, number: int, key: str, cause: str) -> None:
        self.problems.append(
            errors.FileProblem(
                file=self._file,
                line=number,
                section=self._section,
                key=key,
                cause=cause,
            )
        )
