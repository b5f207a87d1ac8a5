"""Reads the shared secret that authenticates the nodes of a mesh."""

import pathlib

from lovagesaddle.core import errors
from lovagesaddle.observability import logs
from lovagesaddle.settings import schema

_log = logs.get_logger("node")


def read(settings: schema.NodeSettings) -> bytes:
    """Returns the secret from the settings' file, or the cluster's ID.

    The cluster's ID is used if no file is set, with a warning in the log.

    Raises:
      errors.SettingsError: The file can't be read.
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
