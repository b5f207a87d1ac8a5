"""Loads and checks the service files under a folder."""

import pathlib

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import account_files
from lovagesaddle.core.configuration import service_files
from lovagesaddle.core.configuration import service_sets

MAX_FILE_BYTES = 1024**2


def load_folder(folder: pathlib.Path) -> service_sets.CheckResult:
    """Returns the services of all `*.service.ini` under `folder`.

    The failure lists every mistake in every file. A folder without service
    files is a mistake, since publishing it would remove every service.
    """
    paths = sorted(folder.rglob(f"*{service_files.SUFFIX}"))
    sources: list[service_sets.SourceFile] = []
    problems: list[errors.FileProblem] = []
    if not paths:
        problems.append(
            _make_problem(folder, f"no *{service_files.SUFFIX} in it")
        )
    for path in paths:
        try:
            sources.append(_read(path))
        except (OSError, ValueError) as error:
            problems.append(_make_problem(path, f"can't be read: {error}"))
    checked = service_sets.check_files(sources)
    if not problems:
        return checked
    found = checked.swap().value_or(())
    return result.Failure((*problems, *found))


def load_accounts(folder: pathlib.Path) -> account_files.Parsed:
    """Returns the client accounts of a folder; none without their file.

    The failure lists every mistake.
    """
    path = folder / account_files.FILE_NAME
    if not path.exists():
        return result.Success(())
    try:
        source = _read(path)
    except (OSError, ValueError) as error:
        problem = _make_problem(path, f"can't be read: {error}")
        return result.Failure((problem,))
    return account_files.parse_accounts(source.text, file=source.file)


def _read(path: pathlib.Path) -> service_sets.SourceFile:
    size = path.stat().st_size
    if size > MAX_FILE_BYTES:
        raise ValueError(f"{size} bytes; at most {MAX_FILE_BYTES} are read")
    return service_sets.SourceFile(
        file=str(path), text=path.read_text(encoding="utf-8")
    )


def _make_problem(path: pathlib.Path, cause: str) -> errors.FileProblem:
    return errors.FileProblem(
        file=str(path), line=0, section="", key="", cause=cause
    )
