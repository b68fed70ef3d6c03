"""Reading of files that operators write."""

import pathlib

from hawthorndeal_fleet import errors


def read(path):
    """Return the bytes of a file.

    :raises errors.InvalidFile: if the file can't be read
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = errors.Problem(path, '(top)', error.strerror or str(error))
        raise errors.InvalidFile([problem]) from error
