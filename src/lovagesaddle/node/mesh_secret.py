"""Reads the shared secret that authenticates the nodes of a mesh."""

import pathlib

from lovagesaddle.core import errors
from lovagesaddle.observability import logs
from lovagesaddle.settings import schema

_log = logs.get_logger("node")


def read(settings: schema.NodeSettings) -> bytes:
    """Returns the content of the mesh secret file.

    If the settings name no such file, logs a warning and returns the cluster's
    ID instead.

    Raises:
      errors.SettingsError: The mesh secret file can't be read.
    """
    if not settings.mesh_secret_file:
        _log.warning("mesh_secret_missing", node=settings.node_id)
        return settings.cluster_id.encode()
    try:
        return pathlib.Path(settings.mesh_secret_file).read_bytes().strip()
    except OSError as error:
        raise errors.SettingsError(
            step="read mesh secret",
            peer=settings.mesh_secret_file,
            cause=str(error),
        ) from error
