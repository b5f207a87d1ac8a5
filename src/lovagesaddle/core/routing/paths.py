"""Normalises hosts and paths, before `table` matches them with routes.

Each host and each path thus has only one form to match.
"""

from urllib import parse

ROOT = "/"
FORBIDDEN_IN_PATH = ("\\", "%2f", "%5c", "%25")
DOT_SEGMENTS = frozenset({".", ".."})


def normalise_host(host: str) -> str:
    """Returns a Host header in lower case and without its port."""
    name = host.lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0]


def normalise_prefix(prefix: str) -> str:
    """Returns a path prefix in the normal form that serves as a table key.

    A trailing slash is kept: it means that only paths below the prefix match,
    and not the prefix without the slash.
    """
    stripped = prefix.rstrip("/")
    if not stripped:
        return ROOT
    return f"{stripped}/" if prefix.endswith("/") else stripped


def decode_path(path: str) -> str | None:
    """Returns the path as a backend server decodes it; None if malformed.

    Without decoding, a path with an encoded letter would not match the
    longest prefix, and would be authorised by the callers of a shorter one.
    """
    if not path.startswith(ROOT):
        return None
    lowered = path.lower()
    if any(text in lowered for text in FORBIDDEN_IN_PATH):
        return None
    decoded = parse.unquote(path, errors="replace") if "%" in path else path
    segments = decoded.split("/")
    if not DOT_SEGMENTS.isdisjoint(segments) or "" in segments[1:-1]:
        return None
    return decoded if decoded.isprintable() else None
