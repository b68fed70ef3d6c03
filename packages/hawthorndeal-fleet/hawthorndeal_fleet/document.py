"""Compare, patch and fingerprint the fleet as a plain document.

A document is a mapping of sections, each a mapping of named entries. Patches
are JSON merge patches (RFC 7386), which is why a document holds no nulls.
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
    """Return a patched document that shares what the patch leaves alone.

    :param old: a document; it is left as it is
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

    It is a sum over entries, so that :func:`updated_fingerprint` can follow a
    patch without reading the whole document again.
    """
    hashes = itertools.chain.from_iterable(
        _entries(section, entries) for section, entries in document.items()
    )
    return sum(hashes) % _MODULUS


def updated_fingerprint(value, old, new, patch):
    """Return the fingerprint of a patched document.

    :param value: the fingerprint of the old document
    :param old: the document before the patch
    :param new: the document after it
    """
    before = fingerprint(touched(old, patch))
    after = fingerprint(touched(new, patch))
    return (value - before + after) % _MODULUS


def touched(document, patch):
    """Return the part of a document that a patch names."""
    return {
        section: _touched_section(document[section], patch[section])
        for section in patch
        if section in document
    }


def _touched_section(entries, patch):
    if not isinstance(entries, dict) or not isinstance(patch, dict):
        return entries
    return {name: entries[name] for name in patch if name in entries}
