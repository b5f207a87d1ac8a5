"""Generates the service files that scenarios publish."""

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import service_sets
from lovagesaddle.core.model import services

SERVICE_NAMES = {
    "the order desk": "orderdesk",
    "the artwork service": "artwork",
    "the booking service": "booking",
    "the batch service": "batch",
}
_TEXT = """\
[service]
name = {name}
revision = {revision}
{depends}
[caller guest]
digests = sha256:{digest}

[route main]
host = {name}.example
callers = guest
"""
_DEPENDS = {"orderdesk": "artwork", "booking": "batch"}
_MISTAKE = "timeout = soon\n"

Problems = tuple[errors.FileProblem, ...]


def list_names(text: str) -> tuple[str, ...]:
    """Returns the service names in a text as "the order desk and the ..."."""
    parts = text.replace(" and ", ", ").split(", ")
    return tuple(SERVICE_NAMES[part.strip()] for part in parts)


def format_file(name: str, revision: int) -> str:
    """Returns the text of a service file."""
    dependency = _DEPENDS.get(name, "")
    return _TEXT.format(
        name=name,
        revision=revision,
        digest="0a" * 32,
        depends=f"depends-on = {dependency}\n" if dependency else "",
    )


def check_files(
    names: tuple[str, ...], revision: int, *, mistake_in: str = ""
) -> tuple[tuple[services.Service, ...], Problems]:
    """Generates service files and checks them.

    Args:
      names: Names of the services.
      revision: Revision of every service.
      mistake_in: Name of the service whose file has a malformed timeout.

    Returns:
      The services and no problem, or else no service and every problem.
    """
    sources = [
        service_sets.SourceFile(
            file=f"{name}.service.ini",
            text=format_file(name, revision)
            + (_MISTAKE if name == mistake_in else ""),
        )
        for name in names
    ]
    checked = service_sets.check_files(sources)
    return checked.value_or(()), checked.swap().value_or(())
