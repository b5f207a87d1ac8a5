"""Acks of many nodes folded into few groups."""

from collections.abc import Iterable

from lovagesaddle.core.distribution import messages
from lovagesaddle.core.membership import tokens


def merge(
    reports: Iterable[tuple[messages.AckGroup, ...]],
) -> tuple[messages.AckGroup, ...]:
    """Returns one group for each version, newest first.

    A node that is reported twice, as while it changes parents, counts with
    its newest version.
    """
    newest: dict[bytes, int] = {}
    for report in reports:
        for group in report:
            for token in tokens.split_tokens(group.tokens):
                if newest.get(token, -1) < group.version:
                    newest[token] = group.version
    by_version: dict[int, list[bytes]] = {}
    for token, version in newest.items():
        by_version.setdefault(version, []).append(token)
    return tuple(
        messages.AckGroup(
            version=version, tokens=b"".join(sorted(by_version[version]))
        )
        for version in sorted(by_version, reverse=True)
    )
