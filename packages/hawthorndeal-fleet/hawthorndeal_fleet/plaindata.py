"""Validate foreign data before any other processing.

The limits are constants, so that all daemons refuse the same entries,
regardless of their stack size or memory.
"""

import functools

from . import errors

MAX_DEPTH = 32
MAX_SIZE_BYTES = 4 * 1024 * 1024
MAX_INTEGER = 2**63 - 1

# Approximate size of a value's JSON syntax, in addition to its text.
_VALUE_OVERHEAD_BYTES = 4


def check(data):
    """Refuse everything but plain JSON data of a bounded size and depth.

    :raises errors.NotPlainData: for values that JSON can't portably represent
    :raises errors.RecordTooDeep: for data nested deeper than ``MAX_DEPTH``
    :raises errors.RecordTooLarge: for data above ``MAX_SIZE_BYTES``
    """
    remaining_bytes = MAX_SIZE_BYTES
    level = [data]
    for _ in range(MAX_DEPTH):
        if not level:
            return
        next_level = []
        for value in level:
            remaining_bytes -= _VALUE_OVERHEAD_BYTES + _value_bytes(
                value, next_level
            )
        if remaining_bytes < 0:
            raise errors.RecordTooLarge(f'more than {MAX_SIZE_BYTES} bytes')
        level = next_level
    if level:
        raise errors.RecordTooDeep(f'nested deeper than {MAX_DEPTH}')


def too_deep_placeholder():
    """Return a placeholder, refused by :func:`check`, for unparsable depth."""
    return functools.reduce(
        lambda inner, _: [inner], range(MAX_DEPTH + 1), None
    )


def _value_bytes(value, next_level):
    kind = type(value)
    if kind is str:
        return _text_bytes(value)
    if kind is dict:
        next_level.extend(value.values())
        return _text_bytes(_joined_keys(value))
    if kind is list:
        next_level.extend(value)
    elif not _is_scalar(value):
        raise errors.NotPlainData(f'not plain JSON data: {value!r:.80}')
    return 0


def _joined_keys(value):
    try:
        return ''.join(value)
    except TypeError as error:
        raise errors.NotPlainData(f'a key is not a string: {error}') from error


def _text_bytes(text):
    if text.isascii():
        return len(text)
    try:
        return len(text.encode())
    except UnicodeEncodeError as error:
        raise errors.NotPlainData(f'not Unicode: {text!r:.80}') from error


def _is_scalar(value):
    # Numbers that are not finite are left to the rules to refuse.
    if isinstance(value, float):
        return True
    if isinstance(value, int):
        return abs(value) <= MAX_INTEGER
    return value is None
