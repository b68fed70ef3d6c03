"""Measure foreign data before anything else looks at it.

Limits are fixed numbers, so that every daemon refuses the same entries,
whatever its stack or memory.
"""

import functools

from . import errors

MAX_DEPTH = 32
MAX_SIZE_BYTES = 4 * 1024 * 1024
MAX_INTEGER = 2**63 - 1

# About what a value takes as JSON beside its text.
_VALUE_BYTES = 4


def check(data):
    """Refuse what is not plain JSON data of a bounded size.

    :raises errors.NotPlainData: for anything JSON can't carry everywhere
    :raises errors.RecordTooDeep: for data nested too deep
    :raises errors.RecordTooLarge: for data of too many bytes
    """
    left_bytes = MAX_SIZE_BYTES
    level = [data]
    for _ in range(MAX_DEPTH):
        if not level:
            return
        following = []
        for value in level:
            left_bytes -= _VALUE_BYTES + _own_bytes(value, following)
        if left_bytes < 0:
            raise errors.RecordTooLarge(f'more than {MAX_SIZE_BYTES} bytes')
        level = following
    if level:
        raise errors.RecordTooDeep(f'nested deeper than {MAX_DEPTH}')


def too_deep():
    """Return what stands for data too deep to be read at all."""
    return functools.reduce(
        lambda inner, _: [inner], range(MAX_DEPTH + 1), None
    )


def _own_bytes(value, following):
    kind = type(value)
    if kind is str:
        return _text_bytes(value)
    if kind is dict:
        following.extend(value.values())
        return _text_bytes(_joined_keys(value))
    if kind is list:
        following.extend(value)
    elif not _is_scalar(value):
        raise errors.NotPlainData(f'not plain JSON data: {value!r:.80}')
    return 0


def _joined_keys(value):
    try:
        return ''.join(value)
    except TypeError as error:
        raise errors.NotPlainData(f'a key is no text: {error}') from error


def _text_bytes(text):
    if text.isascii():
        return len(text)
    try:
        return len(text.encode())
    except UnicodeEncodeError as error:
        raise errors.NotPlainData(f'not Unicode: {text!r:.80}') from error


def _is_scalar(value):
    # Whether a number that is not finite makes sense is for the rules to say.
    if isinstance(value, float):
        return True
    if isinstance(value, int):
        return abs(value) <= MAX_INTEGER
    return value is None
