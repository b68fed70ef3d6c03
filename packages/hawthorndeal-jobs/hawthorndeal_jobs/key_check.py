"""Decide whether the key of a call is valid.

Each daemon decides by the configuration that it follows. A daemon that is cut
off from the store, or was suspended, may have missed that a key was withdrawn,
so what it knows holds for a limited time only. It counts from when the newest
read that reached the end of the operators' records was *sent*, on a clock that
also advances while the host is suspended.
"""

import enum

import attrs

# Covers the time from the check of a key until its effect.
REVOCATION_MARGIN_S = 0.5
# An older configuration may lack a key that was added since. It is shorter
# than the time in which a configuration has to be in force.
MAX_REJECTION_AGE_S = 2.5


class KeyVerdict(enum.Enum):
    """What is known of a key."""

    VALID = 'valid'
    UNKNOWN = 'unknown'
    # The configuration is too old to tell.
    UNCERTAIN = 'uncertain'


@attrs.frozen
class KeyCheck:
    """The outcome of a check.

    :ivar workspace: the workspace that the key belongs to; empty unless the
        key is valid
    """

    verdict: KeyVerdict
    workspace: str = ''


def check(configuration, digest, age_s, revocation_s):
    """Check a key against a configuration.

    :param digest: the digest of the key; see :func:`workspaces.key_digest`
    :param age_s: how long ago the configuration was known to be the newest;
        infinite if it never was
    :param revocation_s: time after which a withdrawn key may not be used
    """
    if age_s > revocation_s - REVOCATION_MARGIN_S:
        return KeyCheck(KeyVerdict.UNCERTAIN)
    workspace = configuration.workspace_of_key(digest)
    if workspace:
        return KeyCheck(KeyVerdict.VALID, workspace)
    if age_s > MAX_REJECTION_AGE_S:
        return KeyCheck(KeyVerdict.UNCERTAIN)
    return KeyCheck(KeyVerdict.UNKNOWN)
