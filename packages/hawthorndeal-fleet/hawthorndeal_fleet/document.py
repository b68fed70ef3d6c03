"""Compare, patch and fingerprint the fleet as a plain document.

A document maps section names to sections, most of which map names to entries.
Patches are JSON merge patches (RFC 7386), so documents contain no nulls.
"""

import hashlib
import itertools

from . import codec

_FINGERPRINT_BITS = 256
_MODULUS = 1 << _FINGERPRINT_BITS


def diff(old, new):
    """Return the merge patch that turns one document into another."""
    removed = {key: None for key in old if key not in new}
    changed = {
        key: _diff_value(old.get(key), value)
        for key, value in new.items()
        if key not in old or old[key] != value
    }
    return {**removed, **changed}


def _diff_value(old, new):
    if isinstance(old, dict) and isinstance(new, dict):
        return diff(old, new)
    return new


def merge(old, patch):
    """Return a patched document that shares all unpatched parts.

    :param old: a document, which is not modified
    :param patch: a merge patch
    """
    result = dict(old)
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = _merge_value(old.get(key), value)
    return result


def _merge_value(old, patch):
    if not isinstance(patch, dict):
        return patch
    return merge(old if isinstance(old, dict) else {}, patch)


def _entry_hash(section, name, entry):
    content = codec.canonical([section, name, entry])
    digest = hashlib.blake2b(content, digest_size=_FINGERPRINT_BITS // 8)
    return int.from_bytes(digest.digest(), 'big')


def _entries(section, entries):
    if not isinstance(entries, dict):
        return [_entry_hash(section, '', entries)]
    return (
        _entry_hash(section, name, entry) for name, entry in entries.items()
    )


def fingerprint(document):
    """Return a number that is equal for equal documents.

    It is a sum over entries, so that :func:`updated_fingerprint` can apply a
    patch to it without hashing the whole document again.
    """
    hashes = itertools.chain.from_iterable(
        _entries(section, entries) for section, entries in document.items()
    )
    return sum(hashes) % _MODULUS


def updated_fingerprint(value, old, new, patch):
    """Return the fingerprint of a patched document.

    :param value: fingerprint of the old document
    :param old: document before the patch
    :param new: document after the patch
    """
    before = fingerprint(patched_part(old, patch))
    after = fingerprint(patched_part(new, patch))
    return (value - before + after) % _MODULUS


def patched_part(document, patch):
    """Return the entries of a document that a patch affects."""
    return {
        section: _patched_section(document[section], patch[section])
        for section in patch
        if section in document
    }


def _patched_section(entries, patch):
    if not isinstance(entries, dict) or not isinstance(patch, dict):
        return entries
    return {name: entries[name] for name in patch if name in entries}
