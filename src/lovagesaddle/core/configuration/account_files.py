"""Parses the file of client accounts that lies beside the service files."""

import dataclasses
import re
from typing import Annotated

import msgspec
from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import ini
from lovagesaddle.core.configuration import sections
from lovagesaddle.core.configuration import service_sections
from lovagesaddle.core.configuration import units
from lovagesaddle.core.model import services

FILE_NAME = "accounts.ini"
MAX_RATE = 2**31 - 1
_ACCOUNT = "account"
_DIGEST = re.compile(r"sha256:[0-9a-f]{64}")

Problems = tuple[errors.FileProblem, ...]
Parsed = result.Result[tuple[services.ClientAccount, ...], Problems]
_Words = Annotated[
    tuple[str, ...], msgspec.Meta(extra={"unit": units.Unit.WORDS})
]
_Rank = Annotated[
    int,
    msgspec.Meta(
        ge=0, le=service_sections.MAX_RANK, extra={"unit": units.Unit.RANK}
    ),
]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountSection:
    """Keys of [account NAME], with the defaults of optional keys.

    Attributes:
      name: Name of the account.
      digests: `sha256:<hex>` of each valid key.
      priority: See `services.ClientAccount`.
      rate: Requests a second; 0 for no limit.
      burst: Requests beyond the rate.
    """

    name: str
    digests: _Words
    priority: _Rank = services.Priority.NORMAL
    rate: _Amount = 0.0
    burst: _Amount = 0.0


def parse_accounts(text: str, *, file: str) -> Parsed:
    """Returns the accounts of a file sorted by name, or every mistake.

    Args:
      text: Content of the file.
      file: Name of the file, for the problems.
    """
    document = ini.parse_document(text, file=file)
    problems = list(document.problems)
    accounts: list[services.ClientAccount] = []
    holders: dict[str, str] = {}
    for section in document.sections:
        cause = _check_label(section)
        if cause:
            problems.append(section.make_problem("", cause))
            continue
        converted = sections.convert_section(
            section, AccountSection, preset={"name": section.label}
        )
        problems.extend(converted.problems)
        if converted.partial_value is None:
            continue
        problems.extend(
            section.make_problem("digests", cause)
            for cause in _check_digests(converted.partial_value, holders)
        )
        accounts.append(_make_account(converted.partial_value))
    if problems:
        return result.Failure(tuple(sorted(problems, key=lambda p: p.line)))
    return result.Success(tuple(sorted(accounts, key=lambda each: each.name)))


def _check_label(section: ini.Section) -> str:
    if section.kind != _ACCOUNT:
        return "section is unknown"
    if not re.match(service_sections.NAME_PATTERN, section.label):
        return f"section needs a name in lower case: [{_ACCOUNT} NAME]"
    return ""


def _check_digests(
    section: AccountSection, holders: dict[str, str]
) -> list[str]:
    """Returns the mistakes in an account's digests, and records the rest."""
    if not section.digests:
        return ["no digest is given"]
    causes: list[str] = []
    for digest in section.digests:
        if not _DIGEST.fullmatch(digest):
            # It may be the key itself, so it is not repeated.
            causes.append("a digest is not of the form sha256:<64 hex digits>")
            continue
        holder = holders.setdefault(digest, section.name)
        if holder != section.name:
            causes.append(f"digest belongs to account {holder} already")
    return causes


def _make_account(section: AccountSection) -> services.ClientAccount:
    return services.ClientAccount(
        name=section.name,
        digests=tuple(sorted(set(section.digests))),
        priority=section.priority,
        rate_per_s=section.rate,
        burst=section.burst,
    )
