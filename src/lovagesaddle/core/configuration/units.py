"""Parses the text of INI values by their units."""

import enum
import re

from lovagesaddle.core.model import services

_DURATION = re.compile(r"^(?P<amount>\d+(\.\d+)?)\s*(?P<unit>ms|s|m)$")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0}
_SIZE = re.compile(r"^(?P<amount>\d+)\s*(?P<unit>B|KB|MB|GB)$")
_BYTES_BY_UNIT = {"B": 1, "KB": 1024, "MB": 1024**2, "GB": 1024**3}
_BOOL_BY_WORD = {"yes": True, "no": False}
_RANK_BY_NAME = {
    services.format_priority(rank): rank
    for rank in (
        services.Priority.URGENT,
        services.Priority.NORMAL,
        services.Priority.BULK,
    )
}


class Unit(enum.Enum):
    """How the text of a value is parsed."""

    PLAIN = "plain"
    DURATION = "duration"
    SIZE = "size"
    SWITCH = "switch"
    WORDS = "words"
    RANK = "rank"
    SHARES = "shares"


Shares = tuple[dict[str, str], ...]
ParsedValue = str | float | int | bool | tuple[str, ...] | Shares


def parse_value(text: str, unit: Unit) -> ParsedValue:
    """Parses `text` according to `unit`.

    Args:
      text: Value as written in the file.
      unit: Unit of the value.

    Returns:
      The value; durations are in seconds, sizes in bytes.

    Raises:
      ValueError: The text is not valid for the unit; the message says why.
    """
    match unit:
        case Unit.PLAIN:
            return text
        case Unit.DURATION:
            return _parse_duration(text)
        case Unit.SIZE:
            return _parse_size(text)
        case Unit.SWITCH:
            return _parse_switch(text)
        case Unit.WORDS:
            return split_words(text)
        case Unit.RANK:
            return _parse_rank(text)
        case Unit.SHARES:
            return tuple(_parse_share(word) for word in split_words(text))


def split_words(text: str) -> tuple[str, ...]:
    """Returns the words of a list separated by whitespace or commas."""
    return tuple(text.replace(",", " ").split())


def _parse_duration(text: str) -> float:
    match = _DURATION.match(text)
    if match is None:
        raise ValueError(f'"{text}" is not a duration such as 150ms, 2s or 1m')
    return round(float(match["amount"]) * _SECONDS_BY_UNIT[match["unit"]], 6)


def _parse_size(text: str) -> int:
    match = _SIZE.match(text)
    if match is None:
        raise ValueError(f'"{text}" is not a size such as 512B, 64KB or 16MB')
    return int(match["amount"]) * _BYTES_BY_UNIT[match["unit"]]


def _parse_switch(text: str) -> bool:
    value = _BOOL_BY_WORD.get(text)
    if value is None:
        raise ValueError(f'"{text}" is neither yes nor no')
    return value


def _parse_rank(text: str) -> int:
    rank = _RANK_BY_NAME.get(text)
    if rank is not None:
        return rank
    if text.isascii() and text.isdigit():
        return int(text)
    raise ValueError(f'"{text}" is not urgent, normal, bulk or a rank from 0')


def _parse_share(word: str) -> dict[str, str]:
    name, colon, weight = word.partition(":")
    if not (name and colon and weight.isascii() and weight.isdigit()):
        raise ValueError(f'"{word}" is not a share such as desk:90')
    return {"service": name, "weight": weight}
