"""Decode JSON whose numbers are safe to calculate with."""

import json
import math

# Integers up to here are exact as floating-point numbers, too.
MAX_NUMBER = 1 << 53


def loads(text):
    """Return the value that a JSON text encodes.

    Numbers that are not finite, or larger than ``MAX_NUMBER``, are rejected:
    converting them would raise errors far from the decoder.

    :raises ValueError: if the text is not such JSON
    """
    try:
        return json.loads(
            text,
            parse_int=_parse_int,
            parse_float=_parse_float,
            parse_constant=_reject,
        )
    except RecursionError as error:
        raise ValueError('nested too deeply') from error


def _parse_int(text):
    return _check(int(text))


def _parse_float(text):
    return _check(float(text))


def _check(number):
    if not -MAX_NUMBER <= number <= MAX_NUMBER or math.isnan(number):
        raise ValueError(f'number out of range: {number!r:.40}')
    return number


def _reject(name):
    raise ValueError(f'not a finite number: {name}')
