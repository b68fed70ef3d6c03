"""Workspaces of the configuration: their keys, their shares and quotas."""

import collections
import hashlib
import itertools
import math

import attrs

from . import specs

KEY_DIGEST_BYTES = 16
# Characters of a digest that logs show: enough to tell keys apart.
SHOWN_DIGEST_CHARS = 8


def key_digest(key):
    """Return the digest of a caller's key; the key itself is never kept."""
    return hashlib.blake2b(
        key.encode(errors='surrogateescape'), digest_size=KEY_DIGEST_BYTES
    ).hexdigest()


@attrs.frozen
class Workspace:
    """A workspace, as the configuration declares it.

    :ivar key_digests: digests of its callers' keys; see :func:`key_digest`
    :ivar weight: jobs per second that are owed to it when a pool is full
    :ivar quota: the most that its tasks may use at once; a resource of which
        this is 0 has no limit
    """

    name: str
    key_digests: tuple[str, ...] = ()
    weight: float = 0.0
    quota: specs.Resources = specs.Resources()


def validation_error(workspaces):
    """Return what is invalid in declared workspaces, or an empty string.

    :param workspaces: sequence of :class:`Workspace`
    """
    names = [workspace.name for workspace in workspaces]
    if '' in names:
        return 'a workspace has no name'
    repeated = _repeated(names)
    if repeated:
        return f'workspace {repeated[0]!r:.80} is declared twice'
    for workspace in workspaces:
        if not math.isfinite(workspace.weight) or workspace.weight < 0.0:
            return (
                f'the weight of {workspace.name!r:.80} is {workspace.weight}'
            )
        if min(attrs.astuple(workspace.quota)) < 0:
            return f'the quota of {workspace.name!r:.80} is less than nothing'
    digests = itertools.chain.from_iterable(
        set(workspace.key_digests) for workspace in workspaces
    )
    shared = _repeated(digests)
    if shared:
        return f'key {shown_digest(shared[0])} belongs to two workspaces'
    return ''


def _repeated(values):
    counts = collections.Counter(values)
    return [value for value, count in counts.items() if count > 1]


def shown_digest(digest):
    """Return the part of a key's digest that logs may show."""
    return digest[:SHOWN_DIGEST_CHARS]
