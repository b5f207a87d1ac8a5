"""Reads the text of an INI file into sections that know their lines.

configparser gives the values; a line index of the same text gives the place
of every section and key, so that each mistake can be located.
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
    """One `key = value`.

    Attributes:
      key: In lower case.
      value: Text without surrounding blanks; further lines follow after
        a line feed.
      line: Line of the key, counted from 1.
    """

    key: str
    value: str
    line: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Section:
    """One `[kind label]` with its entries.

    Attributes:
      file: Name of the file.
      kind: First word of the header.
      label: Rest of the header; empty when there is none.
      line: Line of the header, counted from 1.
      entries: In the order of the file.
    """

    file: str
    kind: str
    label: str
    line: int
    entries: tuple[Entry, ...]

    @property
    def name(self) -> str:
        """The header as it stands between the brackets."""
        return f"{self.kind} {self.label}".strip()

    def find(self, key: str) -> Entry | None:
        """Returns the entry of `key`, or None."""
        return next((e for e in self.entries if e.key == key), None)

    def locate(self, key: str) -> int:
        """Returns the line of `key`, or of the header if it is absent."""
        entry = self.find(key)
        return self.line if entry is None else entry.line

    def make_problem(self, key: str, cause: str) -> errors.FileProblem:
        """Returns a problem located at `key` of this section."""
        return errors.FileProblem(
            file=self.file,
            line=self.locate(key),
            section=self.name,
            key=key,
            cause=cause,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A file that was read, with the mistakes of its syntax.

    Attributes:
      file: Name of the file.
      sections: Every section, in the order of the file.
      problems: Mistakes of syntax and duplicates.
    """

    file: str
    sections: tuple[Section, ...]
    problems: tuple[errors.FileProblem, ...]


def parse_document(text: str, *, file: str) -> Document:
    """Returns the sections of `text` and every mistake of its syntax."""
    index = _Index(file)
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
    parser.read_string("\n".join(index.accepted), source=file)
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


class _Index:
    """Lines of sections and keys; passes on the lines that are well formed."""

    def __init__(self, file: str) -> None:
        self.accepted: list[str] = []
        self.section_lines: dict[str, int] = {}
        self.key_lines: dict[tuple[str, str], int] = {}
        self.problems: list[errors.FileProblem] = []
        self._file = file
        self._section = _NO_SECTION
        self._skip_section = False
        self._open_key = False

    def scan(self, number: int, line: str) -> None:
        stripped = line.strip()
        if not stripped:
            self._open_key = False
        elif stripped.startswith(_COMMENT_PREFIXES):
            return
        elif line[0].isspace() and self._open_key:
            self.accepted.append(line)
        elif stripped.startswith("["):
            self._scan_header(number, stripped)
        else:
            self._scan_entry(number, stripped)

    def _scan_header(self, number: int, line: str) -> None:
        self._open_key = False
        match = _HEADER.match(line)
        name = " ".join(match["name"].split()) if match else ""
        self._section = name
        self._skip_section = True
        if not name:
            self._report(number, "", "section header is malformed")
        elif name in self.section_lines:
            first = self.section_lines[name]
            self._report(number, "", f"section repeats that of line {first}")
        else:
            self._skip_section = False
            self.section_lines[name] = number
            self.accepted.append(f"[{name}]")

    def _scan_entry(self, number: int, line: str) -> None:
        self._open_key = False
        match = _ENTRY.match(line)
        if match is None:
            self._report(number, "", "line is not of the form key = value")
            return
        key = match["key"].lower()
        place = (self._section, key)
        if self._skip_section:
            return
        if self._section == _NO_SECTION:
            self._report(number, key, "key stands before the first section")
        elif place in self.key_lines:
            first = self.key_lines[place]
            self._report(number, key, f"key repeats that of line {first}")
        else:
            self._open_key = True
            self.key_lines[place] = number
            self.accepted.append(f"{key} ={match['value']}")

    def _report(self, number: int, key: str, cause: str) -> None:
        self.problems.append(
            errors.FileProblem(
                file=self._file,
                line=number,
                section=self._section,
                key=key,
                cause=cause,
            )
        )
