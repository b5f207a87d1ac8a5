"""Merging of the acks that subtrees report."""

from collections.abc import Iterable

from lovagesaddle.core.distribution import messages
from lovagesaddle.core.membership import tokens


def merge(
    reports: Iterable[tuple[messages.AckGroup, ...]],
) -> tuple[messages.AckGroup, ...]:
    """Merges reported groups into one group per version, newest first.

    A node may be reported twice while it changes parents; only its newest
    version counts.
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
