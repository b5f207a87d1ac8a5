"""Normal forms of hosts and paths, the same for routes and for requests.

Each host and each path has one form to match, so that neither the case of a
letter nor its percent-encoding chooses another route.
"""

import re
import string
from urllib import parse

ROOT = "/"
# Bytes that stand for themselves in a segment of a path (RFC 3986, 3.3).
SEGMENT_BYTES = frozenset(
    (string.ascii_letters + string.digits + "-._~!$&'()*+,;=:@").encode()
)
AMBIGUOUS_TEXTS = ("\\", "%2f", "%5c", "%25")
DOT_SEGMENTS = frozenset({".", ".."})
_NORMAL = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@/-]*")
_ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})|([^/])", re.DOTALL)


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

    Args:
      prefix: As published; characters outside of ASCII stand for their bytes in
        UTF-8.
    """
    stripped = _normalise(prefix, "utf-8").rstrip("/")
    if not stripped:
        return ROOT
    return f"{stripped}/" if prefix.endswith("/") else stripped


def normalise_path(path: str) -> str:
    """Returns the normal form of a request's path.

    A byte is percent-encoded only where it has to be, and then with upper case
    digits. An encoded slash stays encoded.

    Args:
      path: As sent, without the query; each character is one byte.
    """
    return _normalise(path, "latin-1")


def is_ambiguous(path: str) -> bool:
    """Returns whether two programs could take a path for different ones.

    One of them may decode it once more, or resolve its dot segments.

    Args:
      path: As sent, without the query.
    """
    if not path.startswith(ROOT):
        return True
    lowered = path.lower()
    if any(text in lowered for text in AMBIGUOUS_TEXTS):
        return True
    decoded = parse.unquote(path, errors="replace") if "%" in path else path
    segments = decoded.split("/")
    if not DOT_SEGMENTS.isdisjoint(segments) or "" in segments[1:-1]:
        return True
    return not decoded.isprintable()


def _normalise(path: str, encoding: str) -> str:
    if _NORMAL.fullmatch(path):
        return path
    data = path.encode(encoding, errors="replace")
    return _ENCODED.sub(_normalise_byte, data).decode("ascii")


def _normalise_byte(match: re.Match[bytes]) -> bytes:
    digits, literal = match.groups()
    byte = literal if digits is None else bytes.fromhex(digits.decode())
    return byte if byte[0] in SEGMENT_BYTES else b"%%%02X" % byte[0]
